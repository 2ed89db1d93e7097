// Attempts of ShardScheduler that are lost with their worker. A crash is attributed to the attempts that had
// not run long enough to show that they are not its cause. The count is stored with the end of the attempt.

#include "crashpolicy.h"
#include "shardscheduler.h"
#include "workerchoice.h"

#include <utility>

namespace Fleet {

namespace {

CrashCount crashCountOf(const Task& task)
{
    return { task.provedCrashes(), task.unansweredCrashes };
}

} // namespace

// Ends an attempt that no longer runs. If its worker has crashed, the attempt may be the cause.
void ShardScheduler::endLostAttempt(
    Task& task, std::string_view reason, CrashEvidence evidence, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    const Ports::WorkerInfo& worker = task.worker->info;
    output_.attemptEnded(worker.id, keyOf(task), task.attempt, reason);
    const bool wasSent = task.phase != TaskPhase::Held;
    if (!wasSent || evidence == CrashEvidence::None || task.isProven) {
        requeue(task, task.hasStarted ? now : now + pauseAfterLostStart(task, now));
        return;
    }
    task.avoidedWorker = worker.id;
    task.crashedAddress = worker.address;
    // An unanswered start may have reached the worker only after the crash, so that another task was the
    // cause, unless there was no other suspect. It leads to the isolation of the task.
    const bool isCause = task.hasStarted || isolationOf(task) == fullIsolation;
    if (!isCause) {
        ++task.unansweredCrashes;
        output_.workerCrashed(worker.id, keyOf(task), task.attempt, crashCountOf(task));
    } else if (evidence == CrashEvidence::Proved) {
        ++task.crashes;
        output_.workerCrashed(worker.id, keyOf(task), task.attempt, crashCountOf(task));
    } else {
        ++task.crashes;
        task.presumedCrashes.push_back({ worker.id, task.workerBornMs, task.attempt, now });
        task.worker->watchedUntil = now + crashVerdictDelay;
        presumedCrashes_[worker.id].insert(keyOf(task));
    }
    requeue(task, now + pauseAfterCrash(task.suspectedCrashes()));
    if (task.job->isActive())
        failJobIfExhausted(task, now, nowUnixMs);
}

// A worker that still lives had been cut off.
void ShardScheduler::judgePresumedCrashes(const Worker& worker, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    const auto isAny = [](const PresumedCrash&) { return true; };
    for (const auto& [task, crash] : takePresumedCrashes(worker.info.id, isAny)) {
        if (crash.workerBornMs != 0 && crash.workerBornMs != worker.bornMs) {
            confirmCrash(*task, crash, now, nowUnixMs);
            continue;
        }
        --task->crashes;
        visitAgain(*task->job, task->occurrence);
        markDirty(*task->job);
        isScheduleDue_ = true;
    }
}

// Removes the presumed crashes of a worker that meet the condition from their tasks and returns them.
std::vector<std::pair<Task*, PresumedCrash>> ShardScheduler::takePresumedCrashes(
    const std::string& worker, const std::function<bool(const PresumedCrash&)>& condition)
{
    std::vector<std::pair<Task*, PresumedCrash>> taken;
    const auto found = presumedCrashes_.find(worker);
    if (found == presumedCrashes_.end())
        return taken;
    callSteps_.spend(StepKind::Calls, found->second.size());
    std::erase_if(found->second, [&](const Ports::TaskKey& key) {
        Job* const job = findJob(key.job);
        Task* const task = job ? job->findTask(key.occurrence, key.step, key.index) : nullptr;
        if (!task)
            return true;
        bool isAnyLeft = false;
        std::erase_if(task->presumedCrashes, [&](const PresumedCrash& crash) {
            if (crash.worker != worker)
                return false;
            if (!condition(crash)) {
                isAnyLeft = true;
                return false;
            }
            taken.emplace_back(task, crash);
            return true;
        });
        return !isAnyLeft;
    });
    if (found->second.empty())
        presumedCrashes_.erase(found);
    return taken;
}

void ShardScheduler::confirmPresumedCrashes(const std::string& worker,
    const std::function<bool(const PresumedCrash&)>& condition, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    for (const auto& [task, crash] : takePresumedCrashes(worker, condition))
        confirmCrash(*task, crash, now, nowUnixMs);
}

// Confirms the crashes of workers that have stayed away.
void ShardScheduler::confirmOldCrashes(Utils::TimePoint now, std::int64_t nowUnixMs)
{
    std::vector<std::string> workers;
    for (const auto& [worker, tasks] : presumedCrashes_)
        workers.push_back(worker);
    const auto isOld
        = [now](const PresumedCrash& crash) { return now - crash.presumedAt > crashVerdictDelay; };
    for (const std::string& worker : workers) {
        steps_->spend(StepKind::Attempts, presumedCrashes_[worker].size());
        confirmPresumedCrashes(worker, isOld, now, nowUnixMs);
    }
}

void ShardScheduler::confirmCrash(
    Task& task, const PresumedCrash& crash, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    const bool isOver = !task.isOpen() && task.phase != TaskPhase::Waiting;
    if (isOver || !task.job->isActive())
        return;
    markDirty(*task.job);
    output_.workerCrashed(crash.worker, keyOf(task), crash.attempt, crashCountOf(task));
    failJobIfExhausted(task, now, nowUnixMs);
}

// The verdict on crashes that are only presumed can be reached in this shard only.
void ShardScheduler::forgetPresumedCrashes(Task& task)
{
    task.crashes = task.provedCrashes();
    task.presumedCrashes.clear();
}

// Tasks that start everywhere all the time would keep a fully isolated task from every worker. Those on a
// worker that is kept empty end or turn out harmless soon.
void ShardScheduler::keepWorkersEmpty(Utils::TimePoint now)
{
    // Share of the workers, so that the crashes of many tasks do not keep the others from starting.
    constexpr std::size_t workersToOneEmpty = 4;
    const std::vector<Worker*> workers = assignableWorkers(now);
    for (const auto& [id, worker] : workers_) {
        worker->reservedMilliProcessors = 0;
        worker->isKeptEmpty = false;
    }
    std::size_t remaining = std::max<std::size_t>(1, workers.size() / workersToOneEmpty);
    std::set<Ports::TaskKey> visited; // A sweep may visit a task twice.
    for (const Ports::TaskKey& key : std::exchange(isolatedTasks_, {})) {
        if (!visited.insert(key).second)
            continue;
        Job* const job = findJob(key.job);
        const Task* const task = job ? job->findTask(key.occurrence, key.step, key.index) : nullptr;
        const bool isIsolated = task && task->phase == TaskPhase::Waiting && job->isActive()
            && isolationOf(*task) == fullIsolation;
        const bool mayContinue
            = remaining > 0 && !steps_->isSpent(StepKind::Preparation, options_.tickStepLimit);
        if (mayContinue && isIsolated && keepWorkerEmpty(*task, workers, *steps_))
            --remaining;
    }
}

void ShardScheduler::onListedAsRunning(Task& task, std::int64_t clockMs)
{
    task.hasStarted = true;
    task.job->hasBegun = true;
    confirm(task);
    if (task.workerBornMs != task.worker->bornMs) {
        task.workerBornMs = task.worker->bornMs;
        task.startClockMs = 0;
        task.isProven = false;
    }
    if (!recordRunning(task, clockMs) || task.suspectedCrashes() == 0)
        return;
    forgetPresumedCrashes(task);
    task.crashes = 0;
    task.unansweredCrashes = 0;
    markDirty(*task.job);
    isScheduleDue_ = true;
}

} // namespace Fleet
