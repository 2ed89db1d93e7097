#pragma once

#include "fleet/shardchooser.h"
#include "fleet/taillatencymodel.h"

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
    std::uint64_t incarnation = 1; //!< Number of the node's process.
    bool isUp = true;
    bool isStoreReachable = true;
};

} // namespace Emulate
