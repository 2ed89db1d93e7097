#include "emulatedplatform.h"

#include <algorithm>
#include <limits>

namespace Emulate {

namespace {

// Time after which the started members of a gang end if the others have not started or have ended.
constexpr std::int64_t gangTimeoutMs = 1500;
constexpr std::int64_t fullMilliProcessors = 16'000;
constexpr std::int64_t fullMemoryMb = 64'000;
// Longest time until the list shows a changed capacity.
constexpr std::int64_t maxListDelayMs = 1500;
// Time after which the entry of a worker that has crashed for good is removed.
constexpr std::int64_t minEntryRemovalMs = 3000;
constexpr std::int64_t maxEntryRemovalMs = 4500;
constexpr std::int64_t maxDownAfterDeadlyTaskMs = 4000;
constexpr int newIdentifierPercent = 40;
// One of so many workers has a slow clock.
constexpr std::size_t slowClockInterval = 3;

Ports::TaskKey gangOf(Ports::TaskKey task)
{
    task.index = 0;
    return task;
}

} // namespace

EmulatedPlatform::EmulatedPlatform(
    VirtualTime& time, std::size_t shardCount, std::size_t workersPerShard, bool honorsEpochs)
    : time_(time)
    , shardCount_(shardCount)
    , honorsEpochs_(honorsEpochs)
{
    for (std::size_t shard = 0; shard < shardCount; ++shard) {
        for (std::size_t number = 0; number < workersPerShard; ++number)
            addWorker(shard);
    }
}

void EmulatedPlatform::addWorker(std::size_t shard)
{
    Ports::WorkerInfo info;
    info.id = "w" + std::to_string(nextNumber_++);
    info.address = info.id;
    info.service = "service";
    info.rack = "rack" + std::to_string(shard);
    info.labels = { info.rack };
    info.milliProcessors = fullMilliProcessors;
    info.memoryMb = fullMemoryMb;
    info.startedUnixMs = time_.nowMs() + 1;
    workers_[info.id]
        = std::make_unique<FleetWorker>(FleetWorker { SimulatedWorker(info, honorsEpochs_), shard });
    workers_[info.id]->isEvacuated = evacuatedShards_.contains(shard);
    workers_[info.id]->simulated.hasSlowClock = nextNumber_ % slowClockInterval == 0;
    if (stopDurationLimitMs_ > 0)
        workers_[info.id]->simulated.stopDurationMs = time_.random(stopDurationLimitMs_);
}

FleetWorker* EmulatedPlatform::findWorker(const std::string& id)
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : found->second.get();
}

std::vector<FleetWorker*> EmulatedPlatform::stableWorkers(std::size_t shard)
{
    std::vector<FleetWorker*> stable;
    for (const auto& [id, worker] : workers_) {
        if (worker->shard == shard && worker->drainMs < 0)
            stable.push_back(worker.get());
    }
    return stable;
}

FleetWorker* EmulatedPlatform::anyStableWorker(std::size_t number)
{
    std::vector<FleetWorker*> stable;
    for (std::size_t shard = 0; shard < shardCount_; ++shard) {
        const std::vector<FleetWorker*> ofShard = stableWorkers(shard);
        stable.insert(stable.end(), ofShard.begin(), ofShard.end());
    }
    return stable.empty() ? nullptr : stable[number % stable.size()];
}

// The list shows most drains at once, some late and some not before the worker has left.
void EmulatedPlatform::drain(FleetWorker& worker)
{
    const std::int64_t nowMs = time_.nowMs();
    worker.drainMs = nowMs;
    const std::int64_t kind = time_.random(10);
    worker.drainListedMs = nowMs + (kind < 6 ? 10 : kind < 8 ? 700 : 3000 + time_.random(9000));
    worker.leaveMs = nowMs + 2000 + time_.random(6000);
    worker.unlistedFromMs = worker.leaveMs + (time_.happens(50) ? time_.random(200) : time_.random(3000));
    worker.unlistedUntilMs = -1;
}

