// Rounds and ticks of ShardHost: passes of the scheduler and the transactions that store their decisions.

#include "shardhost.h"

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Minimum time between transactions of a shard; lets a transaction combine several decisions.
constexpr milliseconds minCommitInterval { 40 };
// An idle owner renews its ownership this often, well within the time for which it renews leases.
constexpr milliseconds ownershipRenewalInterval { 2000 };

} // namespace

// Runs a pass of the scheduler and measures it.
void ShardHost::runPass(std::string_view name, const std::function<void(Utils::TimePoint)>& pass)
{
    const Utils::TimePoint start = context_.now();
    pass(start);
    const Utils::TimePoint end = context_.now();
    passMonitor_.onPass(name, scheduler_.latestPass(), end - start, [&] {
        return OwnerAges { scheduler_.workerListAge(end), end - writer_.confirmedAt(),
            scheduler_.shortestLease(end) };
    });
}

void ShardHost::requestRound()
{
    if (!isLoaded_ || isClosed_ || writer_.isBusy() || roundTimer_.isSet())
        return;
    const Utils::Duration delay = std::max(Utils::Duration::zero(), nextRoundAllowedAt_ - context_.now());
    roundTimer_.start(delay, [this] { runRound(); });
}

// Runs one scheduling pass and stores its decisions.
void ShardHost::runRound()
{
    if (isClosed_ || writer_.isBusy())
        return;
    const Utils::TimePoint now = context_.now();
    scheduler_.setStartRightEnd(passRightEnd());
    if (!isReleasing_)
        runPass("schedule",
            [this](Utils::TimePoint start) { scheduler_.schedule(start, NodeContext::nowUnixMs()); });
    const std::optional<Fleet::RecordBatch> batch = scheduler_.beginCommit(NodeContext::nowUnixMs());
    // Starts are sent once their batch is stored, which must be before the release.
    const bool isLast = isReleasing_ && !scheduler_.hasChanges() && !(batch && batch->hasStarts);
    if (!batch && !isLast && !scheduler_.isLeaseStatementDue(now) && !needsConfirmation()
        && now - writer_.confirmedAt() < ownershipRenewalInterval) {
        for (const auto& [worker, connection] : connections_)
            connection->resumePolling();
        if (scheduler_.isSweepUnfinished()) {
            nextRoundAllowedAt_ = context_.now() + minCommitInterval;
            requestRound();
        }
        return;
    }
    nextRoundAllowedAt_ = context_.now() + minCommitInterval;
    isReleaseSent_ = isLast;
    // After a release is sent, no lease is renewed and no start is sent, so the ends of the leases hold for
    // all that this owner has sent, also for calls in flight: a lease ends at a time on the worker's clock,
    // whenever the call arrives. The transaction is repeated until it is applied or another node owns the
    // shard, so this owner never goes on after it.
    writer_.setHeldLeaseEnd(scheduler_.heldLeaseEnd());
    writer_.write(
        batch.value_or(Fleet::RecordBatch()), isLast,
        [this, isLast] {
            onBatchStored();
            if (isLast)
                close("released");
        },
        isLast ? scheduler_.leaseEnds() : scheduler_.stateLeaseEnds(now));
}

void ShardHost::onBatchStored()
{
    scheduler_.setStartRightEnd(startRightEnd());
    scheduler_.onCommitted(context_.now());
    for (const auto& [worker, connection] : connections_)
        connection->resumePolling();
    if (scheduler_.hasChanges() || isReleasing_ || scheduler_.isScheduleDue())
        requestRound();
}

void ShardHost::onBatchRejected()
{
    scheduler_.onBatchRejected(context_.now(), NodeContext::nowUnixMs());
    requestRound();
}

void ShardHost::tick()
{
    if (!isLoaded_ || isClosed_)
        return;
    scheduler_.setStartRightEnd(startRightEnd());
    if (hasUnconfirmedAttempts())
        formerOwnerInquiry_.tick();
    runPass("tick", [this](Utils::TimePoint start) { scheduler_.onTick(start, NodeContext::nowUnixMs()); });
    reportEvacuation();
    std::erase_if(connections_, [this](const auto& entry) { return !scheduler_.knowsWorker(entry.first); });
    if (scheduler_.hasChanges() || scheduler_.isScheduleDue()
        || scheduler_.isLeaseStatementDue(context_.now()) || needsConfirmation()
        || context_.now() - writer_.confirmedAt() > ownershipRenewalInterval) {
        requestRound();
    }
}

} // namespace FleetNode
