// Scheduling pass of ShardScheduler. A sweep visits each task whose turn has come once. A pass is left after
// a bounded number of steps, so that renewals, heartbeats and stops do not wait for it, and the next pass
// goes on with the sweep. Jobs that arrive meanwhile take part in it by their rank. Occurrences in which
// tasks begin to wait meanwhile are visited again: a sweep may last for seconds.

#include "shardscheduler.h"

#include "crashpolicy.h"
#include "failedsearches.h"
#include "interferencecache.h"
#include "interferenceview.h"
#include "jobrank.h"
#include "taillatencymodel.h"
#include "taskgrouping.h"
#include "workerchoice.h"
#include "workerranking.h"

#include <algorithm>
#include <utility>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Lower bound on the objective. Jobs with neither target nor estimates get it, so they are ordered by age.
constexpr milliseconds minObjective { 100 };
// Short tasks often free enough capacity for a long-running one within this time.
constexpr milliseconds relocationDelay { 800 };
// Shortest time between two relocations; after it, a relocated task is running again.
constexpr milliseconds relocationInterval { 1500 };

JobUrgency urgencyOf(Job& job, std::uint32_t occurrence, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    JobUrgency urgency;
    urgency.priority = job.spec.priority();
    urgency.isLongRunning = job.spec.steps(0).lasting();
    urgency.isStarted = job.isStarted;
    const std::int64_t due = job.dueUnixMs(occurrence);
    urgency.age = due > 0 ? std::max<Utils::Duration>(Utils::Duration::zero(), milliseconds(nowUnixMs - due))
                          : now - job.acceptedAt;
    urgency.remainingWork = milliseconds(job.remainingCriticalPathMs(occurrence));
    urgency.objective = std::max<Utils::Duration>(minObjective, milliseconds(objectiveMs(job)));
    return urgency;
}

bool areOfOneStep(const Task& left, const Task& right)
{
    return left.job == right.job && left.occurrence == right.occurrence && left.step == right.step;
}

} // namespace

/*! What one pass remembers. */
struct ShardScheduler::Pass {
    FailedSearches searches;
    FailedSearches reservations;
    WorkerRanking ranking;
    std::vector<Task*> relocatable; //!< Long-running tasks without a worker, one of each step.
};

struct ShardScheduler::Candidate {
    JobRank rank;
    Job* job = nullptr;
    std::uint32_t occurrence = 0;
};

void ShardScheduler::schedule(Utils::TimePoint now, std::int64_t nowUnixMs)
{
    steps_ = std::make_unique<StepBudget>();
    if (!isScheduleDue())
        return;
    interferenceCache_ = std::make_unique<InterferenceCache>(tailLatencyModel_);
    const bool isContinued = std::exchange(isSweepUnfinished_, false);
    if (!isContinued)
        beginSweep(now);
    lastScheduledAt_ = now;
    lastScheduledUnixMs_ = nowUnixMs;
    passWorkers_ = assignableWorkers(now);
    Pass pass { FailedSearches(steps_.get()), FailedSearches(steps_.get()), WorkerRanking(passWorkers_), {} };
    const std::vector<Candidate> candidates = rankCandidates(now, nowUnixMs);
    // However long the preparation is, each pass visits some tasks.
    const std::size_t repetitionLimit = isContinued ? options_.searchStepLimit / 6 : 0;
    steps_->limitFurther(repetitionLimit);
    if (isContinued && isCapacityFreed_)
        visitMostUrgent(candidates, now, nowUnixMs, pass);
    isCapacityFreed_ = false;
    steps_->limitFurther(repetitionLimit);
    repeatVisits(candidates, now, nowUnixMs, pass);
    steps_->limitFurther(options_.searchStepLimit - 2 * repetitionLimit);
    for (const Candidate& candidate : candidates) {
        SweepProgress& progress = candidate.job->sweepProgress[candidate.occurrence];
        if (progress.isCompleteIn(sweep_))
            continue;
        if (progress.sweep != sweep_)
            progress = { sweep_ };
        if (steps_->isSpent() || !assignOccurrence(candidate, progress, now, nowUnixMs, pass)) {
            isSweepUnfinished_ = true;
            break;
        }
    }
    relocate(pass, now);
    passWorkers_.clear();
    interferenceCache_.reset();
}

