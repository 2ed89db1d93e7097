// Part of ShardScheduler: what workers report and answer.

#include "shardscheduler.h"

#include "interference.h"
#include "tailmodel.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Weight of the latest run in the mean of a worker's slowness.
constexpr double slownessGain = 0.3;
// Bound on one run's part in that mean.
constexpr double greatestSlowness = 6;

std::string_view nameOf(Ports::AttemptOutcome kind)
{
    static constexpr std::string_view names[]
        = { "done", "failed", "stopped", "lease-lapsed", "gang-broken", "gang-incomplete" };
    return names[static_cast<std::size_t>(kind)];
}

bool isNotCarriedOut(Ports::CommandOutcome outcome)
{
    return outcome != Ports::CommandOutcome::Done;
}

} // namespace

std::int64_t ShardScheduler::leaseUntil(Worker& worker, Utils::TimePoint now)
{
    const auto elapsed = now - worker.clockSeenAt;
    const Utils::Duration fromSeen = elapsed + options_.workerLease;
    // The worker's clock runs up to 2% slow.
    worker.leaseBound = std::max(worker.leaseBound, worker.clockSeenAt + fromSeen * 51 / 50);
    return worker.clockMs + std::chrono::duration_cast<milliseconds>(fromSeen).count();
}

PollPlan ShardScheduler::planPoll(const std::string& id, Utils::TimePoint now, bool mayRenew)
{
    Worker* worker = findWorker(id);
    if (!worker)
        return {};
    PollPlan plan;
    plan.acknowledged = worker->acknowledgedEnd;
    plan.isKnown = worker->bornMs != 0 && worker->isAnswering;
    plan.hasTasks = !worker->tasks.empty();
    // A worker that does not answer is asked without a renewal, so that its lease comes to an end.
    if (mayRenew && worker->clockMs != 0 && worker->isAnswering)
        plan.leaseUntilMs = leaseUntil(*worker, now);
    return plan;
}

void ShardScheduler::onReport(const std::string& id, Utils::TimePoint sentAt,
    const Ports::WorkerReport& report, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    Worker* worker = findWorker(id);
    if (!worker)
        return;
    if (report.startedUnixMs != worker->bornMs) {
        if (worker->bornMs != 0) {
            worker->seenEnd = 0;
            worker->acknowledgedEnd = 0;
            // A lease asked for on the former clock is cut to the longest one on the new clock.
            worker->leaseBound = std::max(worker->leaseBound, now + options_.workerLeaseLimit * 51 / 50);
            worker->asideFor = {};
            worker->failureStreak = 0;
        } else {
            // From this report on the worker refuses former owners, whose leases were no longer than this
            // one's.
            worker->leaseBound = now + options_.workerLease * 51 / 50;
        }
        worker->bornMs = report.startedUnixMs;
        worker->clockMs = 0;
    }
    if (!worker->isAnswering)
        isScheduleDue_ = true;
    worker->isAnswering = true;
    worker->failedPolls = 0;
    if (report.clockMs > worker->clockMs) {
        worker->clockMs = report.clockMs;
        worker->clockSeenAt = now;
    }
    for (const Ports::EndedAttempt& end : report.ended) {
        if (end.sequence <= worker->seenEnd)
            continue;
        applyEnd(*worker, end, now, nowUnixMs);
        worker->seenEnd = end.sequence;
    }
    for (const Ports::RunningAttempt& running : report.running)
        applyRunning(*worker, running, now);
    applyMissing(*worker, sentAt, report, now);
    observeTails(*worker, tailModel_, now);
    adjustPaces(*worker, now);
}

void ShardScheduler::applyEnd(
    Worker& worker, const Ports::EndedAttempt& end, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    Job* job = findJob(end.task.job);
    Task* task = job ? job->find(end.task.occurrence, end.task.step, end.task.index) : nullptr;
    if (!task || task->phase == TaskPhase::Done || task->phase == TaskPhase::Lent
        || task->phase == TaskPhase::Foreign || task->attempt != end.attempt) {
        return;
    }
    // An attempt that was given up for lost may still have been completed before another one was started.
    const bool isGivenUp = !task->isOpen() && end.outcome == Ports::AttemptOutcome::Done;
    if (!isGivenUp && task->worker != &worker)
        return;
    orders_.attemptEnded(worker.info.id, end.task, end.attempt, nameOf(end.outcome));
    if (!end.checkpoint.empty())
        task->checkpoint = end.checkpoint;
    switch (end.outcome) {
    case Ports::AttemptOutcome::Done:
        if (task->worker) {
            noteSpeed(worker, *task, now);
            noteSuccess(worker);
        }
        if (job->step(*task).lasting())
            settle(*task, now);
        else
            finishTask(*task, now, nowUnixMs);
        return;
    case Ports::AttemptOutcome::Failed:
        noteFailure(worker, *task, now);
        failTask(*task, now, nowUnixMs);
        return;
    case Ports::AttemptOutcome::Stopped:
    case Ports::AttemptOutcome::LeaseLapsed:
    case Ports::AttemptOutcome::GangBroken:
    case Ports::AttemptOutcome::GangIncomplete:
        settle(*task, now);
        return;
    }
}

