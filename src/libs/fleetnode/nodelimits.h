#pragma once

#include "utils/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace Http {
class ByteBudget;
}

namespace Schema {
class LimitSettings;
}

namespace FleetNode {

/*! Bounds on what connections may take of the VM. */
struct NodeLimits {
    std::size_t requestBytes = 0; //!< Of all requests that arrive or are served.
    std::size_t responseBytes = 0; //!< Of all responses that are being received.
    std::size_t callerConnections = 0;
    std::size_t peerConnections = 0;
    std::size_t monitoringConnections = 0; //!< To the readiness check, and the same to the metrics.
    std::uint64_t bodyBytes = 0; //!< Of one request.
    std::size_t bufferBytes = 0; //!< Of one header, one block of trailers or the header of one chunk.
    Utils::Duration requestTime {}; //!< In which a request must arrive.
};

/*! \return the bounds that the settings state; the greatest number for those that they leave open. */
NodeLimits parseNodeLimits(const Schema::LimitSettings& settings);

/*! \return the budget of all responses that the process receives; null if the settings leave it open. */
std::shared_ptr<Http::ByteBudget> makeResponseBudget(const Schema::LimitSettings& settings);

} // namespace FleetNode
