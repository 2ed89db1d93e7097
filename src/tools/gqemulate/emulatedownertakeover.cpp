// Takeover of a shard in EmulatedOwner: the leases of former owners and the loading of the jobs.

#include "emulatedfleet.h"
#include "emulatedowner.h"

#include <utility>

namespace Emulate {

namespace {

using std::chrono::milliseconds;

// Interval in which a former owner that does not answer is asked.
constexpr std::int64_t questionIntervalMs = 500;

} // namespace

FleetSchema::ShardRecord EmulatedOwner::takeOver(
    const FleetSchema::ShardRecord& former, std::shared_ptr<EmulatedOwner> formerOwner)
{
    const std::string name = std::to_string(node_);
    const Utils::TimePoint now = fleet_.time().now();
    row_.takeOver(former, name, incarnation_, fleet_.storeMs(), now);
    ignoresFormerRow_
        = fleet_.scenario().variant == FleetVariant::LeaseWaitFromTakeover && !former.owner().empty();
    if (!ignoresFormerRow_ && !former.owner().empty() && former.owner() != name)
        formerOwner_ = std::move(formerOwner);
    confirmedMs_ = fleet_.nowMs();
    runLater(20 + fleet_.time().latencyMs(), [this] { restoreJobs(); });
    return row_.dated(now);
}

Fleet::FormerLeases EmulatedOwner::formerLeases() const
{
    if (ignoresFormerRow_)
        return { milliseconds(renewalMs_), milliseconds(EmulatedOwnerRow::leaseLimitMs), {}, {}, {} };
    return row_.formerLeases(fleet_.time().now());
}

void EmulatedOwner::restoreJobs()
{
    if (!fleet_.isStoreReachable(node_))
        return runLater(storeRetryMs, [this] { restoreJobs(); });
    const Fleet::FormerLeases former = formerLeases();
    if (fleet_.scenario().variant != FleetVariant::NoLeaseWait) {
        scheduler_->setFormerRenewal(former.renewal);
        scheduler_->setFormerStart(former.start);
        scheduler_->setFormerLease(former.lease);
    }
    scheduler_->setFormerHeldLeaseEnd(fleet_.time().now() + former.held);
    scheduler_->setFormerLeaseEnds(former.ends);
    scheduler_->adoptStatedLeaseEnds(former.ends);
    for (const auto& [id, stored] : fleet_.rows(shard_)) {
        FleetSchema::JobRecord record = stored;
        if (fleet_.scenario().variant == FleetVariant::RestartOfDelegatedTasks) {
            for (FleetSchema::TaskRecord& task : *record.mutable_tasks()) {
                if (task.state() == FleetSchema::TASK_LENT)
                    task.set_state(FleetSchema::TASK_WAITING);
            }
        }
        scheduler_->restore(record, fleet_.time().now(), fleet_.nowMs());
    }
    isLoaded_ = true;
    loadedMs_ = fleet_.nowMs();
    fleet_.announce(*this);
    askFormerOwner();
}

// Asks until there is an answer.
void EmulatedOwner::askFormerOwner()
{
    if (!formerOwner_ || fleet_.nowMs() < nextQuestionMs_)
        return;
    nextQuestionMs_ = fleet_.nowMs() + questionIntervalMs;
    const auto onAnswer = [weak = weak_from_this()](const EmulatedFleet::FormerOwnerAnswer& answer) {
        const auto self = weak.lock();
        const bool isKnown = answer.hasProcessEnded || answer.leaseEnds;
        if (!self || !isKnown)
            return;
        self->runLater(0, [owner = self.get(), answer] {
            if (!std::exchange(owner->formerOwner_, nullptr))
                return;
            const Utils::TimePoint now = owner->fleet_.time().now();
            const Fleet::FormerLeases remaining = owner->row_.leasesOfGoneOwner(now);
            owner->scheduler_->limitFormerLeases(
                answer.leaseEnds.value_or(Fleet::LeaseEnds()), now + remaining.longestWait());
            owner->scheduler_->onFormerOwnersEnds(answer.unstoredEnds, now, owner->fleet_.nowMs());
        });
    };
    fleet_.askFormerOwner(formerOwner_, onAnswer);
}

} // namespace Emulate
