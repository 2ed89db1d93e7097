// Communication of ShardScheduler with workers: polls, reports and answers to commands.

#include "shardscheduler.h"

#include "crashpolicy.h"
#include "interference.h"
#include "sharedload.h"
#include "taillatencymodel.h"
#include "workercommitment.h"
#include "workerloss.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Weight of the latest run time in the mean slowness of a worker.
constexpr double slownessGain = 0.3;
// Upper limit on the ratio of a run time to the expected one, which bounds its effect on the mean.
constexpr double maxSlowness = 6;

std::string_view nameOf(Ports::AttemptOutcome kind)
{
    static constexpr std::string_view names[]
        = { "done", "failed", "stopped", "lease-lapsed", "gang-broken", "gang-incomplete" };
    return names[static_cast<std::size_t>(kind)];
}

// A task whose new checkpoint is too long to be stored keeps its former one.
bool isStorableCheckpoint(const std::string& checkpoint)
{
    return !checkpoint.empty() && checkpoint.size() <= maxCheckpointBytes;
}

// Whether an answer to a call that was sent at sentAt comes from the incarnation that last reported. The
// clock of another one starts anew.
bool isOfReportedIncarnation(
    const Worker& worker, std::int64_t clockMs, Utils::TimePoint sentAt, Utils::TimePoint now)
{
    if (clockMs == 0 || worker.clockMs == 0)
        return false;
    // Rounding of the two times.
    constexpr milliseconds tolerance { 2 };
    const milliseconds elapsed(clockMs - worker.clockMs);
    const Utils::Duration least = (sentAt - worker.clockSeenAt) * 50 / 51 - tolerance;
    const Utils::Duration most = (now - worker.clockAskedAt) * 51 / 50 + tolerance;
    return elapsed >= least && elapsed <= most;
}

// Whether the worker may have carried out the start or may still do so, although it has not accepted it.
bool isOutcomeUnknown(const Utils::Result<Ports::CommandReply>& reply)
{
    if (!Utils::isOk(reply))
        return Utils::error(reply).code != Utils::ErrorCode::Unavailable;
    const Ports::CommandReply& answer = Utils::value(reply);
    return answer.outcome != Ports::CommandOutcome::Done && !answer.isNotExecuted();
}

} // namespace

void ShardScheduler::onReport(const std::string& id, Utils::TimePoint sentAt,
    const Ports::WorkerReport& report, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    Worker* worker = findWorker(id);
    if (!worker)
        return;
    beginCall(1 + report.ended.size() + report.running.size() + worker->tasks.size());
    const bool isBack = !worker->isResponsive || report.startedUnixMs != worker->bornMs;
    if (report.startedUnixMs != worker->bornMs)
        onNewIncarnation(*worker, report, now);
    onAnswered(*worker, sentAt, report, now);
    if (isBack) {
        judgePresumedCrashes(*worker, now, nowUnixMs);
        isScheduleDue_ = true;
    }
    worker->isResponsive = true;
    worker->isStartFailing = false;
    worker->failedPolls = 0;
    worker->absentPolls = 0;
    if (report.clockMs > worker->clockMs) {
        worker->clockMs = report.clockMs;
        worker->clockSeenAt = now;
        worker->clockAskedAt = sentAt;
    }
    for (const Ports::EndedAttempt& end : report.ended) {
        if (end.sequence <= worker->lastSeenEnd)
            continue;
        applyEndedAttempt(*worker, end, now, nowUnixMs);
        worker->lastSeenEnd = end.sequence;
    }
    const bool ranGivenUp = worker->runsUnknownJob || worker->givenUp != Placement::Resources();
    worker->givenUp = {};
    worker->runsUnknownJob = false;
    for (const Ports::RunningAttempt& running : report.running)
        applyRunningAttempt(*worker, running, report.clockMs, now);
    if (ranGivenUp)
        isScheduleDue_ = true;
    requeueMissingAttempts(*worker, sentAt, report, now, nowUnixMs);
    if (options_.sharedLoadMinWorkers > 0 && workers_.size() >= options_.sharedLoadMinWorkers)
        tailLatencyModel_.setOwnUtilizationKnown();
    if (tailLatencyModel_.isOwnUtilizationKnown())
        processSharedLoads(*worker, tailLatencyModel_, now);
    else
        processTailLatencies(*worker, tailLatencyModel_, now);
    adjustSpeeds(*worker, now);
}

