// Ticks, scheduling passes and transactions of EmulatedOwner.

#include "emulatedfleet.h"
#include "emulatedowner.h"

namespace Emulate {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t housekeepingIntervalMs = 100;
// Interval in which the list of workers is read in scenarios with worker disturbances.
constexpr std::int64_t listIntervalMs = 800;
constexpr std::int64_t minCommitIntervalMs = 40;
constexpr std::int64_t ownershipRenewalMs = 2000;

} // namespace

// Lets the node's event loop be occupied for the steps of the latest pass or tick.
void EmulatedOwner::chargePass()
{
    const std::size_t steps = scheduler_->latestPass().spent();
    fleet_.onPass(steps);
    fleet_.node(node_).occupy(fleet_.scenario().processor.timeNs(steps), fleet_.nowMs());
}

void EmulatedOwner::advance()
{
    const std::int64_t nowMs = fleet_.nowMs();
    if (!isServing() || fleet_.node(node_).frozenUntilMs > nowMs)
        return;
    if (nowMs % housekeepingIntervalMs == 0)
        isTickDue_ = true;
    if (isBusy())
        return;
    if (isTickDue_)
        tick();
    if (isBusy())
        return;
    pollWorkers();
    if (!isCommitting_ && nowMs >= nextRoundMs_)
        commit();
}

void EmulatedOwner::tick()
{
    isTickDue_ = false;
    if (fleet_.isStoreReachable(node_))
        readWorkerList();
    if (scheduler_->countUnconfirmedAttempts() > 0)
        askFormerOwner();
    scheduler_->onTick(fleet_.time().now(), fleet_.nowMs());
    chargePass();
    std::erase_if(nextPollMs_, [this](const auto& entry) { return !scheduler_->knowsWorker(entry.first); });
}

void EmulatedOwner::readWorkerList()
{
    const std::int64_t nowMs = fleet_.nowMs();
    if (fleet_.scenario().hasWorkerDisturbances && listReadMs_ >= 0 && nowMs - listReadMs_ < listIntervalMs)
        return;
    listReadMs_ = nowMs;
    const std::vector<Ports::WorkerInfo> listed = fleet_.platform().listWorkers(shard_);
    scheduler_->setWorkers(listed, fleet_.time().now());
    for (const Ports::WorkerInfo& info : listed)
        nextPollMs_.try_emplace(info.id, nowMs);
    for (const Ports::WorkerInfo& info : scheduler_->unlistedWorkers())
        nextPollMs_.try_emplace(info.id, nowMs);
}

void EmulatedOwner::commit()
{
    if (!isReleasing_) {
        scheduler_->schedule(fleet_.time().now(), fleet_.nowMs());
        chargePass();
    }
    if (!isBusy())
        return sendCommit();
    isCommitting_ = true;
    runWhenFree([this] {
        isCommitting_ = false;
        sendCommit();
    });
}

// Sends what the latest pass has changed, at the end of that pass.
void EmulatedOwner::sendCommit()
{
    const std::int64_t nowMs = fleet_.nowMs();
    std::optional<Fleet::RecordBatch> batch = scheduler_->beginCommit(nowMs);
    const bool isLast = isReleasing_ && !scheduler_->hasChanges() && !(batch && batch->hasStarts);
    const Utils::TimePoint now = fleet_.time().now();
    if (!batch && !isLast && !scheduler_->isLeaseStatementDue(now)
        && nowMs - confirmedMs_ < ownershipRenewalMs)
        return;
    isCommitting_ = true;
    isReleaseSent_ = isLast;
    if (isLast)
        scheduler_->setStartRightEnd(startRightEnd_ = Utils::TimePoint::min());
    nextRoundMs_ = nowMs + minCommitIntervalMs;
    row_.setHeldLeaseEnd(scheduler_->heldLeaseEnd());
    row_.prepare(isLast ? scheduler_->leaseEnds() : scheduler_->stateLeaseEnds(now), isLast, now);
    firstSentMs_ = nowMs;
    auto shared = std::make_shared<Fleet::RecordBatch>(batch.value_or(Fleet::RecordBatch()));
    storeBatch(shared, isLast);
}

// A transaction that cannot reach the store, or whose answer is lost, is repeated until its outcome is known.
// The row states the time at which it was sent, so that a repeated one states a later time.
void EmulatedOwner::storeBatch(const std::shared_ptr<Fleet::RecordBatch>& batch, bool isLast)
{
    const std::int64_t sentMs = fleet_.nowMs();
    const Utils::TimePoint sentAt = fleet_.time().now();
    const auto record = std::make_shared<FleetSchema::ShardRecord>(row_.dated(sentAt));
    const auto retry = [this, batch, isLast] { storeBatch(batch, isLast); };
    runLater(4 + fleet_.time().random(10), [this, batch, isLast, sentMs, sentAt, record, retry] {
        if (!fleet_.isStoreReachable(node_))
            return runLater(storeRetryMs, retry);
        const EmulatedFleet::StoreOutcome outcome = fleet_.store(shard_, *record, *batch);
        if (outcome == EmulatedFleet::StoreOutcome::TakenOver)
            return close();
        const std::int64_t storeMs = fleet_.storeMs();
        // Which copy was stored is unknown after a lost answer.
        const std::int64_t confirmedMs
            = outcome == EmulatedFleet::StoreOutcome::Stored ? sentMs : firstSentMs_;
        runLater(2 + fleet_.time().random(10), [this, isLast, confirmedMs, storeMs, sentAt, retry] {
            if (!fleet_.isStoreReachable(node_))
                return runLater(storeRetryMs, retry);
            row_.onAnswer(storeMs, sentAt, fleet_.time().now());
            onStored(isLast, confirmedMs);
        });
    });
}

void EmulatedOwner::setEvacuated(bool isEvacuated, Utils::TimePoint knownUntil)
{
    evacuationKnownUntil_ = knownUntil;
    scheduler_->setEvacuated(isEvacuated);
    scheduler_->setStartRightEnd(std::min(startRightEnd_, evacuationKnownUntil_));
}

void EmulatedOwner::onStored(bool isLast, std::int64_t confirmedMs)
{
    isCommitting_ = false;
    confirmedMs_ = confirmedMs;
    const Utils::TimePoint now = fleet_.time().now();
    startRightEnd_ = now + milliseconds(confirmedMs + renewalMs_ - fleet_.nowMs());
    scheduler_->setStartRightEnd(std::min(startRightEnd_, evacuationKnownUntil_));
    scheduler_->onCommitted(now);
    if (isLast) {
        close();
        fleet_.onReleased(shard_, node_);
    }
}

} // namespace Emulate
