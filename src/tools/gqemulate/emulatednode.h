#pragma once

#include "fleet/shardchooser.h"
#include "fleet/taillatencymodel.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Emulate {

/*! A node of the emulated fleet with what it knows of the others. */
struct EmulatedNode {
    Fleet::ShardChooser chooser;
    Fleet::TailLatencyModel tailLatencyModel;
    std::map<std::string, Fleet::ShardOwnerInfo> owners; //!< Known owners by shard.
    std::vector<FleetSchema::ShardLoad> heartbeat; //!< Loads in the node's row of the store.
    std::int64_t heartbeatMs = 0; //!< Time of the latest heartbeat.
    std::int64_t frozenUntilMs = 0;
    std::int64_t busyUntilNs = 0; //!< End of the passes that occupy its event loop.
    bool isHeartbeatDue = false;
    std::uint64_t incarnation = 1; //!< Number of the node's process.
    bool isUp = true;
    bool isStoreReachable = true;

    /*! Occupies the event loop from \p nowMs, or from the end of what occupies it then. */
    void occupy(std::int64_t timeNs, std::int64_t nowMs)
    {
        busyUntilNs = std::max(busyUntilNs, nowMs * nsPerMs) + timeNs;
    }

    /*! \return the whole milliseconds for which the event loop is occupied. */
    std::int64_t busyMs(std::int64_t nowMs) const
    {
        return std::max<std::int64_t>(0, (busyUntilNs - nowMs * nsPerMs) / nsPerMs);
    }

private:
    static constexpr std::int64_t nsPerMs = 1'000'000;
};

} // namespace Emulate
