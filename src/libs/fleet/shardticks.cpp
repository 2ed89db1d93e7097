// Time-dependent part of ShardScheduler: timeouts, relocations, and speeds of best-effort tasks.

#include "shardscheduler.h"

#include "crashpolicy.h"
#include "interference.h"
#include "interferencecache.h"
#include "interferenceview.h"
#include "taillatencymodel.h"
#include "taskgrouping.h"
#include "workerchoice.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds waitingRetryInterval { 300 };
// A new owner waits at least this long for a worker's first report: longer than the timeout of the first
// poll.
constexpr milliseconds firstReportTimeout { 1000 };

// Shortest time between two moves of latency-critical tasks. A moved task is unavailable for a while, so this
// bounds how many are unavailable at a time.
constexpr milliseconds groupingInterval { 200 };

// A task that has been throttled for throttledRelocationDelay is relocated if its speed is at most
// relocationSpeedPercent and another worker can run it. A task without checkpoints has to start over, so it
// is relocated only up to a progress of maxLostProgressPercent.
constexpr int relocationSpeedPercent = 50;
constexpr milliseconds throttledRelocationDelay { 400 };
constexpr int maxLostProgressPercent = 40;

// A task counts as stalled when it has run for longer than this multiple of its expected run time plus the
// timeout, and its progress has not risen for the timeout.
constexpr double stalledRunTimeFactor = 1.5;
constexpr milliseconds stallTimeout { 1500 };

} // namespace

void ShardScheduler::onTick(Utils::TimePoint now, std::int64_t nowUnixMs)
{
    steps_ = std::make_unique<StepBudget>();
    interferenceCache_ = std::make_unique<InterferenceCache>(tailLatencyModel_);
    for (auto& [id, worker] : workers_)
        tickWorker(*worker, now, nowUnixMs);
    relocateThrottledTasks(now);
    confirmOldCrashes(now, nowUnixMs);
    improveGrouping(now);
    moveFromEvacuatedDomain(now);
    interferenceCache_.reset();
    // A pass before the end of a pause starts neither the task nor the other members of its gang.
    if (sweepStartedAt_ < latestRetryAt_)
        isScheduleDue_ = true;
    // Waiting tasks are reconsidered as time passes, not only when capacity becomes free.
    if (hasWaitingTasks_ && now - lastScheduledAt_ > waitingRetryInterval)
        isScheduleDue_ = true;
    tickTransfers(now);
    for (const auto& [id, job] : jobs_) {
        const bool hasBecomeDue = job->dueUnixMs(0) <= nowUnixMs && job->dueUnixMs(0) > lastScheduledUnixMs_;
        if (job->isActive() && (hasBecomeDue || (job->occurrences() > 1 && job->dueUnixMs(0) <= nowUnixMs)))
            isScheduleDue_ = true;
    }
    queryOrigins(now);
    reviewWaits(now, nowUnixMs);
    forgetObsoleteWorkers(now);
}

InterferenceView ShardScheduler::interferenceView(StepKind kind) const
{
    return { tailLatencyModel_, demand_.shares(), interferenceCache_.get(), steps_.get(), kind };
}

// Examines one worker per tick and makes one move at a time, to bound both the processor time and the
// disruption of the shard.
void ShardScheduler::improveGrouping(Utils::TimePoint now)
{
    // A moved task could not be started on the other worker.
    if (now < groupingAllowedAt_ || workers_.empty() || isWorkerListOutdated(now)
        || evacuation_.isRequested())
        return;
    auto source = workers_.upper_bound(lastGroupingSource_);
    if (source == workers_.end())
        source = workers_.begin();
    lastGroupingSource_ = source->first;
    std::vector<Worker*> workers;
    for (const auto& [id, worker] : workers_)
        workers.push_back(worker.get());
    const std::size_t firstTarget = firstGroupingTarget_ % workers.size();
    std::rotate(workers.begin(), workers.begin() + static_cast<std::ptrdiff_t>(firstTarget), workers.end());
    StepBudget steps(options_.tickStepLimit);
    InterferenceView view = interferenceView(StepKind::Grouping);
    view.steps = &steps;
    TaskMove move = chooseGroupingMove(*source->second, workers, view, options_.availabilityDelay, now);
    if (!move.task && hasWaitingTasks_)
        move = chooseConsolidationMove(workers, view, options_.availabilityDelay, now);
    steps_->spend(StepKind::Grouping, steps.spent());
    // If there were too many targets, the next tick begins with others.
    firstGroupingTarget_ = steps.isSpent() ? firstTarget + workers.size() / 3 + 1 : 0;
    if (!move.task)
        return;
    groupingAllowedAt_ = now + groupingInterval;
    move.task->avoidedWorker = move.task->worker->info.id;
    requestStop(*move.task, now);
}

