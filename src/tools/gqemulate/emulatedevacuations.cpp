#include "emulatedevacuations.h"

#include "emulatedfleet.h"
#include "virtualtime.h"

#include <chrono>

namespace Emulate {

namespace {

// As long as a node waits for a change.
constexpr std::int64_t readIntervalMs = 1500;
// As FleetNode::EvacuationRequests::knownUntil().
constexpr std::int64_t startReserveMs = 1000;

} // namespace

EmulatedEvacuations::EmulatedEvacuations(
    const VirtualTime& time, std::size_t shardCount, std::size_t nodeCount)
    : time_(time)
    , shards_(shardCount)
    , nodes_(nodeCount)
{
}

void EmulatedEvacuations::setRequested(std::size_t shard, bool isRequested)
{
    Shard& changed = shards_[shard];
    if (isRequested && changed.requests == 0)
        changed.sinceMs = time_.nowMs();
    changed.requests += isRequested ? 1 : -1;
    ++version_;
}

bool EmulatedEvacuations::isInForce(std::size_t shard) const
{
    return isRequested(shard) && time_.nowMs() - shards_[shard].sinceMs > boundMs;
}

bool EmulatedEvacuations::isReadDue(std::size_t node) const
{
    const Node& reader = nodes_[node];
    return reader.readMs < 0 || reader.version != version_ || time_.nowMs() - reader.readMs >= readIntervalMs;
}

void EmulatedEvacuations::read(std::size_t node)
{
    Node& reader = nodes_[node];
    reader = { {}, time_.nowMs(), version_ };
    for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
        if (isRequested(shard))
            reader.shards.insert(shard);
    }
}

std::set<std::string> EmulatedEvacuations::knownShards(std::size_t node) const
{
    std::set<std::string> names;
    for (const std::size_t shard : nodes_[node].shards)
        names.insert(EmulatedFleet::shardName(shard));
    return names;
}

Utils::TimePoint EmulatedEvacuations::knownUntil(std::size_t node) const
{
    if (nodes_[node].readMs < 0)
        return Utils::TimePoint::min();
    return time_.now()
        + std::chrono::milliseconds(nodes_[node].readMs + boundMs - startReserveMs - time_.nowMs());
}

} // namespace Emulate
