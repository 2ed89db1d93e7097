// What ShardScheduler knows of incarnations of workers: leases, fencing, and the attempts that end with one.

#include "shardscheduler.h"

#include "crashpolicy.h"
#include "workerloss.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

bool isOfFormerIncarnation(const Task& task)
{
    return task.workerBornMs != 0 && task.workerBornMs != task.worker->bornMs;
}

// Whether a start was sent that may be carried out by another incarnation than the one it was meant for.
bool isStartable(const Task& task)
{
    return !task.isConfirmed && task.phase != TaskPhase::Recorded && task.phase != TaskPhase::Held;
}

// Whether an attempt has ended that the report to a poll sent at sentAt does not list.
bool hasEnded(const Task& task, Utils::TimePoint sentAt, Utils::Duration stopLimit)
{
    // It ran in a former incarnation, or its start was not carried out: this incarnation rejects it from now
    // on, and after some time no further one can receive it.
    if (isOfFormerIncarnation(task))
        return task.isConfirmed
            || (isStartable(task) && task.worker->isFenced && sentAt > task.startableUntil);
    switch (task.phase) {
    case TaskPhase::Unverified:
    case TaskPhase::Running:
        return sentAt >= task.reportableSince;
    case TaskPhase::Stopping:
        return task.isStopAnswered && sentAt >= task.stopAnsweredAt + stopLimit;
    default:
        return false;
    }
}

} // namespace

std::int64_t ShardScheduler::extendLease(
    Worker& worker, Utils::Duration lease, LeaseSource source, Utils::TimePoint now)
{
    // The worker's clock may run up to 2% slow. The lease must not be longer for that: a successor counts on
    // its length.
    const Utils::Duration elapsed = (now - worker.clockSeenAt) * 50 / 51;
    const Utils::Duration fromSeen = elapsed + lease;
    worker.lease.extend(now + lease * 51 / 50, source);
    return worker.clockMs + std::chrono::duration_cast<milliseconds>(fromSeen).count();
}

// A worker takes as long to end its runs when their lease is over as when it is told to stop them.
Utils::TimePoint ShardScheduler::latestRunEnd(const Worker& worker) const
{
    return worker.lease.end() + options_.stopLimit;
}

// A start that was not confirmed may be carried out by another incarnation, to whose clock the lease does not
// apply.
Utils::TimePoint ShardScheduler::latestRunEnd(const Task& task) const
{
    const Utils::TimePoint end = latestRunEnd(*task.worker);
    if (!isStartable(task))
        return end;
    return std::max(end, task.startableUntil + options_.workerLeaseLimit * 51 / 50 + options_.stopLimit);
}

PollPlan ShardScheduler::planPoll(const std::string& id, Utils::TimePoint now, bool mayRenew)
{
    Worker* worker = findWorker(id);
    if (!worker)
        return {};
    PollPlan plan;
    // After a failed poll the worker may have restarted and numbered new ends from 1 again.
    if (worker->failedPolls == 0 && worker->isFenced
        && worker->lastAcknowledgedEnd > worker->provedAcknowledgement)
        plan.acknowledged = worker->lastAcknowledgedEnd;
    worker->sentAcknowledgement = plan.acknowledged;
    plan.isWorkerResponsive = worker->bornMs != 0 && worker->isResponsive;
    plan.hasTasks = !worker->tasks.empty();
    // A worker that does not answer is polled without renewal, so that its lease expires. One without tasks
    // needs no lease, and if a start is lost there, the task can soon be started elsewhere.
    if (mayRenew && worker->clockMs != 0 && worker->isResponsive && worker->isFenced && plan.hasTasks
        && mayLease(*worker, options_.workerLease, now)) {
        plan.leaseUntilMs = extendLease(*worker, options_.workerLease, LeaseSource::Poll, now);
        worker->leasePolledAt = now;
    }
    return plan;
}

// Whether an incarnation that has just been noticed may have carried out a call that requests a lease in the
// clock of a former one.
bool ShardScheduler::mayHoldFormerLease(
    const Worker& worker, const Ports::WorkerReport& report, Utils::TimePoint now) const
{
    const auto isOf = [bornMs = report.startedUnixMs](const Task* task) {
        return task->workerBornMs == 0 || task->workerBornMs == bornMs;
    };
    if (worker.bornMs == 0) {
        // The owner before this one knew the incarnation if it recorded an attempt there.
        const bool hadOwner = formerLease_.value_or(Utils::Duration::zero()) > Utils::Duration::zero();
        return (hadOwner || !worker.tasks.empty())
            && std::none_of(worker.tasks.begin(), worker.tasks.end(), isOf);
    }
    // An incarnation that runs something has carried out a call that was meant for a former one.
    return !report.running.empty() || worker.leasePolledAt != Utils::TimePoint {}
    || now <= worker.unansweredUntil
        || std::any_of(worker.tasks.begin(), worker.tasks.end(),
            [now](const Task* task) { return isStartable(*task) && now <= task->startableUntil; });
}

