// Reports of ShardScheduler on tasks that do not run although their turn has come.

#include "shardscheduler.h"

#include "crashpolicy.h"
#include "interferenceview.h"
#include "taillatencymodel.h"
#include "workerchoice.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds reviewInterval { 500 };
// A shorter wait is ordinary for a shard under load.
constexpr milliseconds reportDelay { 2500 };
constexpr milliseconds reportInterval { 2500 };
// Bounds the processor time and the log lines of one review.
constexpr std::size_t maxReportsPerReview = 12;

std::string_view nameOf(TaskPhase phase)
{
    static constexpr std::string_view names[] = { "waiting", "recorded", "sent", "running", "unverified",
        "stopping", "done", "lent", "at-origin", "resolved", "held" };
    return names[static_cast<std::size_t>(phase)];
}

std::int64_t toMs(Utils::Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

bool canWait(const Task& task)
{
    if (task.phase == TaskPhase::Running)
        return !task.worker->isResponsive;
    return task.phase != TaskPhase::Done && task.phase != TaskPhase::AtOrigin
        && !(task.phase == TaskPhase::Delegated && task.isDelegationAcknowledged);
}

} // namespace

std::size_t ShardScheduler::countUnconfirmedAttempts()
{
    std::erase_if(unconfirmedTasks_, [this](const Ports::TaskKey& key) {
        Job* const job = findJob(key.job);
        const Task* const task = job ? job->findTask(key.occurrence, key.step, key.index) : nullptr;
        return !task || task->phase != TaskPhase::Unverified;
    });
    return unconfirmedTasks_.size();
}

std::vector<Ports::WorkerInfo> ShardScheduler::unlistedWorkers() const
{
    std::vector<Ports::WorkerInfo> unlisted;
    for (const auto& [id, worker] : workers_) {
        const bool isNeeded = !worker->tasks.empty() || worker->watchedUntil != Utils::TimePoint {};
        if (!worker->isListed && isNeeded && !worker->info.address.empty())
            unlisted.push_back(worker->info);
    }
    return unlisted;
}

std::size_t ShardScheduler::countAttemptsOnUnlistedWorkers() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : workers_)
        count += worker->isListed ? 0 : worker->tasks.size();
    return count;
}

