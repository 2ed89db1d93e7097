// Delegation of ShardScheduler: tasks that run on another shard when this one has no worker for them.
// The origin shard stores the delegation before it calls the host shard and never starts the task again
// unless it is returned. The host shard must not reject a task, so the origin shard only has to repeat the
// call until it is answered. A task that ends is over in the host shard once its result is stored there; the
// host shard repeats the result until the origin shard has stored it too.

#include "gangvisit.h"
#include "inflightbatch.h"
#include "workerkinds.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Time for which a task waits on its own shard before it is delegated. It lets short tasks end or a
// relocation free capacity, and is well below the time for which a caller may find a task missing.
constexpr milliseconds delegationDelay { 1800 };
// A task that was returned waits longer each time, so that it does not move to and fro, but not beyond the
// time for which nothing of a job may run while there is room.
constexpr milliseconds maxDelegationDelay { 2700 };
// Time for which a task that ends waits in its host shard before it is returned.
constexpr milliseconds returnDelay { 3000 };
// The same if no worker of this shard has the label or the size that the task needs. Long enough for the list
// of workers to be read again.
constexpr milliseconds unsuitableShardDelay { 700 };
constexpr milliseconds transferRetryInterval { 600 };
// Time after an unsuccessful search for a shard for a task that ends. Loads change with each heartbeat.
constexpr milliseconds searchInterval { 200 };
constexpr milliseconds lastingSearchInterval { 50 };
// Bounds the searches of one tick, each of which examines all shards. Tasks for which there is a shard must
// not wait for long, however many they are.
constexpr std::size_t maxFailedShardSearches = 32;
constexpr std::size_t maxShardSearches = 256;

std::uint32_t idleMs(const Task& task, Utils::TimePoint now)
{
    if (task.idleSince == Utils::TimePoint {})
        return 0;
    return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(now - task.idleSince).count());
}

} // namespace

void ShardScheduler::tickTransfers(Utils::TimePoint now)
{
    // The task that was left without a search in the last tick comes first, and those of its job before it
    // last. Otherwise a job with many steps would use up all searches of each tick.
    const std::string resumedJob = std::exchange(nextSearchingJob_, {});
    const std::size_t resumedTask = std::exchange(nextSearchingTask_, 0);
    const auto first = jobs_.lower_bound(resumedJob);
    const bool isResumed
        = first != jobs_.end() && first->first == resumedJob && resumedTask < first->second->tasks.size();
    shardSearchCount_ = 0;
    failedShardSearchCount_ = 0;
    const auto tickTasks = [&](Job& job, std::size_t begin, std::size_t end) {
        steps_->spend(StepKind::Transfers, 1);
        if (hasWaitingTasks_ || now <= latestRetryAt_ || job.hasTransfers)
            tickTransfers(job, std::span(job.tasks).subspan(begin, end - begin), now);
    };
    const auto tickJobs = [&](auto begin, auto end) {
        for (auto job = begin; job != end; ++job)
            tickTasks(*job->second, 0, job->second->tasks.size());
    };
    if (isResumed)
        tickTasks(*first->second, resumedTask, first->second->tasks.size());
    tickJobs(isResumed ? std::next(first) : first, jobs_.end());
    tickJobs(jobs_.begin(), first);
    if (isResumed)
        tickTasks(*first->second, 0, resumedTask);
}

void ShardScheduler::tickTransfers(Job& job, std::span<Task> tasks, Utils::TimePoint now)
{
    // The shard keeps jobs that have ended for a long time, and their tasks wait for nothing.
    if (!job.isCommitted || (!job.isActive() && !job.hasTransfers))
        return;
    if (!job.isActive()) {
        steps_->spend(StepKind::Transfers, job.tasks.size());
        if (std::any_of(job.tasks.begin(), job.tasks.end(), [now](const Task& task) {
                return mayCallHostShard(task) && now - task.delegationSentAt > transferRetryInterval;
            }))
            return cancelUnacknowledged(job, now);
        job.hasTransfers = std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) {
            return task.phase == TaskPhase::Held
                || (task.phase == TaskPhase::Delegated && !task.isDelegationAcknowledged);
        });
    }
    sendPartStarts(job, now);
    steps_->spend(StepKind::Transfers, tasks.size());
    // A gang is not split between two calls: only its first member searches a shard.
    GangVisit visit;
    for (Task& task : tasks) {
        const bool isWaitingForPart = task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Held;
        if (task.part.size > 0 && isWaitingForPart) {
            tickPart(task, visit, now);
        } else if (task.phase == TaskPhase::Delegated) {
            if (mayCallHostShard(task) && now - task.delegationSentAt > transferRetryInterval)
                sendDelegation(task, now);
        } else if (task.phase == TaskPhase::Resolved) {
            if (task.isResultStored && job.isActive() && now - task.resultSentAt > transferRetryInterval)
                sendResult(task, now);
        } else if (isStarved(task, now)) {
            delegateStarvedTask(task, now);
        }
    }
}