void EmulatedPlatform::setFaultActive(const FleetFault& fault, bool isActive)
{
    if (fault.kind == FleetFaultKind::Replacement || fault.kind == FleetFaultKind::ShardLoss)
        return replaceWorkers(fault, isActive);
    if (fault.kind == FleetFaultKind::WorkersCutOff)
        return isActive ? cutOffWorkers(fault) : void();
    if (fault.kind == FleetFaultKind::WorkersLost)
        return isActive ? loseWorkers(fault) : void();
    if (fault.kind == FleetFaultKind::WorkersRestart)
        return isActive ? restartWorkers(fault) : void();
    if (fault.kind == FleetFaultKind::WorkersFailing)
        return isActive ? failWorkers(fault) : void();
    if (fault.kind == FleetFaultKind::Departure)
        return isActive ? drainWorkers(fault) : void();
    if (fault.kind == FleetFaultKind::WorkerCrashes || fault.kind == FleetFaultKind::CapacityShrink) {
        if (!isActive)
            return;
        return fault.kind == FleetFaultKind::WorkerCrashes ? crashWorkers(fault) : shrinkCapacities(fault);
    }
    if (isActive) {
        if (const FleetWorker* worker = anyStableWorker(fault.target))
            faultTargets_[&fault] = worker->simulated.info().id;
    }
    const auto target = faultTargets_.find(&fault);
    if (target == faultTargets_.end())
        return;
    FleetWorker& worker = *findWorker(target->second);
    const bool hasLeft = worker.leaveMs >= 0 && worker.leaveMs <= time_.nowMs();
    if (!hasLeft)
        setWorkerFaultActive(worker, fault.kind, isActive);
}

// Drains the workers at the start of the fault, and adds others: at the same time, or after the loss of a
// shard.
void EmulatedPlatform::replaceWorkers(const FleetFault& fault, bool isActive)
{
    const std::size_t shard = fault.target % shardCount_;
    const bool isLoss = fault.kind == FleetFaultKind::ShardLoss;
    std::vector<FleetWorker*> stable = stableWorkers(shard);
    const std::size_t count = isLoss ? stable.size() : std::min(fault.count, stable.size());
    if (isActive) {
        for (std::size_t number = 0; number < count; ++number)
            drain(*stable[number]);
    }
    if (isActive == isLoss)
        return;
    for (std::size_t number = 0; number < fault.count; ++number) {
        const std::size_t target
            = isLoss || time_.happens(60) ? shard : static_cast<std::size_t>(time_.random(3));
        time_.schedule(time_.random(3000), [this, target] { addWorker(target % shardCount_); });
    }
}

void EmulatedPlatform::setWorkerFaultActive(FleetWorker& worker, FleetFaultKind kind, bool isActive)
{
    switch (kind) {
    case FleetFaultKind::EntryLapse:
        if (worker.leaveMs < 0) {
            worker.unlistedFromMs = isActive ? time_.nowMs() : -1;
            worker.unlistedUntilMs = -1;
        }
        return;
    case FleetFaultKind::WorkerCrash:
        if (isActive)
            return worker.simulated.crash();
        worker.simulated.isUp = true;
        worker.simulated.restart(time_.nowMs());
        return;
    case FleetFaultKind::WorkerUnreachable:
        worker.simulated.isReachable = !isActive;
        return;
    case FleetFaultKind::WorkerFailing:
        worker.simulated.failsAllTasks = isActive;
        return;
    default:
        return;
    }
}

void EmulatedPlatform::setStopDurationLimit(std::int64_t limitMs)
{
    stopDurationLimitMs_ = limitMs;
    for (const auto& [id, worker] : workers_)
        worker->simulated.stopDurationMs = time_.random(limitMs);
}

bool EmulatedPlatform::hasCrashedWorkers() const
{
    return std::any_of(
        workers_.begin(), workers_.end(), [](const auto& entry) { return entry.second->hasCrashed; });
}

// Starts the worker again, or another one in its place. A worker that drains stays down.
void EmulatedPlatform::onCrashed(FleetWorker& worker, std::int64_t maxDownMs)
{
    const std::int64_t downMs = 300 + time_.random(maxDownMs);
    if (worker.drainMs >= 0)
        return;
    worker.hasCrashed = true;
    const bool hasNewIdentifier = time_.happens(newIdentifierPercent);
    if (hasNewIdentifier) {
        worker.drainMs = time_.nowMs();
        worker.drainListedMs = std::numeric_limits<std::int64_t>::max();
        worker.leaveMs = time_.nowMs();
        worker.unlistedFromMs
            = time_.nowMs() + minEntryRemovalMs + time_.random(maxEntryRemovalMs - minEntryRemovalMs);
        worker.unlistedUntilMs = -1;
    }
    time_.schedule(downMs, [this, &worker, hasNewIdentifier] {
        worker.hasCrashed = false;
        if (hasNewIdentifier)
            return addWorker(worker.shard);
        if (worker.simulated.isUp || worker.drainMs >= 0)
            return;
        worker.simulated.restart(time_.nowMs());
        worker.simulated.isUp = true;
    });
}

