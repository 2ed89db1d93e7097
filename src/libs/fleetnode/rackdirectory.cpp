#include "rackdirectory.h"

#include "fleet/rackmap.h"
#include "utils/log/log.h"

namespace FleetNode {

RackDirectory::RackDirectory(NodeContext& context)
    : context_(context)
{
}

void RackDirectory::setWorkers(const std::vector<Ports::WorkerInfo>& workers)
{
    workers_ = workers;
    groupWorkers();
}

bool RackDirectory::setMapRow(const Ports::Row& row)
{
    if (row.version == mapVersion_)
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

void RackDirectory::addUnmappedRacks()
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
    FleetSchema::RackMap extendedMap = map_;
    if (!Fleet::assignRacksToShards(std::move(rackInfos), extendedMap))
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

std::vector<Ports::WorkerInfo> RackDirectory::workersOf(const std::string& shard) const
{
    const auto found = workersByShard_.find(shard);
    return found == workersByShard_.end() ? std::vector<Ports::WorkerInfo>() : found->second;
}

std::string RackDirectory::domainOf(const std::string& shard) const
{
    const auto found = domainByShard_.find(shard);
    return found == domainByShard_.end() ? std::string() : found->second;
}

} // namespace FleetNode
