// Attempts of ShardScheduler that are lost with their worker. A crash is attributed to the attempts that had
// not run long enough to show that they are not its cause. The count is stored with the end of the attempt.

#include "crashpolicy.h"
#include "shardscheduler.h"

namespace Fleet {

// Ends an attempt that no longer runs. If its worker has crashed, the attempt may be the cause.
void ShardScheduler::endLostAttempt(
    Task& task, std::string_view reason, bool hasWorkerCrashed, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    const Ports::WorkerInfo& worker = task.worker->info;
    // A start that the worker never confirmed may have reached it only after the crash, or not at all.
    if (!hasWorkerCrashed || !task.hasStarted || task.isProven) {
        output_.attemptEnded(worker.id, keyOf(task), task.attempt, reason);
        requeue(task, now);
        return;
    }
    ++task.crashes;
    task.avoidedWorker = worker.id;
    task.crashedAddress = worker.address;
    output_.workerCrashed(worker.id, keyOf(task), task.attempt, task.crashes);
    requeue(task, now + pauseAfterCrash(task.crashes));
    if (task.job->isActive())
        failJobIfExhausted(task, now, nowUnixMs);
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
    task.crashes = 0;
    markDirty(*task.job);
    isScheduleDue_ = true;
}

} // namespace Fleet
