#include "noderecord.h"

#include <fleet.pb.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Fleet {

std::size_t limitPendingCounts(FleetSchema::NodeRecord& record, std::size_t maxBytes)
{
    // Least size of an entry beside the name of the queue: three tags, two lengths and the count.
    constexpr std::size_t entryOverhead = 6;
    std::size_t bytes = record.ByteSizeLong();
    if (bytes <= maxBytes)
        return 0;
    std::vector<std::pair<std::uint32_t, std::string>> counts;
    for (const FleetSchema::ShardLoad& load : record.shards()) {
        for (const auto& [queue, count] : load.pending())
            counts.emplace_back(count, queue);
    }
    std::sort(counts.begin(), counts.end());
    std::size_t removedCount = 0;
    for (const auto& [count, queue] : counts) {
        if (bytes <= maxBytes)
            break;
        for (FleetSchema::ShardLoad& load : *record.mutable_shards()) {
            const auto found = load.pending().find(queue);
            if (found == load.pending().end() || found->second != count)
                continue;
            load.mutable_pending()->erase(queue);
            bytes -= std::min(bytes, queue.size() + entryOverhead);
            ++removedCount;
            break;
        }
    }
    return removedCount;
}

} // namespace Fleet
