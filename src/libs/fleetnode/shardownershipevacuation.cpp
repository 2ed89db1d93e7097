// Evacuations of failure domains, as they affect the shards that ShardOwnership knows.

#include "shardownership.h"

namespace FleetNode {

// Also tells hosts how current the evacuations are, so it is called periodically.
void ShardOwnership::applyEvacuations()
{
    if (!evacuationSource_)
        return;
    const Evacuations evacuations = evacuationSource_();
    const auto isEvacuated = [&](const std::string& shard) {
        return evacuations.domains.contains(rackDirectory_.domainOf(shard));
    };
    std::set<std::string> closedShards;
    if (!evacuations.domains.empty()) {
        for (const auto& [shard, owner] : shardOwners_) {
            if (isEvacuated(shard))
                closedShards.insert(shard);
        }
    }
    chooser_.setClosedShards(std::move(closedShards));
    for (const auto& [shard, host] : hosts_)
        host->setEvacuated(isEvacuated(shard), evacuations.knownUntil);
}

std::set<std::string> ShardOwnership::knownDomains() const
{
    std::set<std::string> domains;
    for (const auto& [domain, region] : regionOfDomain_)
        domains.insert(domain);
    for (const std::string& shard : rackDirectory_.shards())
        domains.insert(rackDirectory_.domainOf(shard));
    return domains;
}

bool ShardOwnership::hasShardWithRoom(
    const std::string& shard, const FleetSchema::JobSpec& spec, std::uint32_t step)
{
    return chooser_.hasRoomElsewhere(shard, spec, step);
}

} // namespace FleetNode
