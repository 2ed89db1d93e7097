// Attempts of ShardScheduler that are lost with their worker. A crash is attributed to the attempts that had
// not run long enough to show that they are not its cause. The count is stored with the end of the attempt, as
// far as it is proved.

#include "crashpolicy.h"
#include "shardscheduler.h"

namespace Fleet {

// Ends an attempt that no longer runs. If its worker has crashed, the attempt may be the cause.
void ShardScheduler::endLostAttempt(Task& task, std::string_view reason, CrashEvidence evidence,
    Utils::TimePoint now, std::int64_t nowUnixMs)
{
    const Ports::WorkerInfo& worker = task.worker->info;
    output_.attemptEnded(worker.id, keyOf(task), task.attempt, reason);
    // A start that the worker never confirmed may have reached it only after the crash, or not at all.
    if (evidence == CrashEvidence::None || !task.hasStarted || task.isProven) {
        requeue(task, now);
        return;
    }
    ++task.crashes;
    task.avoidedWorker = worker.id;
    task.crashedAddress = worker.address;
    if (evidence == CrashEvidence::Proved) {
        output_.workerCrashed(worker.id, keyOf(task), task.attempt, task.provedCrashes());
    } else {
        ++task.presumedCrashes;
        presumedCrashes_.add({ worker.id, task.workerBornMs, keyOf(task), task.attempt, now });
    }
    requeue(task, now + pauseAfterCrash(task.crashes));
    if (task.job->isActive())
        failJobIfExhausted(task, now, nowUnixMs);
}

// A worker that still lives had been cut off.
void ShardScheduler::judgePresumedCrashes(
    const Worker& worker, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    for (const PresumedCrash& crash : presumedCrashes_.takeAllOf(worker.info.id)) {
        if (crash.workerBornMs != 0 && crash.workerBornMs != worker.bornMs)
            confirmCrash(crash, now, nowUnixMs);
        else if (Task* const task = takePresumedCrash(crash))
            --task->crashes;
    }
}

// Returns the task whose crash is not a presumption any more, or nullptr if nothing depends on it.
Task* ShardScheduler::takePresumedCrash(const PresumedCrash& crash)
{
    Job* const job = findJob(crash.task.job);
    Task* const task
        = job ? job->findTask(crash.task.occurrence, crash.task.step, crash.task.index) : nullptr;
    if (!task || task->presumedCrashes == 0)
        return nullptr;
    --task->presumedCrashes;
    isScheduleDue_ = true;
    return task;
}

void ShardScheduler::confirmCrash(
    const PresumedCrash& crash, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    Task* const task = takePresumedCrash(crash);
    if (!task)
        return;
    markDirty(*task->job);
    output_.workerCrashed(crash.worker, crash.task, crash.attempt, task->provedCrashes());
    if (task->job->isActive() && task->phase == TaskPhase::Waiting)
        failJobIfExhausted(*task, now, nowUnixMs);
}

// The verdict on crashes that are only presumed can be reached in this shard only.
void ShardScheduler::forgetPresumedCrashes(Task& task)
{
    if (task.presumedCrashes == 0)
        return;
    presumedCrashes_.forget(keyOf(task));
    task.crashes = task.provedCrashes();
    task.presumedCrashes = 0;
}

void ShardScheduler::onListedAsRunning(Task& task, std::int64_t clockMs)
{
    task.hasStarted = true;
    if (task.workerBornMs != task.worker->bornMs) {
        task.workerBornMs = task.worker->bornMs;
        task.startClockMs = 0;
        task.isProven = false;
    }
    if (!recordRunning(task, clockMs) || task.crashes == 0)
        return;
    forgetPresumedCrashes(task);
    task.crashes = 0;
    markDirty(*task.job);
    isScheduleDue_ = true;
}

} // namespace Fleet
