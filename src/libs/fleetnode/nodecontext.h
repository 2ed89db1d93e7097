#pragma once

#include "ports/platformbinding.h"
#include "telemetry/metrics.h"
#include "utils/clock.h"

#include <settings.pb.h>

#include <cstdint>

namespace boost::asio {
class io_context;
}

namespace FleetNode {

/*! What the parts of a node share; all of it outlives them. */
struct NodeContext {
    boost::asio::io_context& io;
    const Utils::Clock& clock;
    Ports::RowStore& store;
    const Ports::PlatformBinding& platform;
    const Schema::NodeDaemonSettings& settings;
    Telemetry::Metrics& metrics;
    std::uint64_t incarnation = 0; //!< Of this process; rises with each start.

    /*! \return the present monotonic time. */
    Utils::TimePoint now() const { return clock.now(); }

    /*! \return the time of day as Unix time in milliseconds. */
    static std::int64_t nowUnixMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }
};

// Tables of this system in the platform's store.
inline constexpr char shardTable[] = "shards"; //!< A row a shard, in the shard's partition.
inline constexpr char shardOwnerKey[] = "owner";
inline constexpr char jobTable[] = "jobs"; //!< A row a job, in the partition of its shard.
inline constexpr char jobIndexTable[] = "job-index"; //!< Shard of each job, in partitions by hash.
inline constexpr char nodeTable[] = "nodes"; //!< A heartbeat row a node, and the row of racks.
inline constexpr char tailLatencyTable[] = "interference"; //!< What each node has learnt; a row a node.
inline constexpr char rackMapKey[] = "racks"; //!< Which racks make up a shard; names of nodes have a prefix.
inline constexpr char nodeKeyPrefix[] = "node/";

} // namespace FleetNode
