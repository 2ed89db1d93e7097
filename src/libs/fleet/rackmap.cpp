#include "rackmap.h"

#include <algorithm>
#include <map>

namespace Fleet {

namespace {

// A shard with this many workers gets no more racks. They suffice for a step of a dozen tasks that must all
// run on different workers while some workers are unavailable.
constexpr std::size_t targetWorkersPerShard = 16;

} // namespace

std::string rackKey(const std::string& service, const std::string& rack)
{
    return service + "/" + rack;
}

bool assignRacksToShards(std::vector<RackInfo> racks, FleetSchema::RackMap& map)
{
    std::sort(racks.begin(), racks.end(), [](const RackInfo& left, const RackInfo& right) {
        return rackKey(left.service, left.rack) < rackKey(right.service, right.rack);
    });
    std::map<std::string, std::size_t> workersOfShard;
    for (const auto& [rack, shard] : map.shards())
        workersOfShard[shard];
    for (const RackInfo& rack : racks) {
        const auto mapped = map.shards().find(rackKey(rack.service, rack.rack));
        if (mapped != map.shards().end())
            workersOfShard[mapped->second] += rack.workerCount;
    }
    bool isChanged = false;
    for (const RackInfo& rack : racks) {
        const std::string key = rackKey(rack.service, rack.rack);
        if (map.shards().contains(key))
            continue;
        const std::string prefix = rack.service + "/" + rack.domain + "/";
        std::string shard;
        for (int number = 1; shard.empty(); ++number) {
            const std::string name = prefix + std::to_string(number);
            const auto found = workersOfShard.find(name);
            if (found == workersOfShard.end() || found->second < targetWorkersPerShard)
                shard = name;
        }
        workersOfShard[shard] += rack.workerCount;
        (*map.mutable_shards())[key] = shard;
        isChanged = true;
    }
    return isChanged;
}

} // namespace Fleet
