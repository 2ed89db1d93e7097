#include "rackdirectory.h"

#include "fleet/rackmap.h"
#include "utils/log/log.h"

#include <algorithm>
#include <iterator>

namespace FleetNode {

RackDirectory::RackDirectory(NodeContext& context)
    : context_(context)
{
}

void RackDirectory::setWorkers(const std::vector<Ports::WorkerInfo>& workers, Utils::TimePoint readAt)
{
    workers_ = workers;
    workersReadAt_ = readAt;
    groupWorkers();
}

bool RackDirectory::setMapRow(const Ports::Row& row)
{
    // A relay may have read the rows before this node did.
    if (row.version <= mapVersion_)
        return false;
    mapVersion_ = row.version;
    if (!map_.ParseFromString(row.value))
        Utils::log(Utils::LogLevel::Error, "rack-map-damaged", {});
    groupWorkers();
    return true;
}

void RackDirectory::groupWorkers()
{
    for (auto& [shard, listed] : workersByShard_)
        listed.clear();
    for (const Ports::WorkerInfo& worker : workers_) {
        const auto shard = map_.shards().find(Fleet::rackKey(worker.service, worker.rack));
        // Unmapped racks are added with the next ownership plan.
        if (shard == map_.shards().end())
            continue;
        workersByShard_[shard->second].push_back(worker);
        domainByShard_[shard->second] = worker.domain;
    }
}

std::vector<Fleet::RackInfo> RackDirectory::listedRacks() const
{
    std::map<std::string, Fleet::RackInfo> racks;
    for (const Ports::WorkerInfo& worker : workers_) {
        Fleet::RackInfo& rack = racks[Fleet::rackKey(worker.service, worker.rack)];
        rack.service = worker.service;
        rack.rack = worker.rack;
        rack.domain = worker.domain;
        ++rack.workerCount;
    }
    std::vector<Fleet::RackInfo> rackInfos;
    rackInfos.reserve(racks.size());
    for (const auto& [key, rack] : racks)
        rackInfos.push_back(rack);
    return rackInfos;
}

bool RackDirectory::isMapped(const Fleet::RackInfo& rack) const
{
    return map_.shards().contains(Fleet::rackKey(rack.service, rack.rack));
}

void RackDirectory::addUnmappedRacks()
{
    std::vector<Fleet::RackInfo> racks = listedRacks();
    std::vector<Fleet::RackInfo> unmappedRacks;
    std::copy_if(racks.begin(), racks.end(), std::back_inserter(unmappedRacks),
        [this](const Fleet::RackInfo& rack) { return !isMapped(rack); });
    settling_.update(unmappedRacks, workersReadAt_);
    std::erase_if(racks, [&](const Fleet::RackInfo& rack) {
        return !isMapped(rack) && !settling_.isSettled(rack.service, rack.domain);
    });
    FleetSchema::RackMap extendedMap = map_;
    bool isChanged = Fleet::assignRacksToShards(std::move(racks), extendedMap);
    // Failure domains are also missing in a map that an earlier version wrote.
    for (const Ports::WorkerInfo& worker : workers_) {
        const auto shard = extendedMap.shards().find(Fleet::rackKey(worker.service, worker.rack));
        if (shard != extendedMap.shards().end())
            isChanged |= extendedMap.mutable_domains()->insert({ shard->second, worker.domain }).second;
    }
    if (!isChanged)
        return;
    const Ports::RowKey name { nodeTable, {}, rackMapKey };
    Ports::Transaction transaction;
    transaction.conditions.push_back({ name, mapVersion_ });
    transaction.puts.push_back({ name, extendedMap.SerializeAsString() });
    context_.store.commit(transaction, [](const Utils::Result<Ports::TransactionOutcome>& result) {
        // The resulting map, whichever node wrote it, is read together with the heartbeat rows.
        if (!Utils::isOk(result))
            Utils::logError("rack-map-write-failed", Utils::error(result));
    });
}

std::set<std::string> RackDirectory::shards() const
{
    std::set<std::string> shards;
    for (const auto& [rack, shard] : map_.shards())
        shards.insert(shard);
    return shards;
}

std::vector<Ports::WorkerInfo> RackDirectory::workersOf(const std::string& shard) const
{
    const auto found = workersByShard_.find(shard);
    return found == workersByShard_.end() ? std::vector<Ports::WorkerInfo>() : found->second;
}

std::string RackDirectory::domainOf(const std::string& shard) const
{
    const auto mapped = map_.domains().find(shard);
    if (mapped != map_.domains().end())
        return mapped->second;
    const auto listed = domainByShard_.find(shard);
    return listed == domainByShard_.end() ? std::string() : listed->second;
}

} // namespace FleetNode