void EmulatedPlatform::crashWorkers(const FleetFault& fault)
{
    const std::vector<FleetWorker*> stable = stableWorkers(fault.target % shardCount_);
    for (std::size_t number = 0; number < std::min(fault.count, stable.size()); ++number) {
        FleetWorker& worker = *stable[(fault.target + number) % stable.size()];
        if (!worker.simulated.isUp)
            continue;
        worker.simulated.crash();
        onCrashed(worker, fault.durationMs);
    }
}

void EmulatedPlatform::shrinkCapacities(const FleetFault& fault)
{
    const std::vector<FleetWorker*> stable = stableWorkers(fault.target % shardCount_);
    for (std::size_t number = 0; number < std::min(fault.count, stable.size()); ++number) {
        SimulatedWorker& worker = stable[(fault.target + number) % stable.size()]->simulated;
        worker.setCapacity(fullMilliProcessors * fault.capacityPercent / 100,
            fullMemoryMb * fault.capacityPercent / 100, time_.random(maxListDelayMs), time_.nowMs());
        time_.schedule(fault.durationMs + time_.random(maxListDelayMs), [this, &worker] {
            worker.setCapacity(
                fullMilliProcessors, fullMemoryMb, time_.random(maxListDelayMs), time_.nowMs());
        });
    }
}

// Cuts workers off from the nodes and from the list. They run on, and are listed again after the cut.
void EmulatedPlatform::cutOffWorkers(const FleetFault& fault)
{
    const std::vector<FleetWorker*> stable = stableWorkers(fault.target % shardCount_);
    for (std::size_t number = 0; number < std::min(fault.count, stable.size()); ++number) {
        cutOff(*stable[(fault.target + number) % stable.size()], fault.durationMs, fault.losesAnswersOnly);
    }
}

void EmulatedPlatform::cutOff(FleetWorker& worker, std::int64_t durationMs, bool losesAnswersOnly)
{
    if (worker.isCutOff || worker.unlistedFromMs >= 0)
        return;
    worker.isCutOff = true;
    worker.losesAnswersOnly = losesAnswersOnly;
    worker.unlistedFromMs
        = time_.nowMs() + minEntryRemovalMs + time_.random(maxEntryRemovalMs - minEntryRemovalMs);
    worker.unlistedUntilMs = time_.nowMs() + durationMs + time_.random(maxListDelayMs);
    time_.schedule(durationMs, [&worker] { worker.isCutOff = false; });
    time_.schedule(durationMs + maxListDelayMs, [&worker] {
        if (worker.drainMs < 0)
            worker.unlistedFromMs = -1;
    });
}

// The workers lose power. Calls to them are not refused, and their entries expire some seconds later.
void EmulatedPlatform::loseWorkers(const FleetFault& fault)
{
    const std::vector<FleetWorker*> stable = stableWorkers(fault.target % shardCount_);
    for (std::size_t number = 0; number < std::min(fault.count, stable.size()); ++number) {
        FleetWorker& worker = *stable[(fault.target + number) % stable.size()];
        if (!worker.simulated.isUp)
            continue;
        worker.simulated.crash();
        worker.isSilent = true;
        worker.drainMs = time_.nowMs();
        worker.drainListedMs = std::numeric_limits<std::int64_t>::max();
        worker.leaveMs = time_.nowMs();
        worker.unlistedFromMs
            = time_.nowMs() + minEntryRemovalMs + time_.random(maxEntryRemovalMs - minEntryRemovalMs);
        worker.unlistedUntilMs = -1;
    }
}

// The workers are back after too short a time for their entries to be removed.
void EmulatedPlatform::restartWorkers(const FleetFault& fault)
{
    const std::vector<FleetWorker*> stable = stableWorkers(fault.target % shardCount_);
    for (std::size_t number = 0; number < std::min(fault.count, stable.size()); ++number) {
        FleetWorker& worker = *stable[(fault.target + number) % stable.size()];
        if (!worker.simulated.isUp || worker.isCutOff)
            continue;
        worker.simulated.crash();
        worker.hasCrashed = true;
        time_.schedule(fault.downMs, [this, &worker] {
            worker.hasCrashed = false;
            if (worker.simulated.isUp || worker.drainMs >= 0)
                return;
            worker.simulated.restart(time_.nowMs());
            worker.simulated.isUp = true;
        });
        const std::int64_t cutMs = fault.downMs + fault.cutDelayMs;
        time_.schedule(cutMs, [this, &worker, fault, cutMs] {
            if (worker.simulated.isUp)
                cutOff(worker, fault.durationMs - cutMs, fault.losesAnswersOnly);
        });
    }
}

