#pragma once

#include "utils/clock.h"

#include <cstddef>

namespace Membership {

/*! Intervals and peer counts of a MemberTable. All members must use the same options. */
struct MembershipOptions {
    Utils::Duration heartbeatInterval
        = std::chrono::milliseconds(1000); //!< Time between exchanges of two members.
    Utils::Duration suspectAfter = std::chrono::milliseconds(2200); //!< Time without contact until suspicion.
    Utils::Duration probeInterval
        = std::chrono::milliseconds(100); //!< Time between exchanges with a suspect.
    Utils::Duration deadAfter = std::chrono::milliseconds(4000); //!< Time without contact until removal.
    Utils::Duration domainLostAfter
        = std::chrono::milliseconds(4000); //!< Time without a new beat of a domain until it counts as lost.
    Utils::Duration spreadDuration = std::chrono::milliseconds(6000); //!< How long a change is sent to peers.
    Utils::Duration repairDelay
        = std::chrono::milliseconds(5000); //!< Time without changes in a domain before lists are compared.
    Utils::Duration forgetAfter
        = std::chrono::minutes(10); //!< Time until a member that died or left is deleted.
    std::size_t remotePeersPerHeartbeat = 2; //!< Exchanges with other domains in each heartbeat.
    std::size_t summaryPeersPerHeartbeat
        = 2; //!< Peers of the own domain that get domain summaries in each heartbeat.
};

} // namespace Membership