void ShardScheduler::applyEndedAttempt(
    Worker& worker, const Ports::EndedAttempt& end, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    Job* job = findJob(end.task.job);
    Task* task = job ? job->findTask(end.task.occurrence, end.task.step, end.task.index) : nullptr;
    if (!task || task->phase == TaskPhase::Done || task->phase == TaskPhase::Delegated
        || task->phase == TaskPhase::AtOrigin || task->phase == TaskPhase::Resolved
        || task->attempt != end.attempt) {
        return;
    }
    // An attempt that was presumed lost may have completed nevertheless; its result counts unless another
    // attempt was started.
    const bool wasPresumedLost = !task->isOpen() && end.outcome == Ports::AttemptOutcome::Done;
    if (!wasPresumedLost && task->worker != &worker)
        return;
    job->hasBegun = true;
    output_.attemptEnded(worker.info.id, end.task, end.attempt, nameOf(end.outcome));
    if (isStorableCheckpoint(end.checkpoint))
        task->checkpoint = end.checkpoint;
    switch (end.outcome) {
    case Ports::AttemptOutcome::Done:
        if (task->worker) {
            recordRunTime(worker, *task, now);
            endQuarantine(worker);
        }
        if (job->step(*task).lasting())
            requeue(*task, now);
        else
            finishTask(*task, now, nowUnixMs);
        return;
    case Ports::AttemptOutcome::Failed:
        recordFailure(worker, *task, now);
        failTask(*task, now, nowUnixMs);
        return;
    case Ports::AttemptOutcome::Stopped:
    case Ports::AttemptOutcome::LeaseLapsed:
    case Ports::AttemptOutcome::GangBroken:
    case Ports::AttemptOutcome::GangIncomplete:
        requeue(*task, now);
        return;
    }
}

void ShardScheduler::applyRunningAttempt(
    Worker& worker, const Ports::RunningAttempt& running, std::int64_t clockMs, Utils::TimePoint now)
{
    Task* task = findOpenTask(worker.info.id, running.task, running.attempt);
    if (!task) {
        // The worker carried out a start after the attempt had been given up, or the job was removed.
        const Job* const job = findJob(running.task.job);
        if (job && running.task.step < static_cast<std::uint32_t>(job->spec.steps_size()))
            worker.givenUp += committedSize(job->spec.steps(static_cast<int>(running.task.step)));
        else
            worker.runsUnknownJob = true;
        output_.stopAttempt(worker.info.id, running.task, running.attempt);
        return;
    }
    if (isStorableCheckpoint(running.checkpoint))
        task->checkpoint = running.checkpoint;
    const bool hasCompletedStartup
        = task->job->step(*task).lasting() && task->progressPercent < 100 && running.progressPercent >= 100;
    if (hasCompletedStartup && worker.quarantineTime != Utils::Duration::zero()
        && now >= worker.quarantinedUntil)
        endQuarantine(worker);
    if (running.progressPercent > task->progressPercent || task->reportableSince == Utils::TimePoint {})
        task->progressAt = now;
    task->progressPercent = running.progressPercent;
    task->reportedLoad = running.load;
    onListedAsRunning(*task, clockMs);
    if (task->phase == TaskPhase::Stopping)
        return;
    const bool wasKnown = task->phase == TaskPhase::Running;
    if (!wasKnown) {
        task->reportableSince = now;
        if (task->phase == TaskPhase::Unverified) {
            // A former owner started the attempt, so its start time and speed are unknown and its run time is
            // not representative.
            task->wasThrottled = true;
            task->startedAt = now;
            task->progressAt = now;
        }
        task->phase = TaskPhase::Running;
        task->idleSince = {};
        task->waitingSince = {};
    }
    if (!task->job->isActive())
        requestStop(*task, now);
}

