#pragma once

#include "nodecontext.h"

#include <cstddef>
#include <string_view>

namespace FleetNode {

/*! Counts connections that are closed, and requests that are refused, because of a bound, and logs them. */
class ConnectionMonitor {
public:
    explicit ConnectionMonitor(NodeContext& context);

    /*! \param reason "connections" or "memory" of a closed connection; "refused" for a request. */
    void onExcess(std::string_view listener, std::string_view reason, std::size_t count);

private:
    NodeContext& context_;
    std::size_t unlogged_ = 0; //!< Events since the latest log line.
    Utils::TimePoint loggedAt_ {};
};

} // namespace FleetNode
