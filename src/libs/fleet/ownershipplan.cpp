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

const NodePlace* bestNode(const ShardPlace& shard, const std::vector<NodePlace>& nodes, Counts& counts,
    const std::map<std::string, std::string>& regionOf)
{
    const NodePlace* best = nullptr;
    std::tuple<int, int, std::size_t> bestKey;
    for (const NodePlace& node : nodes) {
        if (node.isLeaving)
            continue;
        // Spreads equal choices over the nodes.
        const std::size_t order = std::hash<std::string> {}(shard.shard + "/" + node.name);
        const std::tuple key(counts[node.name], distance(shard, node, regionOf), order);
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
    const auto own
        = std::find_if(nodes.begin(), nodes.end(), [&](const NodePlace& node) { return node.name == self; });
    const bool isLeaving = own != nodes.end() && own->isLeaving;
    std::vector<ShardMove> moves;
    for (const ShardPlace& shard : shards) {
        if (shard.owner != self)
            continue;
        const NodePlace* node = bestNode(shard, nodes, counts, regionOf);
        if (!node || node->name == self)
            continue;
        if (!isLeaving && counts[self] - counts[node->name] < 2)
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
