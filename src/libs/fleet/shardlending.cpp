// Part of ShardScheduler: lasting tasks that move to another shard for want of room.
//
// The lender stores that a task is lent before it calls the other shard, and never starts it again unless it
// is lent back. The other shard may not refuse, so the lender only has to repeat the call until it is
// answered.

#include "shardscheduler.h"

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Time for short tasks to end and for a move within the shard, well below what a caller may see a task
// missing.
constexpr milliseconds lendPatience { 1800 };
constexpr milliseconds lendRepeat { 600 };

} // namespace

void ShardScheduler::tickLending(Job& job, Utils::TimePoint now)
{
    if (!job.isCommitted || !job.spec.steps(0).lasting())
        return;
    for (Task& task : job.tasks) {
        if (task.phase == TaskPhase::Lent) {
            if (mayCallBorrower(task) && now - task.lendSentAt > lendRepeat)
                sendLend(task, now);
            continue;
        }
        const bool isStarved = task.phase == TaskPhase::Waiting && job.isActive()
            && task.waitingSince != Utils::TimePoint {} && now - task.waitingSince > lendPatience;
        if (!isStarved)
            continue;
        const std::string shard = orders_.findShardWithRoom(job.spec, task.step);
        if (shard.empty())
            continue;
        task.phase = TaskPhase::Lent;
        task.lentTo = shard;
        ++task.transfer;
        task.isLendStored = false;
        task.isLendAnswered = false;
        markDirty(job);
    }
}

// A call before its record is stored would stand even if a successor, which does not know of it, decides
// otherwise.
bool ShardScheduler::mayCallBorrower(const Task& task)
{
    const Job& job = *task.job;
    const bool isRecorded = job.isActive() ? task.isLendStored : job.committedState == job.state;
    return task.phase == TaskPhase::Lent && isRecorded && !task.isLendAnswered;
}

void ShardScheduler::sendLend(Task& task, Utils::TimePoint now)
{
    task.lendSentAt = now;
    if (!task.job->isActive()) {
        orders_.cancelLent(task.lentTo, task.job->spec);
        return;
    }
    FleetSchema::TaskTransfer transfer;
    *transfer.mutable_job() = task.job->spec;
    transfer.set_step(task.step);
    transfer.set_index(task.index);
    transfer.set_attempt(task.attempt);
    transfer.set_transfer(task.transfer);
    transfer.set_checkpoint(task.checkpoint);
    orders_.lendTask(task.lentTo, transfer);
}

Job& ShardScheduler::ensurePart(const FleetSchema::JobSpec& spec, Utils::TimePoint now)
{
    if (Job* known = findJob(spec.id()))
        return *known;
    auto part = std::make_unique<Job>();
    initializeJob(spec, *part);
    part->acceptedAt = now;
    part->isStarted = true; // The lender counts it among the jobs that wait, if at all.
    part->state = FleetSchema::JOB_RUNNING;
    for (Task& task : part->tasks)
        task.phase = TaskPhase::Foreign;
    Job& job = *part;
    jobs_[spec.id()] = std::move(part);
    return job;
}

void ShardScheduler::cancelPart(
    const FleetSchema::JobSpec& spec, std::uint64_t ticket, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    ensurePart(spec, now);
    cancel(spec.id(), ticket, nowUnixMs);
}

void ShardScheduler::adopt(
    const FleetSchema::TaskTransfer& transfer, std::uint64_t ticket, Utils::TimePoint now)
{
    Job* const job = &ensurePart(transfer.job(), now);
    Task* task = job->find(0, transfer.step(), transfer.index());
    if (task && transfer.transfer() > task->transfer && !task->isOpen()) {
        task->phase = TaskPhase::Waiting;
        task->transfer = transfer.transfer();
        task->attempt = std::max(task->attempt, transfer.attempt());
        task->checkpoint = transfer.checkpoint();
        task->lentTo.clear();
        task->waitingSince = {};
        markDirty(*job);
        isScheduleDue_ = true;
    }
    if (job->isCommitted && !job->isDirty && !inflight_)
        orders_.answer(ticket, { FleetSchema::PEER_OK, job->committedState, 0 });
    else {
        markDirty(*job);
        job->acceptTickets.push_back(ticket);
    }
}

// Tasks of one job may be lent to one shard under the same number, so the task itself is looked at too.
void ShardScheduler::onLendAnswered(const FleetSchema::TaskTransfer& transfer, const std::string& shard)
{
    Job* const job = findJob(transfer.job().id());
    Task* const task = job ? job->find(0, transfer.step(), transfer.index()) : nullptr;
    if (task && job->isActive() && task->phase == TaskPhase::Lent && task->lentTo == shard
        && task->transfer == transfer.transfer()) {
        task->isLendAnswered = true;
    }
}

void ShardScheduler::onPartCancelled(const std::string& id, const std::string& shard)
{
    Job* const job = findJob(id);
    if (!job || job->isActive())
        return;
    for (Task& task : job->tasks) {
        if (task.phase == TaskPhase::Lent && task.lentTo == shard)
            task.isLendAnswered = true;
    }
}

} // namespace Fleet
