#include "rackmap.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <span>
#include <tuple>

namespace Fleet {

namespace {

// A shard with this many workers gets no more racks unless few are left. The larger a shard, the better it
// places wide steps and keeps tasks apart that interfere; the limit bounds the processor time that its owner
// needs.
constexpr std::size_t targetWorkersPerShard = 64;

using WorkerCounts = std::map<std::string, std::size_t>; // By shard.

std::string shardPrefix(const RackInfo& rack)
{
    return rack.service + "/" + rack.domain + "/";
}

// Returns the shard with the fewest workers among those with the prefix; empty if there is none.
std::string smallestShard(const std::string& prefix, const WorkerCounts& workersOfShard)
{
    std::string smallest;
    for (auto entry = workersOfShard.lower_bound(prefix);
         entry != workersOfShard.end() && entry->first.starts_with(prefix); ++entry) {
        if (smallest.empty() || entry->second < workersOfShard.at(smallest))
            smallest = entry->first;
    }
    return smallest;
}

std::string newShard(const std::string& prefix, const WorkerCounts& workersOfShard)
{
    int number = 1;
    while (workersOfShard.contains(prefix + std::to_string(number)))
        ++number;
    return prefix + std::to_string(number);
}

std::size_t countWorkers(std::span<const RackInfo> racks)
{
    return std::accumulate(racks.begin(), racks.end(), std::size_t { 0 },
        [](std::size_t sum, const RackInfo& rack) { return sum + rack.workerCount; });
}

// Assigns racks of one service and failure domain that no existing shard takes. Racks that make up less than
// a shard join one, because a small shard leaves capacity unused that the others lack.
void assignToNewShards(
    std::span<const RackInfo> racks, WorkerCounts& workersOfShard, FleetSchema::RackMap& map)
{
    const std::string prefix = shardPrefix(racks.front());
    const std::size_t total = countWorkers(racks);
    const std::size_t shardCount = std::max<std::size_t>(1, total / targetWorkersPerShard);
    const std::string smallest = smallestShard(prefix, workersOfShard);
    const bool isRest = total < targetWorkersPerShard && !smallest.empty();
    std::string shard = isRest ? smallest : newShard(prefix, workersOfShard);
    std::size_t assigned = 0;
    std::size_t filledShards = 0;
    for (const RackInfo& rack : racks) {
        if (assigned * shardCount >= total * (filledShards + 1)) {
            ++filledShards;
            shard = newShard(prefix, workersOfShard);
        }
        (*map.mutable_shards())[rackKey(rack.service, rack.rack)] = shard;
        workersOfShard[shard] += rack.workerCount;
        assigned += rack.workerCount;
    }
}

} // namespace

std::string rackKey(const std::string& service, const std::string& rack)
{
    return service + "/" + rack;
}

bool assignRacksToShards(std::vector<RackInfo> racks, FleetSchema::RackMap& map)
{
    std::sort(racks.begin(), racks.end(), [](const RackInfo& left, const RackInfo& right) {
        return std::tie(left.service, left.domain, left.rack)
            < std::tie(right.service, right.domain, right.rack);
    });
    WorkerCounts workersOfShard;
    for (const auto& [rack, shard] : map.shards())
        workersOfShard[shard];
    for (const RackInfo& rack : racks) {
        const auto mapped = map.shards().find(rackKey(rack.service, rack.rack));
        if (mapped != map.shards().end())
            workersOfShard[mapped->second] += rack.workerCount;
    }
    std::map<std::string, std::vector<RackInfo>> remaining; // By prefix of the shards.
    bool isChanged = false;
    for (const RackInfo& rack : racks) {
        const std::string key = rackKey(rack.service, rack.rack);
        if (map.shards().contains(key))
            continue;
        isChanged = true;
        const std::string shard = smallestShard(shardPrefix(rack), workersOfShard);
        if (shard.empty() || workersOfShard[shard] >= targetWorkersPerShard) {
            remaining[shardPrefix(rack)].push_back(rack);
            continue;
        }
        (*map.mutable_shards())[key] = shard;
        workersOfShard[shard] += rack.workerCount;
    }
    for (const auto& [prefix, racksOfDomain] : remaining)
        assignToNewShards(racksOfDomain, workersOfShard, map);
    return isChanged;
}

} // namespace Fleet
