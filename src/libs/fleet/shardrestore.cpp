// Loading of ShardScheduler from stored records, and what it passes on to the next owner beside them.

#include "inflightbatch.h"
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
    job->hasBegun = record.started();
    job->endedUnixMs = record.ended_unix_ms();
    job->originShard = record.origin_shard();
    job->storedParts.assign(record.part_count(), 0);
    job->acceptedAt = now - milliseconds(std::max<std::int64_t>(0, nowUnixMs - job->spec.accepted_unix_ms()));
    const int count = std::min(record.tasks_size(), static_cast<int>(job->tasks.size()));
    for (int position = 0; position < count; ++position)
        restoreTask(job->tasks[static_cast<std::size_t>(position)], record.tasks(position), now);
    job->isOriginUnconfirmed = job->isHosted() && job->isActive();
    job->isStarted = job->isHosted()
        || std::any_of(
            job->tasks.begin(), job->tasks.end(), [](const Task& task) { return task.attempt > 0; });
    jobs_[job->spec.id()] = std::move(job);
    isScheduleDue_ = true;
}

void ShardScheduler::limitFormerLeases(const LeaseEnds& ends, Utils::TimePoint otherEnd)
{
    for (const auto& [id, worker] : workers_) {
        if (worker->bornMs != 0)
            continue;
        const auto end = ends.find(id);
        worker->lease.limit(end == ends.end() ? otherEnd : end->second);
        worker->isLeaseStated = worker->isLeaseStated || end != ends.end();
        for (Task* const task : worker->tasks) {
            if (worker->isLeaseStated)
                task->startableUntil = {};
        }
    }
}

Utils::TimePoint ShardScheduler::heldLeaseEnd() const
{
    Utils::TimePoint end = formerHeldLeaseEnd_;
    for (const auto& [id, worker] : workers_) {
        if (worker->lease.source() == LeaseSource::Restart)
            end = std::max(end, worker->lease.end());
    }
    return end;
}

// A worker that is forgotten may restart unseen until it is listed again.
void ShardScheduler::forgetObsoleteWorkers(Utils::TimePoint now)
{
    std::erase_if(workers_, [&](const auto& entry) {
        const bool isObsolete = entry.second->isObsolete(now);
        if (isObsolete && entry.second->bornMs != 0)
            ++restartCounts_[entry.first];
        return isObsolete;
    });
}

std::uint32_t ShardScheduler::restartCount(const std::string& worker) const
{
    const auto found = restartCounts_.find(worker);
    return found == restartCounts_.end() ? 0 : found->second;
}

LeaseEnds ShardScheduler::leaseEnds() const
{
    LeaseEnds ends;
    for (const auto& [id, worker] : workers_) {
        if (!worker->tasks.empty())
            ends[id] = latestLeaseEnd(*worker);
    }
    return ends;
}

// Also of attempts that another incarnation may start.
Utils::TimePoint ShardScheduler::latestLeaseEnd(const Worker& worker) const
{
    Utils::TimePoint end = worker.lease.end();
    for (const Task* task : worker.tasks)
        end = std::max(end, latestRunEnd(*task) - options_.stopLimit);
    return end;
}

LeaseEnds ShardScheduler::stateLeaseEnds(Utils::TimePoint now)
{
    // A draining worker needs leases only from one transaction to the next. While the store answers, these
    // are at most 2 s apart.
    constexpr milliseconds leavingRenewal { 2500 };
    LeaseEnds ends;
    for (const auto& [id, worker] : workers_) {
        if (worker->tasks.empty() || !isLeaving(*worker))
            continue;
        ends[id] = latestLeaseEnd(*worker);
        if (worker->isResponsive)
            ends[id] = std::max(ends[id], now + leavingRenewal + options_.workerLease * 51 / 50);
    }
    statedLeaseEnds_.onSent(ends);
    return ends;
}

bool ShardScheduler::isLeaseStatementDue(Utils::TimePoint now) const
{
    const LeaseEnds& stated = statedLeaseEnds_.latest();
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
        const Worker& worker = *entry.second;
        const bool mustBeStated = !worker.tasks.empty() && isLeaving(worker);
        if (mustBeStated != stated.contains(entry.first))
            return true;
        return mustBeStated && worker.isResponsive && !mayLease(worker, options_.workerLease, now);
    });
}

void ShardScheduler::adoptStatedLeaseEnds(const LeaseEnds& ends)
{
    statedLeaseEnds_.onSent(ends);
    statedLeaseEnds_.onStored();
}