bool ShardScheduler::isStarved(const Task& task, Utils::TimePoint now) const
{
    const Job& job = *task.job;
    if (task.part.size > 0)
        return false;
    if (task.phase != TaskPhase::Waiting || task.waitingSince == Utils::TimePoint {} || !job.isActive())
        return false;
    // Only the shard of the workers learns whether they have crashed.
    if (!task.presumedCrashes.empty())
        return false;
    if (evacuation_.isRequested())
        return true;
    if (!canEverRunHere(job.step(task), now))
        return now - task.waitingSince > unsuitableShardDelay;
    if (job.isHosted() && !job.step(task).lasting())
        return now - task.waitingSince > returnDelay;
    const Utils::Duration delay
        = std::min<Utils::Duration>((1 + task.returnCount) * delegationDelay, maxDelegationDelay);
    return now - task.waitingSince > delay;
}

// A shard without a current list of workers may have suitable ones.
bool ShardScheduler::canEverRunHere(const FleetSchema::StepSpec& step, Utils::TimePoint now) const
{
    return workerKinds_.worker_kinds().empty() || isWorkerListOutdated(now) || canEverRun(step, workerKinds_);
}

void ShardScheduler::delegateStarvedTask(Task& task, Utils::TimePoint now)
{
    Job& job = *task.job;
    if (job.isHosted() && !job.step(task).lasting())
        return resolveTask(task, FleetSchema::TASK_RETURNED);
    std::vector<Task*> tasks { &task };
    if (job.step(task).gang()) {
        // The members of a gang run together, so all of them move to the same shard, with the first one.
        if (task.index != 0)
            return;
        tasks.clear();
        for (std::uint32_t index = 0; index < job.step(task).count(); ++index) {
            tasks.push_back(job.findTask(task.occurrence, task.step, index));
            if (!isStarved(*tasks.back(), now))
                return;
        }
    }
    // Under overload, many tasks wait and no shard has capacity.
    Utils::TimePoint& searchAllowedAt = job.searchAllowedAt(task.occurrence, task.step);
    if (now < searchAllowedAt)
        return;
    if (failedShardSearchCount_ >= maxFailedShardSearches || shardSearchCount_ >= maxShardSearches) {
        if (nextSearchingJob_.empty()) {
            nextSearchingJob_ = job.spec.id();
            nextSearchingTask_ = static_cast<std::size_t>(&task - job.tasks.data());
        }
        return;
    }
    ++shardSearchCount_;
    steps_->spend(StepKind::Transfers, 1);
    const std::string shard
        = output_.findShardWithCapacity(job.spec, task.step, now - task.waitingSince, task.returnedBy);
    const bool hasReturned
        = std::find(task.returnedBy.begin(), task.returnedBy.end(), shard) != task.returnedBy.end();
    if (job.step(task).gang() && (shard.empty() || hasReturned) && divideGang(tasks, now))
        return;
    if (shard.empty()) {
        ++failedShardSearchCount_;
        // A search for another task of the step would fail too.
        searchAllowedAt = now + (job.step(task).lasting() ? lastingSearchInterval : searchInterval);
        return;
    }
    for (Task* delegated : tasks)
        delegate(*delegated, shard);
}

void ShardScheduler::delegate(Task& task, const std::string& shard)
{
    forgetPresumedCrashes(task);
    task.phase = TaskPhase::Delegated;
    task.hostShard = shard;
    ++task.transferNumber;
    task.isDelegationStored = false;
    task.isDelegationAcknowledged = false;
    task.delegationSentAt = {};
    task.job->hasTransfers = true;
    if (task.job->state == FleetSchema::JOB_QUEUED)
        task.job->state = FleetSchema::JOB_RUNNING;
    markDirty(*task.job);
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
    FleetSchema::TaskTransfer transfer;
    *transfer.mutable_job() = task.job->spec;
    transfer.set_step(task.step);
    transfer.set_index(task.index);
    transfer.set_attempt(task.attempt);
    transfer.set_transfer(task.transferNumber);
    transfer.set_checkpoint(task.checkpoint);
    transfer.set_occurrence(task.occurrence);
    transfer.set_failures(task.failures);
    transfer.set_crashes(task.provedCrashes());
    transfer.set_unanswered_crashes(task.unansweredCrashes);
    transfer.set_waited_ms(idleMs(task, now));
    transfer.set_part_size(task.part.size);
    transfer.set_origin_shard(task.job->isHosted() ? task.job->originShard : options_.shard);
    output_.delegateTask(task.hostShard, transfer);
}

