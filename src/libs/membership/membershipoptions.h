#pragma once

#include "utils/clock.h"

#include <cstddef>

namespace Membership {

/*! Times and link counts of a MemberTable; all members use the same. */
struct MembershipOptions {
    Utils::Duration heartbeatInterval = std::chrono::milliseconds(1000); //!< Between exchanges of a pair.
    Utils::Duration suspectAfter = std::chrono::milliseconds(2200); //!< Silence until suspicion.
    Utils::Duration probeInterval = std::chrono::milliseconds(100); //!< Between exchanges with a suspect.
    Utils::Duration deadAfter = std::chrono::milliseconds(4000); //!< Silence until removal.
    Utils::Duration domainLostAfter = std::chrono::milliseconds(4000); //!< Silence of a whole domain.
    Utils::Duration spreadDuration = std::chrono::milliseconds(6000); //!< How long a change is repeated.
    Utils::Duration repairDelay = std::chrono::milliseconds(5000); //!< Quiet before lists are compared.
    Utils::Duration forgetAfter = std::chrono::minutes(10); //!< Until a member that is out is forgotten.
    std::size_t remotePeersPerHeartbeat = 2; //!< Exchanges with other domains in one heartbeat.
    std::size_t summaryPeersPerHeartbeat
        = 2; //!< Peers of the own domain that get domain summaries in one heartbeat.
};

} // namespace Membership