std::vector<FleetSchema::EndedTask> ShardScheduler::unstoredEnds() const
{
    // Bounds the size of the answer to a successor; the other attempts are waited for.
    constexpr std::size_t maxEnds = 4000;
    std::vector<FleetSchema::EndedTask> ends;
    std::vector<const Job*> jobs(dirtyJobs_.begin(), dirtyJobs_.end());
    if (inflightBatch_) {
        for (const BatchedJob& stored : inflightBatch_->jobs)
            jobs.push_back(stored.job);
    }
    for (const Job* job : jobs) {
        for (const Task& task : job->tasks) {
            const bool isDone = task.phase == TaskPhase::Done
                || (task.phase == TaskPhase::Resolved && task.result == FleetSchema::TASK_COMPLETED);
            const bool isOver
                = isDone || task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Recorded;
            if (!isOver || task.attempt == 0 || ends.size() == maxEnds)
                continue;
            FleetSchema::EndedTask& end = ends.emplace_back();
            end.set_job(job->spec.id());
            end.set_occurrence(task.occurrence);
            end.set_step(task.step);
            end.set_index(task.index);
            end.set_attempt(task.attempt);
            end.set_done(isDone);
            end.set_failures(task.failures);
            end.set_crashes(task.provedCrashes());
            end.set_unanswered_crashes(task.unansweredCrashes);
            addPresumedCrashes(task, *end.mutable_presumed_crashes());
            end.set_checkpoint(task.checkpoint);
        }
    }
    return ends;
}

void ShardScheduler::onFormerOwnersEnds(
    const std::vector<FleetSchema::EndedTask>& ends, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    for (const FleetSchema::EndedTask& end : ends) {
        Job* const job = findJob(end.job());
        Task* const task = job ? job->findTask(end.occurrence(), end.step(), end.index()) : nullptr;
        // An attempt that was recorded later than the stored one shows that the stored one had ended.
        if (!task || task->phase != TaskPhase::Unverified || end.attempt() < task->attempt)
            continue;
        output_.attemptEnded(task->worker->info.id, keyOf(*task), task->attempt, "told-by-former-owner");
        task->attempt = end.attempt();
        task->failures = std::max(task->failures, end.failures());
        job->hasBegun = job->hasBegun || end.done() || end.failures() > 0;
        restoreCrashes(*task, end.crashes(), end.presumed_crashes(), now);
        task->unansweredCrashes = end.unanswered_crashes();
        if (!end.checkpoint().empty())
            task->checkpoint = end.checkpoint();
        if (end.done() && !job->step(*task).lasting()) {
            finishTask(*task, now, nowUnixMs);
            continue;
        }
        requeue(*task, now);
        if (job->isActive())
            failJobIfExhausted(*task, now, nowUnixMs);
    }
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
    restoreCrashes(task, stored.crashes(), stored.presumed_crashes(), now);
    task.unansweredCrashes = stored.unanswered_crashes();
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
        job.countDoneTask(task.occurrence, task.step);
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

// The verdict on presumed crashes is left to this owner.
void ShardScheduler::restoreCrashes(Task& task, std::uint32_t provedCount,
    const google::protobuf::RepeatedPtrField<FleetSchema::PresumedWorkerCrash>& presumed,
    Utils::TimePoint now)
{
    task.presumedCrashes.clear();
    for (const FleetSchema::PresumedWorkerCrash& crash : presumed) {
        task.presumedCrashes.push_back({ crash.worker(), crash.worker_born(), task.attempt, now });
        presumedCrashes_[crash.worker()].insert(keyOf(task));
    }
    task.crashes = provedCount + static_cast<std::uint32_t>(task.presumedCrashes.size());
}

void ShardScheduler::restoreAttempt(Task& task, const FleetSchema::TaskRecord& stored, Utils::TimePoint now)
{
    Worker& worker = ensureWorker(stored.worker(), now);
    if (worker.info.address.empty())
        worker.info.address = stored.worker_address();
    task.phase = TaskPhase::Unverified;
    unconfirmedTasks_.push_back(keyOf(task));
    task.hasStarted = true;
    task.worker = &worker;
    task.workerBornMs = stored.worker_born();
    task.isConfirmed = stored.confirmed();
    task.startableUntil = worker.isLeaseStated ? Utils::TimePoint {} : now + formerStart_;
    task.reportableSince = now;
    addAttempt(task, worker);
}

} // namespace Fleet
