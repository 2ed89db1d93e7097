// Scheduling rounds of a shard: placement, preemption and the command batches for workers.

#include "shardownerprivate.h"
#include "workercore.h"

#include <algorithm>

namespace Batch {

namespace {

constexpr unsigned sequenceBitsPerEpoch = 32;
constexpr std::size_t maxPlacementCandidates = 4096;
constexpr int renewalsPerLease = 4;
constexpr int timeoutsPerLease = 2;

} // namespace

void ShardOwner::Private::scheduleRound(Utils::TimePoint now)
{
    drainLeavingWorkers();
    const std::vector<AvailableWorker> workers = availableWorkers(now);
    if (workers.empty())
        return;
    startRecorded(workers, now);
    if (!isTableResponsive(now)) {
        releaseUnrecordedReservations();
        return;
    }
    std::vector<AvailableWorker> available = availableWorkers(now);
    const std::vector<RunningTask> tasks = runningTasks(available);
    preempt(available, tasks, now);
    placePendingTasks(available, tasks, now);
    recordAhead(available, now);
}

std::vector<AvailableWorker> ShardOwner::Private::availableWorkers(Utils::TimePoint now)
{
    std::vector<AvailableWorker> available;
    for (const auto& [name, worker] : workers_) {
        const Schema::VmEntry& vm = worker.link.vm();
        if (!worker.listed || vm.leaving()
            || !worker.link.isResponsive(now, options_.lease / timeoutsPerLease))
            continue;
        AvailableWorker entry { name, vm.region(), vm.domain(), vm.rack(), {},
            reservations_.freeCapacity(name) };
        entry.capacity.set_processors(vm.processors());
        entry.capacity.set_memory_mb(vm.memory_mb());
        entry.capacity.set_accelerators(vm.accelerators());
        available.push_back(std::move(entry));
    }
    return available;
}

std::vector<RunningTask> ShardOwner::Private::runningTasks(std::span<const AvailableWorker> workers)
{
    std::vector<RunningTask> tasks;
    for (const AvailableWorker& worker : workers) {
        for (const Task* task : registry_.openTasksAt(worker.name)) {
            if (task->holdsCapacity)
                tasks.push_back(runningTask(*task));
        }
    }
    return tasks;
}

void ShardOwner::Private::startRecorded(std::span<const AvailableWorker> workers, Utils::TimePoint now)
{
    const bool healthy = isTableResponsive(now);
    for (const AvailableWorker& worker : workers) {
        for (Task* task : registry_.openTasksAt(TaskPhase::Recorded, worker.name)) {
            // A more urgent task is pending, so placePendingTasks() decides which task gets the capacity.
            if (healthy && registry_.hasMoreUrgentPending(*task, now))
                continue;
            if (task->job->record.cancelled()
                || !reservations_.tryReserve(worker.name, task->job->record.spec().size()))
                continue;
            task->holdsCapacity = true;
            registry_.setPhase(*task, TaskPhase::Starting);
        }
    }
}

void ShardOwner::Private::releaseUnrecordedReservations()
{
    // Attempts that wait for the table must not block recorded attempts from starting.
    for (const auto& [name, worker] : workers_) {
        for (Task* task : registry_.openTasksAt(TaskPhase::Recording, name)) {
            if (!task->holdsCapacity)
                continue;
            reservations_.release(name, task->job->record.spec().size());
            task->holdsCapacity = false;
        }
    }
}

void ShardOwner::Private::recordAttempt(Task& task, const std::string& worker, bool holdsCapacity)
{
    registry_.assign(task, worker, workers_.find(worker)->second.link.incarnation());
    task.holdsCapacity = holdsCapacity;
    journal_.put(task.record);
}

void ShardOwner::Private::placePendingTasks(
    std::span<const AvailableWorker> workers, std::span<const RunningTask> running, Utils::TimePoint now)
{
    std::vector<Task*> candidates = registry_.pendingTasks(maxPlacementCandidates, now);
    // Attempts recorded ahead for a full worker may move to another worker, as they were never sent.
    for (const AvailableWorker& worker : workers) {
        for (Task* task : registry_.openTasksAt(TaskPhase::Recorded, worker.name)) {
            if (candidates.size() < maxPlacementCandidates)
                candidates.push_back(task);
        }
    }
    std::vector<PendingTask> tasks;
    for (const Task* task : candidates) {
        PendingTask pending;
        pending.attempt = attemptRef({ task->record.job(), task->record.task(), task->record.attempt() + 1 });
        pending.spec = &task->job->record.spec();
        pending.waitingSince = task->waitingSince;
        pending.deadline = task->job->deadline;
        tasks.push_back(std::move(pending));
    }
    if (tasks.empty())
        return;
    for (const PlacementDecision& decision : placer_.place(tasks, workers, running, now)) {
        if (decision.task >= candidates.size() || decision.worker >= workers.size())
            continue;
        Task& task = *candidates[decision.task];
        const bool mayBePlaced = task.phase == TaskPhase::Pending || task.phase == TaskPhase::Recorded;
        const std::string& worker = workers[decision.worker].name;
        if (mayBePlaced && reservations_.tryReserve(worker, task.job->record.spec().size()))
            recordAttempt(task, worker, true);
    }
}

void ShardOwner::Private::recordAhead(std::span<const AvailableWorker> workers, Utils::TimePoint now)
{
    const std::size_t recordedCount
        = registry_.count(TaskPhase::Recorded) + registry_.count(TaskPhase::Recording);
    if (recordedCount >= options_.maxRecordedAhead)
        return;
    std::size_t next = 0;
    for (Task* task : registry_.pendingTasks(options_.maxRecordedAhead - recordedCount, now)) {
        if (task->job->isService())
            continue;
        for (std::size_t tried = 0; tried < workers.size(); ++tried) {
            const AvailableWorker& worker = workers[next++ % workers.size()];
            if (!reservations_.fitsEmptyWorker(worker.name, task->job->record.spec().size()))
                continue;
            recordAttempt(*task, worker.name, false);
            break;
        }
    }
}

void ShardOwner::Private::preempt(
    std::span<const AvailableWorker> workers, std::span<const RunningTask> running, Utils::TimePoint now)
{
    for (const PreemptionDecision& decision : placer_.preempt(running, workers, now)) {
        Task* task = registry_.task({ decision.attempt.job(), decision.attempt.task() });
        const bool isRunning = task != nullptr && task->phase == TaskPhase::Running;
        if (!isRunning || task->record.attempt() != decision.attempt.attempt())
            continue;
        if (decision.action == PreemptionAction::Checkpoint) {
            evict(decision.attempt);
        } else if (decision.action == PreemptionAction::Stop) {
            task->stopRequested = true;
        } else {
            task->throttleRequested = true;
            task->processorShare = decision.share;
        }
        requestCommands(*task);
    }
}

void ShardOwner::Private::drainLeavingWorkers()
{
    for (auto& [name, worker] : workers_) {
        if (!worker.link.vm().leaving())
            continue;
        for (Task* task : registry_.openTasksAt(TaskPhase::Running, name)) {
            if (!task->job->record.spec().checkpointable())
                continue;
            task->checkpointRequested = true;
            worker.commandsDue = true;
        }
    }
}

// The number increases across all ownerships of the shard by this process, so a late answer never matches a
// later batch.
std::uint64_t ShardOwner::Private::nextSequence()
{
    lastSequence_ = std::max(lastSequence_ + 1, row_.epoch() << sequenceBitsPerEpoch);
    return lastSequence_;
}

void ShardOwner::Private::sendCommandBatches(Utils::TimePoint now, Actions& actions)
{
    for (auto& [name, worker] : workers_) {
        if (!worker.link.canSend(now, options_.lease / timeoutsPerLease))
            continue;
        const Utils::Duration age = now - worker.link.lastSentAt();
        if (age < options_.roundInterval)
            continue;
        const bool finalRenewalDue = releaseStartedAt_ && worker.link.lastSentAt() < *releaseStartedAt_;
        const bool renewalDue
            = age >= options_.lease / renewalsPerLease || !worker.link.hasReported() || finalRenewalDue;
        const bool acknowledgementsDue
            = !worker.acknowledgements.empty() || !worker.staleAttemptsToStop.empty();
        const bool commandsDue = worker.commandsDue || acknowledgementsDue;
        if (!renewalDue && !commandsDue && registry_.openTasksAt(TaskPhase::Starting, name).empty())
            continue;
        worker.commandsDue = false;
        Schema::CommandBatch batch = makeCommandBatch(name, worker);
        worker.link.stamp(batch, nextSequence(), options_.lease, now);
        for (const Schema::StartCommand& start : batch.starts()) {
            Task* task = registry_.task({ start.attempt().job(), start.attempt().task() });
            statistics_.attemptsSent += task->firstSentSequence == 0 ? 1 : 0;
            task->firstSentSequence
                = task->firstSentSequence == 0 ? batch.sequence() : task->firstSentSequence;
            task->startedAt = now;
        }
        worker.acknowledgements.clear();
        worker.staleAttemptsToStop.clear();
        actions.sends.push_back({ name, std::move(batch) });
    }
}

void ShardOwner::Private::requestCommands(const Task& task)
{
    const auto found = workers_.find(task.record.worker());
    if (found != workers_.end())
        found->second.commandsDue = true;
}

Schema::CommandBatch ShardOwner::Private::makeCommandBatch(const std::string& name, Worker& worker)
{
    Schema::CommandBatch batch;
    batch.set_shard(options_.shard);
    batch.set_owner(options_.owner);
    batch.set_epoch(row_.epoch());
    if (!worker.link.hasReported())
        return batch;
    batch.mutable_acknowledged()->Assign(worker.acknowledgements.begin(), worker.acknowledgements.end());
    batch.mutable_stops()->Assign(worker.staleAttemptsToStop.begin(), worker.staleAttemptsToStop.end());
    for (Task* task : registry_.openTasksAt(name))
        addTaskCommands(*task, batch);
    return batch;
}

void ShardOwner::Private::addTaskCommands(Task& task, Schema::CommandBatch& batch)
{
    const auto ref = [&task] {
        return attemptRef({ task.record.job(), task.record.task(), task.record.attempt() });
    };
    if (task.phase == TaskPhase::Starting) {
        Schema::StartCommand* start = batch.add_starts();
        *start->mutable_attempt() = ref();
        *start->mutable_size() = task.job->record.spec().size();
        start->set_task_class(task.job->record.spec().task_class());
        start->set_run_ms(task.job->record.spec().run_ms());
        start->set_checkpoint(task.record.checkpoint());
        return;
    }
    if (task.phase != TaskPhase::Running)
        return;
    if (task.stopRequested || task.job->record.cancelled())
        *batch.add_stops() = ref();
    else if (task.checkpointRequested)
        *batch.add_checkpoints() = ref();
    if (!task.throttleRequested)
        return;
    Schema::ThrottleCommand* throttle = batch.add_throttles();
    *throttle->mutable_attempt() = ref();
    throttle->set_share(task.processorShare);
    task.throttleRequested = task.processorShare < 1;
}

} // namespace Batch
