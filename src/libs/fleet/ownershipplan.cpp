#include "ownershipplan.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace Fleet {

namespace {

using ShardCounts = std::map<std::string, int>;

std::string regionOfDomain(
    const std::map<std::string, std::string>& regionByDomain, const std::string& domain)
{
    const auto found = regionByDomain.find(domain);
    return found == regionByDomain.end() ? std::string() : found->second;
}

int distance(
    const ShardInfo& shard, const NodeInfo& node, const std::map<std::string, std::string>& regionByDomain)
{
    if (shard.domain == node.domain)
        return 0;
    return regionOfDomain(regionByDomain, shard.domain) == node.region ? 1 : 2;
}

ShardCounts countShards(const std::vector<ShardInfo>& shards)
{
    ShardCounts counts;
    for (const ShardInfo& shard : shards) {
        if (!shard.owner.empty())
            ++counts[shard.owner];
    }
    return counts;
}

// Returns how many shards per processor the node would own with one more shard.
double loadWithOneMoreShard(const NodeInfo& node, ShardCounts& counts)
{
    constexpr double minProcessors = 0.001;
    return (counts[node.name] + 1) / std::max(minProcessors, node.processors);
}

const NodeInfo* bestNode(const ShardInfo& shard, const std::vector<NodeInfo>& nodes, ShardCounts& counts,
    const std::map<std::string, std::string>& regionByDomain)
{
    const NodeInfo* best = nullptr;
    std::tuple<double, int, std::size_t> bestKey;
    for (const NodeInfo& node : nodes) {
        if (node.isLeaving)
            continue;
        // Spreads shards over nodes that are otherwise equal.
        const std::size_t tieBreaker = std::hash<std::string> {}(shard.shard + "/" + node.name);
        const std::tuple key(
            loadWithOneMoreShard(node, counts), distance(shard, node, regionByDomain), tieBreaker);
        if (!best || key < bestKey) {
            best = &node;
            bestKey = key;
        }
    }
    return best;
}

} // namespace

std::vector<ShardAssignment> planOrphanAssignments(const std::vector<ShardInfo>& shards,
    const std::vector<NodeInfo>& nodes, const std::map<std::string, std::string>& regionByDomain)
{
    ShardCounts counts = countShards(shards);
    std::vector<ShardAssignment> assignments;
    for (const ShardInfo& shard : shards) {
        if (!shard.owner.empty())
            continue;
        const NodeInfo* node = bestNode(shard, nodes, counts, regionByDomain);
        if (!node)
            continue;
        ++counts[node->name];
        assignments.push_back({ shard.shard, node->name });
    }
    return assignments;
}

std::vector<ShardAssignment> planHandovers(const std::string& self, const std::vector<ShardInfo>& shards,
    const std::vector<NodeInfo>& nodes, const std::map<std::string, std::string>& regionByDomain)
{
    ShardCounts counts = countShards(shards);
    const auto ownNode
        = std::find_if(nodes.begin(), nodes.end(), [&](const NodeInfo& node) { return node.name == self; });
    if (ownNode == nodes.end())
        return {};
    const bool isLeaving = ownNode->isLeaving;
    std::vector<ShardAssignment> assignments;
    for (const ShardInfo& shard : shards) {
        // Its next owner would begin to ask the workers anew.
        if (shard.owner != self || (shard.hasUnconfirmedAttempts && !isLeaving))
            continue;
        const NodeInfo* node = bestNode(shard, nodes, counts, regionByDomain);
        if (!node || node->name == self)
            continue;
        // A handover causes a pause, so a difference of one shard between equal nodes must not trigger one.
        constexpr double minGainFactor = 1.5;
        --counts[self];
        const double ownLoad = loadWithOneMoreShard(*ownNode, counts);
        ++counts[self];
        if (!isLeaving && ownLoad < minGainFactor * loadWithOneMoreShard(*node, counts))
            continue;
        assignments.push_back({ shard.shard, node->name });
        ++counts[node->name];
        --counts[self];
        if (!isLeaving)
            break;
    }
    return assignments;
}

} // namespace Fleet
