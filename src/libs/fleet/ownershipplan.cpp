#include "ownershipplan.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace Fleet {

namespace {

using Counts = std::map<std::string, int>;

std::string regionOfDomain(const std::map<std::string, std::string>& regionOf, const std::string& domain)
{
    const auto found = regionOf.find(domain);
    return found == regionOf.end() ? std::string() : found->second;
}

int distance(
    const ShardPlace& shard, const NodePlace& node, const std::map<std::string, std::string>& regionOf)
{
    if (shard.domain == node.domain)
        return 0;
    return regionOfDomain(regionOf, shard.domain) == node.region ? 1 : 2;
}

Counts countShards(const std::vector<ShardPlace>& shards)
{
    Counts counts;
    for (const ShardPlace& shard : shards) {
        if (!shard.owner.empty())
            ++counts[shard.owner];
    }
    return counts;
}

// Shards a node would own per processor with one more.
double loadWithOneMore(const NodePlace& node, Counts& counts)
{
    constexpr double leastProcessors = 0.001;
    return (counts[node.name] + 1) / std::max(leastProcessors, node.processors);
}

const NodePlace* bestNode(const ShardPlace& shard, const std::vector<NodePlace>& nodes, Counts& counts,
    const std::map<std::string, std::string>& regionOf)
{
    const NodePlace* best = nullptr;
    std::tuple<double, int, std::size_t> bestKey;
    for (const NodePlace& node : nodes) {
        if (node.isLeaving)
            continue;
        // Spreads equal choices over the nodes.
        const std::size_t order = std::hash<std::string> {}(shard.shard + "/" + node.name);
        const std::tuple key(loadWithOneMore(node, counts), distance(shard, node, regionOf), order);
        if (!best || key < bestKey) {
            best = &node;
            bestKey = key;
        }
    }
    return best;
}

} // namespace

std::vector<ShardMove> planOrphans(const std::vector<ShardPlace>& shards, const std::vector<NodePlace>& nodes,
    const std::map<std::string, std::string>& regionOf)
{
    Counts counts = countShards(shards);
    std::vector<ShardMove> moves;
    for (const ShardPlace& shard : shards) {
        if (!shard.owner.empty())
            continue;
        const NodePlace* node = bestNode(shard, nodes, counts, regionOf);
        if (!node)
            continue;
        ++counts[node->name];
        moves.push_back({ shard.shard, node->name });
    }
    return moves;
}

std::vector<ShardMove> planHandovers(const std::string& self, const std::vector<ShardPlace>& shards,
    const std::vector<NodePlace>& nodes, const std::map<std::string, std::string>& regionOf)
{
    Counts counts = countShards(shards);
    const auto ownPlace
        = std::find_if(nodes.begin(), nodes.end(), [&](const NodePlace& node) { return node.name == self; });
    if (ownPlace == nodes.end())
        return {};
    const bool isLeaving = ownPlace->isLeaving;
    std::vector<ShardMove> moves;
    for (const ShardPlace& shard : shards) {
        if (shard.owner != self)
            continue;
        const NodePlace* node = bestNode(shard, nodes, counts, regionOf);
        if (!node || node->name == self)
            continue;
        // A handover costs a pause, so it must gain more than the difference of one shard between equal
        // nodes.
        constexpr double leastGain = 1.5;
        --counts[self];
        const double own = loadWithOneMore(*ownPlace, counts);
        ++counts[self];
        if (!isLeaving && own < leastGain * loadWithOneMore(*node, counts))
            continue;
        moves.push_back({ shard.shard, node->name });
        ++counts[node->name];
        --counts[self];
        if (!isLeaving)
            break;
    }
    return moves;
}

} // namespace Fleet