// Returns the pause before the next attempt after a start that was not carried out. It is longer than the
// time between two ticks once the task has waited for long, so that a tick can pass it to another shard.
Utils::Duration ShardScheduler::pauseAfterLostStart(const Task& task, Utils::TimePoint now)
{
    constexpr milliseconds pause { 250 };
    constexpr milliseconds longWait { 1000 };
    const bool waitsLong = task.waitingSince != Utils::TimePoint {} && now - task.waitingSince > longWait;
    return waitsLong ? pause : Utils::Duration::zero();
}

// Gives the worker no more tasks until its next report.
void ShardScheduler::suspectWorker(Worker& worker)
{
    worker.isResponsive = false;
}

// The worker may answer polls all the while, so another one is tried first.
void ShardScheduler::giveUpStart(Task& task, Utils::TimePoint now)
{
    noteUnanswered(*task.worker, task.sentAt);
    suspectWorker(*task.worker);
    task.avoidedWorker = task.worker->info.id;
    requestStop(task, now);
}

void ShardScheduler::onPollFailed(const std::string& id, bool isAbsent)
{
    // A single failure may be caused by the connection; if a poll on a new connection fails as well, the
    // worker is the cause.
    constexpr int failuresToUnresponsive = 2;
    Worker* worker = findWorker(id);
    if (!worker)
        return;
    if (worker->leasePolledAt != Utils::TimePoint {})
        noteUnanswered(*worker, std::exchange(worker->leasePolledAt, {}));
    worker->absentPolls = isAbsent ? worker->absentPolls + 1 : 0;
    if (++worker->failedPolls >= failuresToUnresponsive)
        worker->isResponsive = false;
}

void ShardScheduler::onWorkerReplaced(const std::string& id, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    Worker* const worker = findWorker(id);
    if (!worker)
        return;
    worker->isResponsive = false;
    confirmPresumedCrashes(
        id, [](const PresumedCrash&) { return true; }, now, nowUnixMs);
    const std::vector<Task*> tasks = worker->tasks;
    requeueAttempts(*worker, tasks, "worker-replaced",
        worker->info.isDraining ? CrashEvidence::None : CrashEvidence::Proved, now, nowUnixMs);
}

// Attempts that are only recorded stay; once the record is stored, they are not sent to an unusable worker.
void ShardScheduler::requeueAttempts(Worker& worker, std::span<Task* const> tasks, std::string_view reason,
    CrashEvidence evidence, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    std::vector<Task*> lost(tasks.begin(), tasks.end());
    std::erase_if(lost, [](const Task* task) { return task->phase == TaskPhase::Recorded; });
    if (!lost.empty())
        output_.workerLost(describeLoss(worker, reason, lost, now));
    for (Task* task : lost)
        endLostAttempt(*task, reason, evidence, now, nowUnixMs);
}

void ShardScheduler::onStartReply(const std::string& id, const Ports::TaskKey& key, std::uint32_t attempt,
    const Utils::Result<Ports::CommandReply>& reply, Utils::TimePoint now)
{
    Task* task = findOpenTask(id, key, attempt);
    if (!task || (task->phase != TaskPhase::Sent && task->phase != TaskPhase::Stopping))
        return;
    const bool isAnswered = Utils::isOk(reply) && !isOutcomeUnknown(reply);
    task->worker->isStartFailing = !isAnswered;
    task->worker->failedStarts = isAnswered ? 0 : task->worker->failedStarts + 1;
    if (Utils::isOk(reply))
        task->worker->answeredAt = now;
    if (isOutcomeUnknown(reply)) {
        if (task->phase == TaskPhase::Sent)
            giveUpStart(*task, now);
        return;
    }
    // Pause before the next attempt after a start was rejected or could not be sent.
    constexpr milliseconds rejectionPause { 100 };
    const auto retryAt
        = [&] { return now + std::max<Utils::Duration>(rejectionPause, pauseAfterLostStart(*task, now)); };
    if (!Utils::isOk(reply)) {
        output_.attemptEnded(id, key, attempt, "not-sent");
        task->avoidedWorker = id;
        requeue(*task, retryAt());
        return;
    }
    const Ports::CommandOutcome outcome = Utils::value(reply).outcome;
    const std::int64_t clockMs = Utils::value(reply).clockMs;
    // The first sending of a repeated start may still be carried out by another incarnation.
    if (task->workerBornMs == task->worker->bornMs && !Utils::value(reply).isToRepeatedCommand
        && isOfReportedIncarnation(*task->worker, clockMs, task->sentAt, now))
        confirm(*task);
    // The end of the lease in the start counts also if the start is rejected.
    if (!task->isConfirmed)
        noteUnanswered(*task->worker, task->sentAt);
    if (outcome != Ports::CommandOutcome::Done) {
        const bool isOtherIncarnation = outcome == Ports::CommandOutcome::IncarnationMismatch;
        // The report of the new incarnation tells its clock.
        if (isOtherIncarnation)
            suspectWorker(*task->worker);
        output_.attemptEnded(id, key, attempt, isOtherIncarnation ? "other-incarnation" : "start-refused");
        task->avoidedWorker = id;
        requeue(*task, retryAt());
        return;
    }
    onStartDone(*task, Utils::value(reply).clockMs, now);
}

