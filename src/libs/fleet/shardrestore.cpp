// Loading of ShardScheduler from stored records, and what it passes on to the next owner beside them.

#include "shardscheduler.h"

#include "workercommitment.h"

#include <algorithm>

namespace Fleet {

using std::chrono::milliseconds;

void ShardScheduler::restore(
    const FleetSchema::JobRecord& record, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    auto job = std::make_unique<Job>();
    initializeJob(record.spec(), *job);
    job->state = record.state();
    job->committedState = record.state();
    job->isCommitted = true;
    job->isStarted = record.started();
    job->endedUnixMs = record.ended_unix_ms();
    job->originShard = record.origin_shard();
    job->acceptedAt = now - milliseconds(std::max<std::int64_t>(0, nowUnixMs - job->spec.accepted_unix_ms()));
    const int count = std::min(record.tasks_size(), static_cast<int>(job->tasks.size()));
    for (int position = 0; position < count; ++position)
        restoreTask(job->tasks[static_cast<std::size_t>(position)], record.tasks(position), now);
    jobs_[job->spec.id()] = std::move(job);
    isScheduleDue_ = true;
}

LeaseEnds ShardScheduler::leaseEnds() const
{
    LeaseEnds ends;
    for (const auto& [id, worker] : workers_) {
        if (!worker->tasks.empty())
            ends[id] = worker->leaseUpperBound;
    }
    return ends;
}

void ShardScheduler::restoreTask(Task& task, const FleetSchema::TaskRecord& stored, Utils::TimePoint now)
{
    Job& job = *task.job;
    task.attempt = stored.attempt();
    task.failures = stored.failures();
    task.crashes = stored.crashes();
    task.checkpoint = stored.checkpoint();
    task.hostShard = stored.lent_to();
    task.transferNumber = stored.transfer();
    switch (stored.state()) {
    case FleetSchema::TASK_LENT:
        task.phase = TaskPhase::Delegated;
        task.isDelegationStored = true;
        break;
    case FleetSchema::TASK_FOREIGN:
        task.phase = TaskPhase::AtOrigin;
        break;
    case FleetSchema::TASK_RESOLVED:
        task.phase = TaskPhase::Resolved;
        task.result = stored.result();
        task.isResultStored = true;
        break;
    case FleetSchema::TASK_DONE:
        task.phase = TaskPhase::Done;
        --job.remainingTasks(task.occurrence, task.step);
        --job.remainingTaskCount;
        break;
    case FleetSchema::TASK_ASSIGNED:
        restoreAttempt(task, stored, now);
        break;
    default:
        break;
    }
    job.hasTransfers = job.hasTransfers || task.transferNumber > 0;
    if (job.isHosted() && task.phase != TaskPhase::AtOrigin)
        job.markPredecessorsDone(task.occurrence, task.step);
}

void ShardScheduler::restoreAttempt(Task& task, const FleetSchema::TaskRecord& stored, Utils::TimePoint now)
{
    Worker& worker = ensureWorker(stored.worker(), now);
    if (worker.info.address.empty())
        worker.info.address = stored.worker_address();
    task.phase = TaskPhase::Unverified;
    task.hasStarted = true;
    task.worker = &worker;
    task.workerBornMs = stored.worker_born();
    task.reportableSince = now;
    addAttempt(task, worker);
}

} // namespace Fleet