void ShardScheduler::beginSweep(Utils::TimePoint now)
{
    ++sweep_;
    sweepStartedAt_ = now;
    isScheduleDue_ = false;
    hasWaitingTasks_ = false;
    keepWorkersEmpty(now);
    updateDemand();
    steps_->spend(StepKind::Preparation, workers_.size());
    for (auto& [id, worker] : workers_) {
        worker->isOwnUtilizationKnown = tailLatencyModel_.isOwnUtilizationKnown();
        worker->toleratedDemand = toleratedDemandShare(*worker, interferenceView(StepKind::Preparation));
    }
}

// Visits the most urgent occurrences again after capacity has become free, so that it is not left to less
// urgent ones that the sweep has yet to visit.
void ShardScheduler::visitMostUrgent(
    std::span<const Candidate> candidates, Utils::TimePoint now, std::int64_t nowUnixMs, Pass& pass)
{
    for (const Candidate& candidate : candidates) {
        SweepProgress visit { sweep_ };
        if (steps_->isSpent() || !assignOccurrence(candidate, visit, now, nowUnixMs, pass))
            return;
    }
}

// Visits occurrences again in which tasks have begun to wait since their visit. The rest of the sweep has its
// own steps, so that it ends also if tasks begin to wait all the time.
void ShardScheduler::repeatVisits(
    std::span<const Candidate> candidates, Utils::TimePoint now, std::int64_t nowUnixMs, Pass& pass)
{
    for (const Candidate& candidate : candidates) {
        if (steps_->isSpent())
            return;
        SweepProgress& visit = candidate.job->repeatedVisits[candidate.occurrence];
        if (!visit.isBegunIn(sweep_) || !assignOccurrence(candidate, visit, now, nowUnixMs, pass))
            continue;
        if (visit.isDueAgain)
            visit = { sweep_ };
    }
}

// Must be called when a task of the occurrence begins to wait, or could not be visited before some time.
void ShardScheduler::visitAgain(Job& job, std::uint32_t occurrence) const
{
    SweepProgress& visit = job.repeatedVisits[occurrence];
    if (visit.isBegunIn(sweep_))
        visit.isDueAgain = true;
    else
        visit = { sweep_ };
}

// Returns the occurrences that the sweep has not visited completely or is to visit again, the most urgent
// first; all of them if capacity has become free.
std::vector<ShardScheduler::Candidate> ShardScheduler::rankCandidates(
    Utils::TimePoint now, std::int64_t nowUnixMs)
{
    std::vector<Candidate> candidates;
    for (const auto& [id, job] : jobs_) {
        steps_->spend(StepKind::Preparation, 1);
        if (!job->isActive() || job->remainingTaskCount == 0)
            continue;
        for (std::uint32_t occurrence = 0; occurrence < job->occurrences(); ++occurrence) {
            steps_->spend(StepKind::Preparation, 1);
            const bool isVisited = !isCapacityFreed_ && job->sweepProgress[occurrence].isCompleteIn(sweep_)
                && !job->repeatedVisits[occurrence].isBegunIn(sweep_);
            if (!isVisited && job->dueUnixMs(occurrence) <= nowUnixMs)
                candidates.push_back(
                    { rankJob(urgencyOf(*job, occurrence, now, nowUnixMs)), job.get(), occurrence });
        }
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.rank < right.rank; });
    return candidates;
}