void ShardScheduler::reviewUsability(Worker& worker, Utils::TimePoint now)
{
    constexpr milliseconds usabilityReportInterval { 10'000 };
    // A worker whose starts fail again and again gets another one after each report.
    constexpr int manyFailedStarts = 5;
    const bool failsStarts = worker.failedStarts >= manyFailedStarts;
    const std::string_view cause = failsStarts ? "start-failing" : worker.unusableCause();
    const bool isExpected = cause.empty() || !worker.isListed || worker.info.isDraining;
    if (isExpected)
        worker.unusableSince = {};
    else if (worker.unusableSince == Utils::TimePoint {})
        worker.unusableSince = now;
    if (isExpected || now - worker.unusableSince < reportDelay
        || now - worker.unusableReportedAt < usabilityReportInterval)
        return;
    worker.unusableReportedAt = now;
    output_.workerUnusable(worker.info.id, cause, now - worker.unusableSince);
}

void ShardScheduler::reviewWaits(Utils::TimePoint now, std::int64_t nowUnixMs)
{
    if (now - waitsReviewedAt_ < reviewInterval)
        return;
    waitsReviewedAt_ = now;
    std::size_t reportSteps = 1;
    for (const auto& [id, worker] : workers_)
        reportSteps += 1 + worker->tasks.size();
    std::size_t reportLimit
        = std::clamp<std::size_t>(options_.tickStepLimit / reportSteps, 1, maxReportsPerReview);
    for (const auto& [id, job] : jobs_) {
        if (!job->isActive())
            continue;
        for (std::uint32_t occurrence = 0; occurrence < job->occurrences(); ++occurrence) {
            for (std::uint32_t step = 0; step < job->stepOffsets.size(); ++step) {
                if (job->remainingTasks(occurrence, step) > 0
                    && job->isStepReady(occurrence, step, nowUnixMs))
                    reviewStepWaits(*job, occurrence, step, now, reportLimit);
            }
        }
    }
}

// Tasks that wait for a worker are reported together, the others one by one: each waits for an event of its
// own.
void ShardScheduler::reviewStepWaits(
    Job& job, std::uint32_t occurrence, std::uint32_t step, Utils::TimePoint now, std::size_t& reportLimit)
{
    Task* longest = nullptr;
    std::uint32_t waitingCount = 0;
    steps_->spend(StepKind::Waits, job.spec.steps(static_cast<int>(step)).count());
    for (std::uint32_t index = 0; index < job.spec.steps(static_cast<int>(step)).count(); ++index) {
        Task& task = *job.findTask(occurrence, step, index);
        if (!canWait(task)) {
            task.idleSince = {};
            continue;
        }
        if (task.idleSince == Utils::TimePoint {})
            task.idleSince = now;
        if (now - task.idleSince < reportDelay)
            continue;
        if (task.phase == TaskPhase::Waiting) {
            ++waitingCount;
            if (!longest || task.idleSince < longest->idleSince)
                longest = &task;
        } else if (reportLimit > 0 && now - task.waitReportedAt >= reportInterval) {
            --reportLimit;
            task.waitReportedAt = now;
            reportWait(task, 1, now);
        }
    }
    if (longest && reportLimit > 0 && now - longest->waitReportedAt >= reportInterval) {
        --reportLimit;
        longest->waitReportedAt = now;
        reportWait(*longest, waitingCount, now);
    }
}

void ShardScheduler::reportWait(const Task& task, std::uint32_t similarTaskCount, Utils::TimePoint now)
{
    WaitReport report;
    report.task = keyOf(task);
    report.attempt = task.attempt;
    report.failureCount = task.failures;
    const FleetSchema::StepSpec& step = task.job->step(task);
    report.kind = step.lasting() ? "long-running" : step.leftover_processors() ? "best-effort" : "short";
    report.phase = nameOf(task.phase);
    report.waitedMs = toMs(now - task.idleSince);
    report.similarTaskCount = similarTaskCount;
    report.workerListAgeMs = workersReadAt_ == Utils::TimePoint {} ? -1 : toMs(now - workersReadAt_);
    std::vector<Worker*> workers;
    for (const auto& [id, worker] : workers_) {
        workers.push_back(worker.get());
        report.listedWorkers += worker->isListed ? 1 : 0;
        report.usableWorkers += worker->isUsable() ? 1 : 0;
    }
    if (evacuation_.isRequested() && task.phase == TaskPhase::Waiting) {
        report.obstacles = "domain evacuated";
    } else if (awaitsCrashVerdict(task)) {
        report.obstacles = "verdict on crashes";
    } else if (task.phase == TaskPhase::Waiting) {
        const auto counts = countObstacles(task, workers, interferenceView(StepKind::Waits), now);
        for (std::size_t obstacle = 0; obstacle < counts.size(); ++obstacle) {
            if (counts[obstacle] > 0) {
                report.obstacles += std::string(report.obstacles.empty() ? "" : ", ")
                    + std::to_string(counts[obstacle]) + " "
                    + std::string(Fleet::nameOf(static_cast<PlacementObstacle>(obstacle)));
            }
        }
    } else if (task.phase == TaskPhase::Delegated) {
        report.hostShard = task.hostShard;
        report.isDelegationStored = task.isDelegationStored;
    }
    if (const Worker* worker = task.worker) {
        report.worker = worker->info.id;
        report.isWorkerListed = worker->isListed;
        report.isWorkerResponsive = worker->isResponsive;
        report.reportAgeMs
            = worker->clockSeenAt == Utils::TimePoint {} ? -1 : toMs(now - worker->clockSeenAt);
        report.leaseRemainingMs = toMs(worker->lease.end() - now);
        report.runRemainingMs = toMs(latestRunEnd(task) - now);
    }
    output_.taskWaiting(report);
}

} // namespace Fleet
