// Loading of ShardScheduler from stored records, and what it passes on to the next owner beside them.

#include "shardscheduler.h"

#include "workercommitment.h"

#include <algorithm>

namespace Fleet {

using std::chrono::milliseconds;

namespace {

// Whether the worker drains, or is neither listed nor answers.
bool isLeaving(const Worker& worker)
{
    return worker.info.isDraining || (!worker.isListed && !worker.isResponsive);
}

} // namespace

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

void ShardScheduler::limitFormerLeases(const LeaseEnds& ends, Utils::TimePoint otherEnd)
{
    for (const auto& [id, worker] : workers_) {
        if (worker->bornMs != 0)
            continue;
        const auto end = ends.find(id);
        worker->leaseUpperBound
            = std::min(worker->leaseUpperBound, end == ends.end() ? otherEnd : end->second);
    }
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

LeaseEnds ShardScheduler::stateLeaseEnds(Utils::TimePoint now)
{
    // A worker that drains is worth no longer lease than until the next transactions, which are at most 2 s
    // apart while the store answers.
    constexpr milliseconds leavingRenewal { 2500 };
    LeaseEnds ends;
    for (const auto& [id, worker] : workers_) {
        if (worker->tasks.empty() || !isLeaving(*worker))
            continue;
        ends[id] = worker->leaseUpperBound;
        if (worker->isResponsive)
            ends[id] = std::max(ends[id], now + leavingRenewal + options_.workerLease * 51 / 50);
    }
    statedLeaseEnds_.onSent(ends);
    return ends;
}

bool ShardScheduler::isLeaseStatementDue() const
{
    const LeaseEnds& stated = statedLeaseEnds_.latest();
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
        const bool mustBeStated = !entry.second->tasks.empty() && isLeaving(*entry.second);
        return mustBeStated != stated.contains(entry.first);
    });
}

bool ShardScheduler::mayLease(const Worker& worker, Utils::Duration lease, Utils::TimePoint now) const
{
    return statedLeaseEnds_.allows(worker.info.id, now + lease * 51 / 50);
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