void ShardScheduler::onStartDone(Task& task, std::int64_t clockMs, Utils::TimePoint now)
{
    task.hasStarted = true;
    task.job->hasBegun = true;
    if (task.phase != TaskPhase::Sent)
        return;
    task.phase = TaskPhase::Running;
    task.idleSince = {};
    task.waitingSince = {};
    task.reportableSince = now;
    task.startedAt = now;
    task.progressAt = now;
    task.startClockMs = clockMs;
    if (!task.job->isActive())
        requestStop(task, now);
    else if (task.job->step(task).leftover_processors())
        adjustSpeeds(*task.worker, now);
}

void ShardScheduler::onStopReply(const std::string& id, const Ports::TaskKey& key, std::uint32_t attempt,
    const Utils::Result<Ports::CommandReply>& reply, Utils::TimePoint now)
{
    Task* task = findOpenTask(id, key, attempt);
    if (!task || task->phase != TaskPhase::Stopping || !Utils::isOk(reply))
        return;
    task->worker->answeredAt = now;
    const Ports::CommandOutcome outcome = Utils::value(reply).outcome;
    if (outcome != Ports::CommandOutcome::Done && outcome != Ports::CommandOutcome::Superseded)
        return;
    // The first answer counts: from a stopLimit after it, a report without the attempt shows its end.
    if (task->isStopAnswered)
        return;
    task->isStopAnswered = true;
    task->stopAnsweredAt = now;
}

void ShardScheduler::recordRunTime(Worker& worker, const Task& task, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (step.estimate_ms() == 0 || step.lasting() || task.wasThrottled
        || task.startedAt == Utils::TimePoint {})
        return;
    const double ran = std::chrono::duration<double, std::milli>(now - task.startedAt).count();
    const double ratio = std::min(ran / step.estimate_ms(), maxSlowness);
    worker.slowness += slownessGain * (ratio - worker.slowness);
}

void ShardScheduler::endQuarantine(Worker& worker)
{
    worker.failureStreak = 0;
    if (worker.quarantineTime == Utils::Duration::zero())
        return;
    worker.quarantineTime = {};
    output_.quarantineChanged(worker.info.id, {});
}

void ShardScheduler::recordFailure(Worker& worker, const Task& task, Utils::TimePoint now)
{
    // On a healthy worker, tasks of two different jobs rarely fail one after the other.
    constexpr int failuresToQuarantine = 2;
    constexpr milliseconds initialQuarantine { 1000 };
    // A task must not wait for longer than 3 s beside idle workers, all of which may be quarantined.
    constexpr milliseconds maxQuarantine { 2000 };
    if (worker.quarantineTime != Utils::Duration::zero()) {
        worker.quarantineTime = std::min<Utils::Duration>(2 * worker.quarantineTime, maxQuarantine);
        worker.quarantinedUntil = now + worker.quarantineTime;
        output_.quarantineChanged(worker.info.id, worker.quarantineTime);
        return;
    }
    if (worker.failureStreak > 0 && worker.streakJob == task.job->spec.id())
        return;
    worker.streakJob = task.job->spec.id();
    if (++worker.failureStreak < failuresToQuarantine)
        return;
    worker.quarantineTime = initialQuarantine;
    worker.quarantinedUntil = now + initialQuarantine;
    output_.quarantineChanged(worker.info.id, initialQuarantine);
}

} // namespace Fleet