void ShardScheduler::applyRunning(Worker& worker, const Ports::RunningAttempt& running, Utils::TimePoint now)
{
    Task* task = findOpen(worker.info.id, running.task, running.attempt);
    if (!task) {
        // Carried out late, or of a job that is gone.
        orders_.stopAttempt(worker.info.id, running.task, running.attempt);
        return;
    }
    if (!running.checkpoint.empty())
        task->checkpoint = running.checkpoint;
    if (running.progressPercent > task->percent || task->knownSince == Utils::TimePoint {})
        task->progressAt = now;
    task->percent = running.progressPercent;
    task->load = running.load;
    task->workerBornMs = worker.bornMs;
    if (task->phase == TaskPhase::Stopping)
        return;
    const bool wasKnown = task->phase == TaskPhase::Running;
    if (!wasKnown) {
        task->knownSince = now;
        if (task->phase == TaskPhase::Unverified) {
            // Its start and speed were another owner's, so its run time says nothing.
            task->wasThrottled = true;
            task->startedAt = now;
            task->progressAt = now;
        }
        task->phase = TaskPhase::Running;
    }
    if (!task->job->isActive())
        requestStop(*task, now);
}

// Settles the attempts that the report would have to list if they existed.
void ShardScheduler::applyMissing(
    Worker& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report, Utils::TimePoint now)
{
    if (report.isTruncated)
        return;
    std::vector<Task*> missing;
    for (Task* task : worker.tasks) {
        const bool isListed = std::any_of(
            report.running.begin(), report.running.end(), [&](const Ports::RunningAttempt& running) {
                return running.attempt == task->attempt && running.task == keyOf(*task);
            });
        if (isListed)
            continue;
        const bool isOver = (task->phase == TaskPhase::Unverified && sentAt >= task->knownSince)
            || (task->phase == TaskPhase::Running && sentAt >= task->knownSince)
            || (task->phase == TaskPhase::Stopping && task->isStopAnswered
                && sentAt >= task->stopAnsweredAt + options_.stopLimit);
        if (isOver)
            missing.push_back(task);
        else if (task->phase == TaskPhase::Sent && task->workerBornMs != worker.bornMs)
            requestStop(*task, now);
    }
    for (Task* task : missing) {
        orders_.attemptEnded(worker.info.id, keyOf(*task), task->attempt, "missing-from-report");
        settle(*task, now);
    }
}

void ShardScheduler::onPollFailed(const std::string& id)
{
    // One lost exchange may be the connection's fault; a second one on a new connection is the worker's.
    constexpr int failuresToSilence = 2;
    Worker* worker = findWorker(id);
    if (worker && ++worker->failedPolls >= failuresToSilence)
        worker->isAnswering = false;
}

void ShardScheduler::onStartReply(const std::string& id, const Ports::TaskKey& key, std::uint32_t attempt,
    const Utils::Result<Ports::CommandReply>& reply, Utils::TimePoint now)
{
    Task* task = findOpen(id, key, attempt);
    if (!task || (task->phase != TaskPhase::Sent && task->phase != TaskPhase::Stopping))
        return;
    // Gives a worker that turns work away time before the next attempt.
    constexpr milliseconds refusalPause { 100 };
    if (!Utils::isOk(reply)) {
        if (Utils::error(reply).code == Utils::ErrorCode::Unavailable)
            settle(*task, now + refusalPause);
        else if (task->phase == TaskPhase::Sent)
            requestStop(*task, now);
        return;
    }
    if (isNotCarriedOut(Utils::value(reply).outcome)) {
        orders_.attemptEnded(id, key, attempt, "start-refused");
        settle(*task, now + refusalPause);
        return;
    }
    if (task->phase == TaskPhase::Sent) {
        task->phase = TaskPhase::Running;
        task->knownSince = now;
        task->startedAt = now;
        task->progressAt = now;
        if (!task->job->isActive())
            requestStop(*task, now);
    }
}

void ShardScheduler::onStopReply(const std::string& id, const Ports::TaskKey& key, std::uint32_t attempt,
    const Utils::Result<Ports::CommandReply>& reply, Utils::TimePoint now)
{
    Task* task = findOpen(id, key, attempt);
    if (!task || task->phase != TaskPhase::Stopping || !Utils::isOk(reply))
        return;
    const Ports::CommandOutcome outcome = Utils::value(reply).outcome;
    if (outcome == Ports::CommandOutcome::Rejected || outcome == Ports::CommandOutcome::Fenced)
        return;
    task->isStopAnswered = true;
    task->stopAnsweredAt = now;
}

void ShardScheduler::noteSpeed(Worker& worker, const Task& task, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (step.estimate_ms() == 0 || step.lasting() || task.wasThrottled
        || task.startedAt == Utils::TimePoint {})
        return;
    const double ran = std::chrono::duration<double, std::milli>(now - task.startedAt).count();
    const double ratio = std::min(ran / step.estimate_ms(), greatestSlowness);
    worker.slowness += slownessGain * (ratio - worker.slowness);
}

void ShardScheduler::noteSuccess(Worker& worker)
{
    worker.failureStreak = 0;
    worker.asideFor = {};
}

void ShardScheduler::noteFailure(Worker& worker, const Task& task, Utils::TimePoint now)
{
    // Two failures in a row of different jobs are rare on a sound worker.
    constexpr int failuresToSetAside = 2;
    constexpr milliseconds firstAside { 1000 };
    constexpr milliseconds longestAside { 8000 };
    if (worker.asideFor != Utils::Duration::zero()) {
        worker.asideFor = std::min<Utils::Duration>(2 * worker.asideFor, longestAside);
        worker.asideUntil = now + worker.asideFor;
        return;
    }
    if (worker.failureStreak > 0 && worker.streakJob == task.job->spec.id())
        return;
    worker.streakJob = task.job->spec.id();
    if (++worker.failureStreak < failuresToSetAside)
        return;
    worker.asideFor = firstAside;
    worker.asideUntil = now + firstAside;
}

} // namespace Fleet