void EmulatedPlatform::failWorkers(const FleetFault& fault)
{
    for (std::size_t shard = 0; shard < shardCount_; ++shard) {
        for (FleetWorker* worker : stableWorkers(shard)) {
            if (!time_.happens(fault.workerPercent))
                continue;
            worker->failsUntilMs = std::max(worker->failsUntilMs, time_.nowMs() + fault.durationMs);
            worker->failurePercent = fault.failurePercent;
        }
    }
}

void EmulatedPlatform::drainWorkers(const FleetFault& fault)
{
    for (std::size_t shard = 0; shard < shardCount_; ++shard) {
        for (FleetWorker* worker : stableWorkers(shard)) {
            if (time_.happens(fault.workerPercent))
                drain(*worker);
        }
    }
}

void EmulatedPlatform::setEvacuated(std::size_t shard, bool isEvacuated)
{
    if (evacuatedShards_.contains(shard) == isEvacuated)
        return;
    if (isEvacuated)
        evacuatedShards_.insert(shard);
    else
        evacuatedShards_.erase(shard);
    for (const auto& [id, worker] : workers_) {
        if (worker->shard == shard)
            worker->isEvacuated = isEvacuated;
    }
}

void EmulatedPlatform::advance()
{
    const std::int64_t nowMs = time_.nowMs();
    for (const auto& [id, worker] : workers_) {
        if (worker->leaveMs >= 0 && worker->leaveMs <= nowMs && worker->simulated.isUp) {
            worker->simulated.restart(nowMs);
            worker->simulated.isUp = false;
            worker->isSilent = hasSilentDepartures_;
        }
        if (worker->answers())
            worker->unansweredSinceMs = -1;
        else if (worker->unansweredSinceMs < 0)
            worker->unansweredSinceMs = nowMs;
        const bool wasUp = worker->simulated.isUp;
        if (wasUp)
            worker->simulated.advance(nowMs);
        if (wasUp && !worker->simulated.isUp)
            onCrashed(*worker, maxDownAfterDeadlyTaskMs);
    }
    breakGangs();
}

// Ends the other members of a gang when one has ended, and members that are not joined by the others.
void EmulatedPlatform::breakGangs()
{
    using Gang = std::pair<Ports::TaskKey, std::uint32_t>;
    std::map<Gang, Ports::AttemptOutcome> ended;
    std::map<Gang, std::vector<std::pair<FleetWorker*, Ports::TaskKey>>> running;
    std::map<Gang, std::uint32_t> sizes;
    for (const auto& [id, worker] : workers_) {
        for (const Ports::EndedAttempt& end : worker->simulated.newlyEnded)
            ended[{ gangOf(end.task), end.attempt }] = end.outcome;
        if (!worker->simulated.isUp)
            continue;
        for (const auto& [task, attempt] : worker->simulated.running()) {
            if (attempt.behavior.gangSize == 0)
                continue;
            running[{ gangOf(task), attempt.number }].emplace_back(worker.get(), task);
            sizes[{ gangOf(task), attempt.number }] = attempt.behavior.gangSize;
        }
    }
    for (const auto& [gang, members] : running) {
        const auto end = ended.find(gang);
        if (end == ended.end() && members.size() == sizes[gang]) {
            incompleteGangs_.erase(gang);
            continue;
        }
        const std::int64_t since = incompleteGangs_.try_emplace(gang, time_.nowMs()).first->second;
        if (end == ended.end() && time_.nowMs() - since < gangTimeoutMs)
            continue;
        const bool isDone = end != ended.end() && end->second == Ports::AttemptOutcome::Done;
        for (const auto& [worker, task] : members)
            worker->simulated.endAttempt(
                task, isDone ? Ports::AttemptOutcome::Done : Ports::AttemptOutcome::GangBroken);
        incompleteGangs_.erase(gang);
    }
}

std::vector<Ports::WorkerInfo> EmulatedPlatform::listWorkers(std::size_t shard) const
{
    std::vector<Ports::WorkerInfo> listed;
    const std::int64_t nowMs = time_.nowMs();
    for (const auto& [id, worker] : workers_) {
        if (worker->shard != shard || !worker->isListed(nowMs))
            continue;
        Ports::WorkerInfo info = worker->simulated.entry(nowMs);
        info.isDraining = worker->drainMs >= 0 && nowMs >= worker->drainListedMs;
        info.drainRemainingMs = info.isDraining ? std::max<std::int64_t>(0, worker->leaveMs - nowMs) : 0;
        listed.push_back(std::move(info));
    }
    return listed;
}

} // namespace Emulate