// Returns whether all steps of the occurrence were visited.
bool ShardScheduler::assignOccurrence(const Candidate& candidate, SweepProgress& progress,
    Utils::TimePoint now, std::int64_t nowUnixMs, Pass& pass)
{
    Job& job = *candidate.job;
    const std::uint32_t occurrence = candidate.occurrence;
    const bool isAwaitingOrigin = awaitsOrigin(job);
    if (isAwaitingOrigin)
        visitAgain(job, occurrence);
    const auto stepCount = static_cast<std::uint32_t>(job.stepOffsets.size());
    for (; !isAwaitingOrigin && progress.step < stepCount; ++progress.step, progress.index = 0) {
        const std::uint32_t step = progress.step;
        if (job.remainingTasks(occurrence, step) == 0 || !job.isStepReady(occurrence, step, nowUnixMs))
            continue;
        if (steps_->isSpent())
            return false;
        if (job.spec.steps(static_cast<int>(step)).gang())
            assignGang(job, occurrence, step, now);
        else if (!assignStep(job, occurrence, progress, now, pass))
            return false;
    }
    progress.isComplete = true;
    return true;
}

// Returns whether all tasks of the step were visited.
bool ShardScheduler::assignStep(
    Job& job, std::uint32_t occurrence, SweepProgress& progress, Utils::TimePoint now, Pass& pass)
{
    const std::uint32_t count = job.spec.steps(static_cast<int>(progress.step)).count();
    for (; progress.index < count; ++progress.index) {
        if (steps_->isSpent())
            return false;
        steps_->spend(StepKind::Search, 1);
        Task& task = *job.findTask(occurrence, progress.step, progress.index);
        if (task.phase != TaskPhase::Waiting)
            continue;
        if (task.notBefore > now) {
            isScheduleDue_ = true;
            visitAgain(job, occurrence);
            continue;
        }
        if (!awaitsCrashVerdict(task))
            assignTask(task, now, pass);
    }
    return true;
}

void ShardScheduler::assignTask(Task& task, Utils::TimePoint now, Pass& pass)
{
    Worker* const worker = pass.searches.includes(task, passWorkers_, now)
        ? nullptr
        : pass.ranking.choose(task, interferenceView(StepKind::Search), now);
    if (worker) {
        assign(task, *worker, now);
        return pass.ranking.onTasksChanged(*worker);
    }
    pass.searches.add(task, passWorkers_, now);
    markWaiting(task, now);
    const bool isLongRunning = task.job->step(task).lasting();
    if (isolationOf(task) == fullIsolation)
        isolatedTasks_.push_back(keyOf(task));
    else if (isLongRunning && !pass.reservations.includes(task, passWorkers_, now)
        && !reserveWorker(task, passWorkers_, *steps_))
        pass.reservations.add(task, passWorkers_, now);
    const bool isOfNextStep = pass.relocatable.empty() || !areOfOneStep(*pass.relocatable.back(), task);
    if (isLongRunning && isOfNextStep && now - task.waitingSince >= relocationDelay)
        pass.relocatable.push_back(&task);
}

void ShardScheduler::markWaiting(Task& task, Utils::TimePoint now)
{
    hasWaitingTasks_ = true;
    if (task.waitingSince == Utils::TimePoint {})
        task.waitingSince = now;
    if (task.idleSince == Utils::TimePoint {})
        task.idleSince = now;
}

// Relocates at most one task at a time, so that a full shard does not keep moving tasks around.
void ShardScheduler::relocate(Pass& pass, Utils::TimePoint now)
{
    if (now < relocationAllowedAt_ || passWorkers_.empty())
        return;
    std::vector<Task*> waiting;
    if (const auto key = relocationSearch_.current()) {
        Job* const job = findJob(key->job);
        Task* const task = job ? job->findTask(key->occurrence, key->step, key->index) : nullptr;
        if (task && task->phase == TaskPhase::Waiting && job->isActive())
            waiting.push_back(task);
    }
    waiting.insert(waiting.end(), pass.relocatable.begin(), pass.relocatable.end());
    if (waiting.empty())
        return;
    StepBudget steps(options_.relocationStepLimit);
    Task* const moved
        = relocationSearch_.search(waiting, passWorkers_, options_.availabilityDelay, now, steps);
    steps_->spend(StepKind::Relocation, steps.spent());
    if (!moved)
        return;
    relocationAllowedAt_ = now + relocationInterval;
    // Without this, the task could be placed again on the worker that it was stopped on to free capacity.
    moved->avoidedWorker = moved->worker->info.id;
    requestStop(*moved, now);
}

} // namespace Fleet
