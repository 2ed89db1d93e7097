#include "relaychoice.h"

#include <algorithm>
#include <vector>

namespace Fleet {

namespace {

// With fewer nodes, the rows of all members are hardly larger than a reply of a relay.
constexpr std::size_t minNodesForRelays = 16;
// A larger failure domain has several relays, because each of them answers all its nodes at once.
constexpr std::size_t maxNodesPerRelay = 32;

bool precedes(const FleetSchema::NodeRecord& left, const FleetSchema::NodeRecord& right)
{
    if (left.processors() != right.processors())
        return left.processors() > right.processors();
    return left.name() < right.name();
}

} // namespace

const FleetSchema::NodeRecord* chooseRelay(
    const FleetSchema::NodeRecord& self, std::span<const FleetSchema::NodeRecord* const> alive)
{
    if (alive.size() < minNodesForRelays)
        return nullptr;
    std::vector<const FleetSchema::NodeRecord*> candidates;
    std::size_t position = 0; // Number of nodes of the failure domain before this one, by name.
    for (const FleetSchema::NodeRecord* node : alive) {
        if (node->domain() != self.domain() || node->leaving())
            continue;
        candidates.push_back(node);
        position += node->name() < self.name() ? 1 : 0;
    }
    const std::size_t relayCount = (candidates.size() + maxNodesPerRelay - 1) / maxNodesPerRelay;
    if (relayCount == 0)
        return nullptr;
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(relayCount),
        candidates.end(), [](const auto* left, const auto* right) { return precedes(*left, *right); });
    candidates.resize(relayCount);
    for (const FleetSchema::NodeRecord* candidate : candidates) {
        if (candidate->name() == self.name())
            return nullptr;
    }
    return candidates[position % relayCount];
}

} // namespace Fleet
