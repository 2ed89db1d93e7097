#pragma once

#include "ports/queueconfiguration.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

/*! A request path split into its queue and the job identifier. */
struct QueueMatch {
    const Ports::Queue* queue = nullptr; //!< Null if no queue matches.
    std::string_view jobId; //!< Rest of the path; empty for the queue itself.
};

/*! Finds the configured queue of a request by host and longest path prefix. */
class QueueTable {
public:
    /*!
        Applies a configuration unless its revision is older than or equal to the current one.

        \return whether it was applied.
    */
    bool apply(Ports::QueueConfiguration configuration);

    /*!
        Finds the queue for the host and path of a request.

        \return the queue and the rest of the path; both are valid until the next apply(), the rest as long
            as \p path.
    */
    QueueMatch find(std::string_view host, std::string_view path) const;

    /*! \return the current revision; 0 if no configuration was applied. */
    std::uint64_t revision() const { return configuration_.revision; }

    const Ports::QueueConfiguration& configuration() const { return configuration_; }

private:
    Ports::QueueConfiguration configuration_;
    //! Queues by host, longest prefix first.
    std::map<std::string, std::vector<const Ports::Queue*>, std::less<>> byHost_;
};

} // namespace Fleet