void ShardScheduler::tickWorker(Worker& worker, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    if (worker.quarantineTime != Utils::Duration::zero() && now >= worker.quarantinedUntil
        && worker.tasks.empty())
        isScheduleDue_ = true;
    reviewUsability(worker, now);
    const std::vector<Task*> tasks = worker.tasks;
    steps_->spend(StepKind::Attempts, 1 + tasks.size());
    // A worker whose lease has expired may still report attempts that ended before. The wait for that is no
    // longer than the longest lease.
    const Utils::Duration reportTimeout
        = std::min<Utils::Duration>(firstReportTimeout, options_.workerLeaseLimit);
    const bool couldReport = worker.bornMs != 0 || now - worker.addedAt >= reportTimeout;
    if (!worker.isResponsive && couldReport && now > latestRunEnd(worker)) {
        const bool mayHaveCrashed = isAbsent(worker) && !worker.info.isDraining;
        std::vector<Task*> over;
        std::copy_if(tasks.begin(), tasks.end(), std::back_inserter(over),
            [&](const Task* task) { return now > latestRunEnd(*task); });
        requeueAttempts(worker, over, "worker-silent-beyond-lease",
            mayHaveCrashed ? CrashEvidence::Presumed : CrashEvidence::None, now, nowUnixMs);
    }
    const std::vector<Task*> open = worker.tasks;
    for (Task* task : open)
        tickTask(*task, now);
}

void ShardScheduler::tickTask(Task& task, Utils::TimePoint now)
{
    const Worker& worker = *task.worker;
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (task.phase == TaskPhase::Sent && now - task.sentAt > options_.startTimeout) {
        giveUpStart(task, now);
        return;
    }
    if (task.phase == TaskPhase::Sent && now - task.sentAt > options_.startOverdueTime)
        task.worker->isStartFailing = true;
    if (task.phase == TaskPhase::Stopping && now - task.stopSentAt > options_.stopRetryInterval) {
        task.stopSentAt = now;
        // A worker that took the stop would have ended the attempt by now.
        const bool isOverdue = task.isStopAnswered
            && now - task.stopAnsweredAt > options_.stopLimit + options_.stopRetryInterval;
        if (!task.isStopAnswered || isOverdue)
            output_.stopAttempt(worker.info.id, keyOf(task), task.attempt);
        return;
    }
    if (task.phase != TaskPhase::Running)
        return;
    if (worker.info.isDraining && worker.isListed) {
        const milliseconds remaining(worker.info.drainRemainingMs);
        const milliseconds required(step.estimate_ms() * (100 - task.progressPercent) / 100);
        if (step.lasting() || required > remaining)
            requestStop(task, now);
        return;
    }
    const auto allowedRunTime
        = milliseconds(static_cast<std::int64_t>(stalledRunTimeFactor * step.estimate_ms())) + stallTimeout;
    if (!step.lasting() && task.speedPercent == 100 && worker.isResponsive
        && now - task.startedAt > allowedRunTime && now - task.progressAt > stallTimeout) {
        requestStop(task, now);
    }
}

// Stops throttled tasks that other workers can run. Where there are too many for one tick, the next one goes
// on with the next worker.
void ShardScheduler::relocateThrottledTasks(Utils::TimePoint now)
{
    if (isWorkerListOutdated(now) || evacuation_.isRequested())
        return;
    std::vector<Worker*> workers;
    for (const auto& [id, worker] : workers_)
        workers.push_back(worker.get());
    const auto next = std::lower_bound(workers.begin(), workers.end(), nextThrottledSource_,
        [](const Worker* worker, const std::string& id) { return worker->info.id < id; });
    const auto first = static_cast<std::size_t>(next - workers.begin());
    for (std::size_t number = 0; number < workers.size(); ++number) {
        Worker& worker = *workers[(first + number) % workers.size()];
        if (steps_->isSpent(StepKind::Slowness, options_.tickStepLimit)) {
            nextThrottledSource_ = worker.info.id;
            return;
        }
        for (Task* task : worker.tasks) {
            if (shouldRelocate(*task, workers, now))
                requestStop(*task, now);
        }
    }
    nextThrottledSource_.clear();
}

// Returns whether another worker can run a throttled task and little of its progress would be lost.
bool ShardScheduler::shouldRelocate(
    const Task& task, std::span<Worker* const> workers, Utils::TimePoint now) const
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (task.phase != TaskPhase::Running || task.speedPercent > relocationSpeedPercent
        || now - task.throttledSince < throttledRelocationDelay || step.gang())
        return false;
    if (task.worker->info.isDraining && task.worker->isListed)
        return false; // tickTask() decides.
    if (!step.checkpointed() && task.progressPercent > maxLostProgressPercent)
        return false;
    return fitsElsewhere(task, workers, interferenceView(StepKind::Slowness), now);
}

void ShardScheduler::adjustSpeeds(Worker& worker, Utils::TimePoint now)
{
    for (const SpeedChange& change : chooseSpeeds(worker, tailLatencyModel_, now)) {
        if (change.task->speedPercent == 100)
            change.task->throttledSince = now;
        change.task->speedPercent = change.speedPercent;
        change.task->wasThrottled = true;
        // A throttled task makes little progress, so the time without progress restarts when its speed
        // changes.
        change.task->progressAt = now;
        output_.throttleAttempt(
            worker.info.id, keyOf(*change.task), change.task->attempt, change.speedPercent);
    }
}

} // namespace Fleet
