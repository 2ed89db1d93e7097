// Owners of shards in EmulatedFleet: takeovers, what they store, and what they ask the owners before them.

#include "emulatedfleet.h"

#include <algorithm>

namespace Emulate {

void EmulatedFleet::killNode(std::size_t node)
{
    nodes_[node].isUp = false;
    for (const auto& owner : owners_) {
        if (owner->node() != node)
            continue;
        owner->close();
        waitChecker_.onOwnerLost(owner->shard());
    }
}

void EmulatedFleet::restartNode(std::size_t node)
{
    EmulatedNode restarted;
    restarted.heartbeat = nodes_[node].heartbeat;
    restarted.heartbeatMs = nodes_[node].heartbeatMs;
    restarted.isStoreReachable = nodes_[node].isStoreReachable;
    restarted.incarnation = nodes_[node].incarnation + 1;
    nodes_[node] = std::move(restarted);
    for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
        const auto& owner = shards_[shard].owner;
        if (owner && owner->isClosed() && owner->node() == node)
            claim(shard, node);
    }
}

// Passes shards whose owner does not send heartbeats to another node.
void EmulatedFleet::planOwnership()
{
    for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
        const auto& owner = shards_[shard].owner;
        const bool isAlive = owner && hasHeartbeat(nodes_[owner->node()]);
        const bool isClaimed
            = owner && !owner->isClosed() && nowMs() - shards_[shard].takenOverMs < nodeTimeoutMs;
        const bool isServed = isAlive && (!owner->isClosed() || !nodes_[owner->node()].isUp);
        if (isClaimed || isServed)
            continue;
        const std::size_t first = static_cast<std::size_t>(time_.random(nodes_.size()));
        for (std::size_t offset = 0; offset < nodes_.size(); ++offset) {
            const std::size_t node = (first + offset) % nodes_.size();
            if (canAct(node) && (!owner || owner->node() != node || owner->isClosed())) {
                if (owner)
                    checkTakeover(*owner);
                claim(shard, node);
                break;
            }
        }
    }
}

void EmulatedFleet::claim(std::size_t shard, std::size_t node)
{
    StoredShard& stored = shards_[shard];
    const FleetSchema::ShardRecord former = stored.record;
    if (stored.owner) {
        const std::int64_t writtenMs = static_cast<std::int64_t>(former.store_ms()) - storeClockOriginMs;
        stored.changes.push_back({ nowMs(), writtenMs, former.owner().empty() });
    }
    stored.takenOverMs = nowMs();
    const std::shared_ptr<EmulatedOwner> formerOwner = stored.owner;
    stored.owner = std::make_shared<EmulatedOwner>(*this, node, shard);
    owners_.push_back(stored.owner);
    stored.record = stored.owner->takeOver(former, formerOwner);
}

void EmulatedFleet::onReleased(std::size_t shard, std::size_t formerNode)
{
    for (std::size_t offset = 1; offset < nodes_.size(); ++offset) {
        const std::size_t node = (formerNode + offset) % nodes_.size();
        if (!canAct(node))
            continue;
        time_.schedule(time_.latencyMs(), [this, shard, node, epoch = shards_[shard].record.epoch()] {
            if (shards_[shard].record.epoch() == epoch && canAct(node))
                claim(shard, node);
        });
        return;
    }
}

EmulatedFleet::StoreOutcome EmulatedFleet::store(
    std::size_t number, const FleetSchema::ShardRecord& record, const Fleet::RecordBatch& batch)
{
    StoredShard& shard = shards_[number];
    if (shard.record.epoch() != record.epoch())
        return StoreOutcome::TakenOver;
    if (shard.record.sequence() == record.sequence())
        return StoreOutcome::StoredBefore;
    shard.record = record;
    for (const auto& [id, value] : batch.puts) {
        FleetSchema::JobRecord job;
        job.ParseFromString(value);
        if (job.origin_shard().empty() && job.state() != FleetSchema::JOB_CANCELLED)
            checker_.onRecordStored(job, nowMs());
        if (job.state() == FleetSchema::JOB_CANCELLED)
            checker_.onCancellationStored(id, nowMs());
        shard.rows[id] = std::move(job);
    }
    for (const std::string& id : batch.removals)
        shard.rows.erase(id);
    return StoreOutcome::Stored;
}

void EmulatedFleet::askFormerOwner(
    const std::shared_ptr<EmulatedOwner>& former, std::function<void(const FormerOwnerAnswer&)> onAnswer)
{
    // The question makes a former owner give up the shard, which fencing does as well.
    if (isCallLost() || scenario_.variant == FleetVariant::NoEpochFencing)
        return;
    const std::int64_t busyMs = nodes_[former->node()].busyMs(nowMs());
    time_.schedule(time_.latencyMs() + busyMs, [this, former, onAnswer = std::move(onAnswer)] {
        const EmulatedNode& node = nodes_[former->node()];
        if (!node.isUp || node.frozenUntilMs > nowMs())
            return;
        FormerOwnerAnswer answer;
        answer.hasProcessEnded = node.incarnation != former->incarnation();
        if (!answer.hasProcessEnded) {
            former->close();
            answer.leaseEnds = former->finalLeaseEnds();
            answer.unstoredEnds = former->unstoredEnds();
        }
        if (isCallLost())
            return;
        time_.schedule(time_.latencyMs(), [onAnswer, answer] { onAnswer(answer); });
    });
}

} // namespace Emulate
