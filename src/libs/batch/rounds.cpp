// Scheduling rounds of a shard: what starts where, what gives way, what the workers are told.

#include "shardownerprivate.h"
#include "workercore.h"

#include <algorithm>

namespace Batch {

namespace {

constexpr unsigned sequenceBitsPerEpoch = 32;
constexpr std::size_t maxCandidates = 4096;
constexpr int renewalsPerLease = 4;
constexpr int timeoutsPerLease = 2;

} // namespace

void ShardOwner::Private::scheduleRound(Utils::TimePoint now)
{
    drainLeaving();
    const std::vector<WorkerRoom> before = rooms(now);
    if (before.empty())
        return;
    startStocked(before, now);
    if (!tableHealthy(now)) {
        freeUnsentHolds();
        return;
    }
    std::vector<WorkerRoom> free = rooms(now);
    const std::vector<RunningTask> tasks = running(free);
    relieve(free, tasks, now);
    placePending(free, tasks, now);
    fillStock(free, now);
}

std::vector<WorkerRoom> ShardOwner::Private::rooms(Utils::TimePoint now)
{
    std::vector<WorkerRoom> free;
    for (const auto& [name, worker] : workers_) {
        const Schema::VmEntry& vm = worker.link.vm();
        if (!worker.listed || vm.leaving()
            || !worker.link.recentlyHeard(now, options_.lease / timeoutsPerLease))
            continue;
        WorkerRoom room { name, vm.region(), vm.domain(), vm.rack(), {}, commitments_.free(name) };
        room.capacity.set_processors(vm.processors());
        room.capacity.set_memory_mb(vm.memory_mb());
        room.capacity.set_accelerators(vm.accelerators());
        free.push_back(std::move(room));
    }
    return free;
}

std::vector<RunningTask> ShardOwner::Private::running(std::span<const WorkerRoom> rooms)
{
    std::vector<RunningTask> tasks;
    for (const WorkerRoom& room : rooms) {
        for (const Task* task : book_.openAt(room.worker)) {
            if (task->holdsCapacity)
                tasks.push_back(runningTask(*task));
        }
    }
    return tasks;
}

void ShardOwner::Private::startStocked(std::span<const WorkerRoom> rooms, Utils::TimePoint now)
{
    const bool healthy = tableHealthy(now);
    for (const WorkerRoom& room : rooms) {
        for (Task* task : book_.openAt(TaskPhase::Stocked, room.worker)) {
            // Room that a more urgent task waits for is given out by placePending().
            if (healthy && book_.pendingGoesBefore(*task, now))
                continue;
            if (task->job->record.cancelled()
                || !commitments_.hold(room.worker, task->job->record.spec().size()))
                continue;
            task->holdsCapacity = true;
            book_.setPhase(*task, TaskPhase::Starting);
        }
    }
}

void ShardOwner::Private::freeUnsentHolds()
{
    // What waits for the table must not keep recorded attempts from starting.
    for (const auto& [name, worker] : workers_) {
        for (Task* task : book_.openAt(TaskPhase::Recording, name)) {
            if (!task->holdsCapacity)
                continue;
            commitments_.release(name, task->job->record.spec().size());
            task->holdsCapacity = false;
        }
    }
}

void ShardOwner::Private::record(Task& task, const std::string& worker, bool holds)
{
    book_.assign(task, worker, workers_.find(worker)->second.link.incarnation());
    task.holdsCapacity = holds;
    journal_.put(task.record);
}

void ShardOwner::Private::placePending(
    std::span<const WorkerRoom> rooms, std::span<const RunningTask> running, Utils::TimePoint now)
{
    std::vector<Task*> candidates = book_.pending(maxCandidates, now);
    // Attempts recorded ahead for a full worker may move to one with room; they were never sent.
    for (const WorkerRoom& room : rooms) {
        for (Task* task : book_.openAt(TaskPhase::Stocked, room.worker)) {
            if (candidates.size() < maxCandidates)
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
    for (const Choice& choice : placer_.place(tasks, rooms, running, now)) {
        if (choice.task >= candidates.size() || choice.worker >= rooms.size())
            continue;
        Task& task = *candidates[choice.task];
        const bool undecided = task.phase == TaskPhase::Pending || task.phase == TaskPhase::Stocked;
        const std::string& worker = rooms[choice.worker].worker;
        if (undecided && commitments_.hold(worker, task.job->record.spec().size()))
            record(task, worker, true);
    }
}

void ShardOwner::Private::fillStock(std::span<const WorkerRoom> rooms, Utils::TimePoint now)
{
    const std::size_t stocked = book_.count(TaskPhase::Stocked) + book_.count(TaskPhase::Recording);
    if (stocked >= options_.stock)
        return;
    std::size_t next = 0;
    for (Task* task : book_.pending(options_.stock - stocked, now)) {
        if (task->job->isService())
            continue;
        for (std::size_t tried = 0; tried < rooms.size(); ++tried) {
            const WorkerRoom& room = rooms[next++ % rooms.size()];
            if (!commitments_.fitsEmpty(room.worker, task->job->record.spec().size()))
                continue;
            record(*task, room.worker, false);
            break;
        }
    }
}

void ShardOwner::Private::relieve(
    std::span<const WorkerRoom> rooms, std::span<const RunningTask> running, Utils::TimePoint now)
{
    for (const ReliefOrder& order : placer_.relieve(running, rooms, now)) {
        Task* task = book_.task({ order.attempt.job(), order.attempt.task() });
        const bool runs = task != nullptr && task->phase == TaskPhase::Running;
        if (!runs || task->record.attempt() != order.attempt.attempt())
            continue;
        if (order.relief == Relief::Checkpoint) {
            evict(order.attempt);
        } else if (order.relief == Relief::Stop) {
            task->stopAsked = true;
        } else {
            task->throttleAsked = true;
            task->share = order.share;
        }
        askCommands(*task);
    }
}

void ShardOwner::Private::drainLeaving()
{
    for (auto& [name, worker] : workers_) {
        if (!worker.link.vm().leaving())
            continue;
        for (Task* task : book_.openAt(TaskPhase::Running, name)) {
            if (!task->job->record.spec().checkpointable())
                continue;
            task->checkpointAsked = true;
            worker.commandsDue = true;
        }
    }
}

// Grows over all ownerships of the shard by this process, so that a late answer fits no later batch.
std::uint64_t ShardOwner::Private::nextSequence()
{
    lastSequence_ = std::max(lastSequence_ + 1, row_.epoch() << sequenceBitsPerEpoch);
    return lastSequence_;
}

void ShardOwner::Private::sendBatches(Utils::TimePoint now, Actions& actions)
{
    for (auto& [name, worker] : workers_) {
        if (!worker.link.idle(now, options_.lease / timeoutsPerLease))
            continue;
        const Utils::Duration age = now - worker.link.lastSentAt();
        if (age < options_.round)
            continue;
        const bool leaving = releaseFrom_ && worker.link.lastSentAt() < *releaseFrom_;
        const bool renewalDue = age >= options_.lease / renewalsPerLease || !worker.link.heard() || leaving;
        const bool answersDue = !worker.acknowledgements.empty() || !worker.strayStops.empty();
        const bool commandsDue = worker.commandsDue || answersDue;
        if (!renewalDue && !commandsDue && book_.openAt(TaskPhase::Starting, name).empty())
            continue;
        worker.commandsDue = false;
        Schema::CommandBatch batch = makeBatch(name, worker);
        worker.link.stamp(batch, nextSequence(), options_.lease, now);
        for (const Schema::StartCommand& start : batch.starts()) {
            Task* task = book_.task({ start.attempt().job(), start.attempt().task() });
            counts_.attemptsSent += task->sentSequence == 0 ? 1 : 0;
            task->sentSequence = task->sentSequence == 0 ? batch.sequence() : task->sentSequence;
            task->startedAt = now;
        }
        worker.acknowledgements.clear();
        worker.strayStops.clear();
        actions.sends.push_back({ name, std::move(batch) });
    }
}

void ShardOwner::Private::askCommands(const Task& task)
{
    const auto found = workers_.find(task.record.worker());
    if (found != workers_.end())
        found->second.commandsDue = true;
}

Schema::CommandBatch ShardOwner::Private::makeBatch(const std::string& name, Worker& worker)
{
    Schema::CommandBatch batch;
    batch.set_shard(options_.shard);
    batch.set_owner(options_.owner);
    batch.set_epoch(row_.epoch());
    if (!worker.link.heard())
        return batch;
    batch.mutable_acknowledged()->Assign(worker.acknowledgements.begin(), worker.acknowledgements.end());
    batch.mutable_stops()->Assign(worker.strayStops.begin(), worker.strayStops.end());
    for (Task* task : book_.openAt(name))
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
    if (task.stopAsked || task.job->record.cancelled())
        *batch.add_stops() = ref();
    else if (task.checkpointAsked)
        *batch.add_checkpoints() = ref();
    if (!task.throttleAsked)
        return;
    Schema::ThrottleCommand* throttle = batch.add_throttles();
    *throttle->mutable_attempt() = ref();
    throttle->set_share(task.share);
    task.throttleAsked = task.share < 1;
}

} // namespace Batch
