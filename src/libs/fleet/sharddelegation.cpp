// Delegation of ShardScheduler: long-running tasks that run on another shard when this one has no capacity.
// The origin shard stores the delegation before it calls the host shard and never starts the task again
// unless it is delegated back. The host shard must not reject a task, so the origin shard only has to repeat
// the call until it is answered.

#include "shardscheduler.h"

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Time for which a task waits on its own shard before it is delegated. It lets short tasks end or a
// relocation free capacity, and is well below the time for which a caller may find a task missing.
constexpr milliseconds delegationDelay { 1800 };
constexpr milliseconds delegationRetryInterval { 600 };

} // namespace

void ShardScheduler::tickDelegations(Job& job, Utils::TimePoint now)
{
    if (!job.isCommitted || !job.spec.steps(0).lasting())
        return;
    for (Task& task : job.tasks) {
        if (task.phase == TaskPhase::Delegated) {
            if (mayCallHostShard(task) && now - task.delegationSentAt > delegationRetryInterval)
                sendDelegation(task, now);
            continue;
        }
        const bool isStarved = task.phase == TaskPhase::Waiting && job.isActive()
            && task.waitingSince != Utils::TimePoint {} && now - task.waitingSince > delegationDelay;
        if (!isStarved)
            continue;
        const std::string shard = output_.findShardWithCapacity(job.spec, task.step);
        if (shard.empty())
            continue;
        task.phase = TaskPhase::Delegated;
        task.hostShard = shard;
        ++task.transferNumber;
        task.isDelegationStored = false;
        task.isDelegationAcknowledged = false;
        markDirty(job);
    }
}

// The record must be stored before the call. Otherwise a successor would not know of the delegation and could
// decide differently while the call remains valid.
bool ShardScheduler::mayCallHostShard(const Task& task)
{
    const Job& job = *task.job;
    const bool isRecorded = job.isActive() ? task.isDelegationStored : job.committedState == job.state;
    return task.phase == TaskPhase::Delegated && isRecorded && !task.isDelegationAcknowledged;
}

void ShardScheduler::sendDelegation(Task& task, Utils::TimePoint now)
{
    task.delegationSentAt = now;
    if (!task.job->isActive()) {
        output_.cancelDelegatedTasks(task.hostShard, task.job->spec);
        return;
    }
    FleetSchema::TaskTransfer transfer;
    *transfer.mutable_job() = task.job->spec;
    transfer.set_step(task.step);
    transfer.set_index(task.index);
    transfer.set_attempt(task.attempt);
    transfer.set_transfer(task.transferNumber);
    transfer.set_checkpoint(task.checkpoint);
    output_.delegateTask(task.hostShard, transfer);
}

Job& ShardScheduler::ensureHostedJob(const FleetSchema::JobSpec& spec, Utils::TimePoint now)
{
    if (Job* known = findJob(spec.id()))
        return *known;
    auto hosted = std::make_unique<Job>();
    initializeJob(spec, *hosted);
    hosted->acceptedAt = now;
    hosted->isStarted = true; // Only the origin shard may count the job as pending.
    hosted->state = FleetSchema::JOB_RUNNING;
    for (Task& task : hosted->tasks)
        task.phase = TaskPhase::AtOrigin;
    Job& job = *hosted;
    jobs_[spec.id()] = std::move(hosted);
    return job;
}

void ShardScheduler::cancelHostedTasks(
    const FleetSchema::JobSpec& spec, std::uint64_t ticket, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    ensureHostedJob(spec, now);
    cancel(spec.id(), ticket, nowUnixMs);
}

void ShardScheduler::acceptDelegatedTask(
    const FleetSchema::TaskTransfer& transfer, std::uint64_t ticket, Utils::TimePoint now)
{
    Job* const job = &ensureHostedJob(transfer.job(), now);
    Task* task = job->findTask(0, transfer.step(), transfer.index());
    if (task && transfer.transfer() > task->transferNumber && !task->isOpen()) {
        task->phase = TaskPhase::Waiting;
        task->transferNumber = transfer.transfer();
        task->attempt = std::max(task->attempt, transfer.attempt());
        task->checkpoint = transfer.checkpoint();
        task->hostShard.clear();
        task->waitingSince = {};
        markDirty(*job);
        isScheduleDue_ = true;
    }
    if (job->isCommitted && !job->isDirty && !inflightBatch_)
        output_.answer(ticket, { FleetSchema::PEER_OK, job->committedState, 0 });
    else {
        markDirty(*job);
        job->acceptTickets.push_back(ticket);
    }
}

// Several tasks of one job may be delegated to one shard under the same transfer number, so the step and the
// index must match as well.
void ShardScheduler::onDelegationStored(const FleetSchema::TaskTransfer& transfer, const std::string& shard)
{
    Job* const job = findJob(transfer.job().id());
    Task* const task = job ? job->findTask(0, transfer.step(), transfer.index()) : nullptr;
    if (task && job->isActive() && task->phase == TaskPhase::Delegated && task->hostShard == shard
        && task->transferNumber == transfer.transfer()) {
        task->isDelegationAcknowledged = true;
    }
}

void ShardScheduler::onDelegatedTasksCancelled(const std::string& id, const std::string& shard)
{
    Job* const job = findJob(id);
    if (!job || job->isActive())
        return;
    for (Task& task : job->tasks) {
        if (task.phase == TaskPhase::Delegated && task.hostShard == shard)
            task.isDelegationAcknowledged = true;
    }
}

} // namespace Fleet