void ShardScheduler::onNewIncarnation(Worker& worker, const Ports::WorkerReport& report, Utils::TimePoint now)
{
    worker.mayHoldFormerLease = mayHoldFormerLease(worker, report, now);
    // Former owners had lower tokens than any poll of this one.
    worker.isFenced = worker.bornMs == 0;
    if (worker.bornMs != 0) {
        output_.workerRestarted(describeRestart(worker, report.startedUnixMs, now));
        worker.lastSeenEnd = 0;
        worker.lastAcknowledgedEnd = 0;
        worker.sentAcknowledgement = 0;
        worker.provedAcknowledgement = 0;
        worker.hidesEnds = false;
        ++restartCounts_[worker.info.id];
        worker.restartNoticedAt = now;
        endQuarantine(worker);
    }
    if (!worker.mayHoldFormerLease) {
        const Utils::Duration lease
            = std::max(options_.workerLease, formerLease_.value_or(Utils::Duration::zero()));
        worker.lease.set(now + lease * 51 / 50, LeaseSource::FormerOwner);
        worker.lease.extend(formerHeldLeaseEnd_, LeaseSource::Restart);
    }
    worker.bornMs = report.startedUnixMs;
    worker.clockMs = 0;
}

// Notes what the answer proves of the incarnation that gave it.
void ShardScheduler::onAnswered(
    Worker& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report, Utils::TimePoint now)
{
    worker.leasePolledAt = {};
    worker.answeredAt = now;
    if (!report.isFirstOnConnection)
        worker.provedAcknowledgement = std::max(worker.provedAcknowledgement, worker.sentAcknowledgement);
    if (!worker.isFenced && sentAt > worker.restartNoticedAt)
        worker.isFenced = true;
    if (!worker.mayHoldFormerLease)
        return;
    // Until it is fenced, it may carry out further calls that were meant for a former one.
    const Utils::Duration delay = worker.isFenced ? Utils::Duration::zero() : options_.callDelayLimit;
    worker.lease.set(now + delay + options_.workerLeaseLimit * 51 / 50, LeaseSource::Restart);
    worker.mayHoldFormerLease = !worker.isFenced;
}

// Notes that the incarnation which the attempt was assigned to runs it. Stored for long-running tasks, so
// that a successor need not count on another incarnation.
void ShardScheduler::confirm(Task& task)
{
    if (!std::exchange(task.isConfirmed, true) && task.job->step(task).lasting())
        markDirty(*task.job);
}

void ShardScheduler::noteUnanswered(Worker& worker, Utils::TimePoint sentAt) const
{
    worker.unansweredUntil = std::max(worker.unansweredUntil, sentAt + options_.callDelayLimit);
}

// Requeues the tasks of attempts that the report would list if they were running, but does not.
void ShardScheduler::requeueMissingAttempts(Worker& worker, Utils::TimePoint sentAt,
    const Ports::WorkerReport& report, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    if (report.isTruncated)
        return;
    std::set<std::pair<Ports::TaskKey, std::uint32_t>> listed;
    for (const Ports::RunningAttempt& running : report.running)
        listed.emplace(running.task, running.attempt);
    std::vector<Task*> missing;
    for (Task* task : worker.tasks) {
        const bool isListed = listed.contains({ keyOf(*task), task->attempt });
        if (isListed)
            continue;
        if (hasEnded(*task, sentAt, options_.stopLimit))
            missing.push_back(task);
        else if (task->phase == TaskPhase::Sent && task->workerBornMs != worker.bornMs)
            requestStop(*task, now);
    }
    // An attempt that the incarnation was running has vanished without an end. It has carried out an
    // acknowledgement for a former one, and forgets its own ends of these numbers.
    const bool hidesEnds = std::any_of(missing.begin(), missing.end(), [&](const Task* task) {
        return task->isConfirmed && !isOfFormerIncarnation(*task) && task->phase != TaskPhase::Unverified;
    });
    worker.hidesEnds = worker.hidesEnds || hidesEnds;
    if (!missing.empty())
        output_.workerLost(describeLoss(worker, "missing-from-report", missing, now));
    for (Task* task : missing) {
        endLostAttempt(*task, "missing-from-report",
            isOfFormerIncarnation(*task) ? CrashEvidence::Proved : CrashEvidence::None, now, nowUnixMs);
    }
}

} // namespace Fleet