// The host shards must store the end of the job too, so their acknowledgments of delegations no longer count.
// One call a shard covers all tasks there.
void ShardScheduler::cancelAtHostShards(Job& job, Utils::TimePoint now)
{
    for (Task& task : job.tasks) {
        task.isDelegationAcknowledged = false;
        job.hasTransfers = job.hasTransfers || task.phase == TaskPhase::Delegated;
    }
    cancelUnacknowledged(job, now);
}

void ShardScheduler::cancelUnacknowledged(Job& job, Utils::TimePoint now)
{
    std::set<std::string> calledShards;
    for (Task& task : job.tasks) {
        if (!mayCallHostShard(task))
            continue;
        task.delegationSentAt = now;
        if (calledShards.insert(task.hostShard).second)
            output_.cancelDelegatedTasks(task.hostShard, job.spec);
    }
}

Job& ShardScheduler::ensureHostedJob(
    const FleetSchema::JobSpec& spec, const std::string& originShard, Utils::TimePoint now)
{
    if (Job* known = findJob(spec.id()))
        return *known;
    auto hosted = std::make_unique<Job>();
    initializeJob(spec, *hosted);
    hosted->originShard = originShard;
    hosted->hasTransfers = true;
    hosted->acceptedAt = now;
    hosted->isStarted = true;
    hosted->hasBegun = true;
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
    ensureHostedJob(spec, {}, now);
    cancel(spec.id(), ticket, nowUnixMs);
}

void ShardScheduler::acceptDelegatedTask(
    const FleetSchema::TaskTransfer& transfer, std::uint64_t ticket, Utils::TimePoint now)
{
    Job& job = ensureHostedJob(transfer.job(), transfer.origin_shard(), now);
    Task* task = job.findTask(transfer.occurrence(), transfer.step(), transfer.index());
    if (task && transfer.transfer() > task->transferNumber && !task->isOpen()) {
        task->phase = TaskPhase::Waiting;
        task->transferNumber = transfer.transfer();
        task->attempt = std::max(task->attempt, transfer.attempt());
        task->failures = std::max(task->failures, transfer.failures());
        forgetPresumedCrashes(*task);
        task->crashes = transfer.crashes();
        task->unansweredCrashes = transfer.unanswered_crashes();
        task->checkpoint = transfer.checkpoint();
        task->hostShard.clear();
        task->waitingSince = {};
        task->idleSince = now - milliseconds(transfer.waited_ms());
        task->notBefore = {};
        task->part = { transfer.part_size(), transfer.attempt() + 1, now };
        job.hasTransfers = true;
        if (job.isHosted()) {
            job.markPredecessorsDone(task->occurrence, task->step);
            if (job.isActive())
                job.endedUnixMs = 0;
        }
        markDirty(job);
        visitAgain(job, task->occurrence);
        isScheduleDue_ = true;
    }
    answerOnceStored(job, ticket);
}

// A call that is repeated because its answer was late must not cause further transactions.
void ShardScheduler::answerOnceStored(Job& job, std::uint64_t ticket)
{
    if (!job.isDirty && inflightBatch_) {
        if (BatchedJob* const stored = inflightBatch_->findJob(job)) {
            stored->acceptTickets.push_back(ticket);
            return;
        }
    }
    const bool isBeingRemoved = inflightBatch_ && inflightBatch_->removes(job);
    if (job.isCommitted && !job.isDirty && !isBeingRemoved)
        return output_.answer(ticket, { FleetSchema::PEER_OK, job.committedState, 0 });
    markDirty(job);
    job.acceptTickets.push_back(ticket);
}

