#pragma once

#include "ports/platformbinding.h"
#include "telemetry/metrics.h"
#include "utils/clock.h"

#include <settings.pb.h>

#include <cstdint>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace Http {
class ByteBudget;
}

namespace FleetNode {

/*! Dependencies shared by the components of a node; must outlive them all. */
struct NodeContext {
    boost::asio::io_context& io;
    const Utils::Clock& clock;
    Ports::RowStore& store;
    const Ports::PlatformBinding& platform;
    const Schema::NodeDaemonSettings& settings;
    Telemetry::Metrics& metrics;
    std::uint64_t incarnation = 0; //!< Incarnation of this process; increases with each start.
    std::shared_ptr<Http::ByteBudget> responseBudget {}; //!< Of all responses received; null: no bound.

    /*! \return the current monotonic time. */
    Utils::TimePoint now() const { return clock.now(); }

    /*! \return the current Unix time in milliseconds. */
    static std::int64_t nowUnixMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }
};

/*!
    \return the greatest size of a row's value, in bytes, before it is encoded. It fits whether the platform's
   limit is meant for the bytes or for their base64 text, which is 4/3 as long.
*/
inline std::size_t maxRowBytes(const NodeContext& context)
{
    return std::size_t { context.settings.table().row_bytes() } / 4 * 3;
}

// Tables and row keys of this system in the platform's store.
inline constexpr char shardTable[] = "shards"; //!< One row for each shard, in the shard's partition.
inline constexpr char shardOwnerKey[] = "owner";
inline constexpr char jobTable[] = "jobs"; //!< One row for each job, in the partition of its shard.
inline constexpr char jobIndexTable[] = "job-index"; //!< Shard of each job, partitioned by hash.
inline constexpr char nodeTable[] = "nodes"; //!< One heartbeat row for each node, and the rack map.
inline constexpr char tailLatencyTable[] = "interference"; //!< One row of estimates for each node.
inline constexpr char rackMapKey[] = "racks"; //!< Row in nodeTable that maps racks to shards.
inline constexpr char nodeKeyPrefix[] = "node/"; //!< Keeps keys of nodes apart from rackMapKey.

} // namespace FleetNode