// A task that ends is over in this host shard; its job goes on in the origin shard.
void ShardScheduler::resolveTask(Task& task, FleetSchema::TaskResultKind result)
{
    Job& job = *task.job;
    resolveAlone(task, result);
    if (job.step(task).gang() && result != FleetSchema::TASK_FAILED) {
        // When one member completes, the whole gang counts as complete, and a member alone cannot run.
        for (std::uint32_t index = 0; index < job.step(task).count(); ++index) {
            Task& member = *job.findTask(task.occurrence, task.step, index);
            const bool isComplete = result == FleetSchema::TASK_COMPLETED && member.isOpen();
            if (isComplete || member.phase == TaskPhase::Waiting)
                resolveAlone(member, result);
        }
    }
}

void ShardScheduler::resolveAlone(Task& task, FleetSchema::TaskResultKind result)
{
    releaseWorker(task);
    forgetPresumedCrashes(task);
    task.phase = TaskPhase::Resolved;
    task.result = result;
    task.isResultStored = false;
    task.resultSentAt = {};
    task.part = {};
    markDirty(*task.job);
}

void ShardScheduler::sendResult(Task& task, Utils::TimePoint now)
{
    task.resultSentAt = now;
    FleetSchema::TaskResult result;
    result.set_job(task.job->spec.id());
    result.set_occurrence(task.occurrence);
    result.set_step(task.step);
    result.set_index(task.index);
    result.set_transfer(task.transferNumber);
    result.set_kind(task.result);
    result.set_attempt(task.attempt);
    result.set_failures(task.failures);
    result.set_crashes(task.provedCrashes());
    result.set_unanswered_crashes(task.unansweredCrashes);
    result.set_waited_ms(idleMs(task, now));
    result.set_checkpoint(task.checkpoint);
    output_.sendTaskResult(task.job->originShard, result);
}

void ShardScheduler::onTaskResultStored(const FleetSchema::TaskResult& result, std::int64_t nowUnixMs)
{
    Job* const job = findJob(result.job());
    Task* const task = job ? job->findTask(result.occurrence(), result.step(), result.index()) : nullptr;
    if (!task || task->phase != TaskPhase::Resolved || task->transferNumber != result.transfer())
        return;
    task->phase = TaskPhase::AtOrigin;
    if (job->isActive() && job->isHandedBack())
        job->endedUnixMs = nowUnixMs;
    markDirty(*job);
}

void ShardScheduler::acceptTaskResult(
    const FleetSchema::TaskResult& result, std::uint64_t ticket, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    Job* const job = findJob(result.job());
    if (!job)
        return output_.answer(ticket, { FleetSchema::PEER_OK, FleetSchema::JOB_COMPLETED, 0 });
    Task* const task = job->findTask(result.occurrence(), result.step(), result.index());
    // A host shard may have delegated a long-running task further, which raises the transfer number.
    const bool isFurtherTransfer = result.kind() == FleetSchema::TASK_FAILED && task
        && job->step(*task).lasting() && result.transfer() > task->transferNumber;
    if (task && job->isActive() && task->phase == TaskPhase::Delegated
        && (task->transferNumber == result.transfer() || isFurtherTransfer)) {
        task->attempt = std::max(task->attempt, result.attempt());
        task->failures = std::max(task->failures, result.failures());
        task->crashes = result.crashes();
        task->unansweredCrashes = result.unanswered_crashes();
        task->checkpoint = result.checkpoint();
        job->isStarted = job->isStarted || task->attempt > 0;
        // The host shard may have recorded the last attempt without a start. A failure or a crash shows one.
        job->hasBegun = job->hasBegun || result.kind() == FleetSchema::TASK_COMPLETED || task->failures > 0
            || task->crashes > 0;
        task->part = {};
        if (result.kind() == FleetSchema::TASK_COMPLETED) {
            finishTask(*task, now, nowUnixMs);
        } else {
            task->waitingSince = {};
            task->idleSince = now - milliseconds(result.waited_ms());
            ++task->returnCount;
            std::erase(task->returnedBy, task->hostShard);
            task->returnedBy.push_back(task->hostShard);
            requeue(*task, now);
            if (result.kind() == FleetSchema::TASK_FAILED)
                failJobIfExhausted(*task, now, nowUnixMs);
        }
        isScheduleDue_ = true;
    }
    answerOnceStored(*job, ticket);
}

// Several tasks of one job may be delegated to one shard under the same transfer number, so the step and the
// index must match as well.
void ShardScheduler::onDelegationStored(const FleetSchema::TaskTransfer& transfer, const std::string& shard)
{
    Job* const job = findJob(transfer.job().id());
    Task* const task
        = job ? job->findTask(transfer.occurrence(), transfer.step(), transfer.index()) : nullptr;
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
