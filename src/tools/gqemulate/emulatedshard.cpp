#include "emulatedshard.h"

#include "deadlytask.h"

#include "fleet/fencingtokens.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace Emulate {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t tickMs = 10;
constexpr std::int64_t commitLatencyMs = 12;
constexpr std::int64_t pollIntervalMs = 250;
constexpr std::int64_t pollRetryDelayMs = 300;
constexpr std::int64_t commandTimeoutMs = 700;
constexpr std::int64_t housekeepingIntervalMs = 100;
constexpr std::int64_t fullMilliProcessors = 16'000;
constexpr std::int64_t fullMemoryMb = 64'000;
// Longest time until the list shows a changed capacity, and interval in which it is read.
constexpr std::int64_t maxListDelayMs = 1500;
constexpr std::int64_t listIntervalMs = 800;
constexpr std::int64_t maxStopDurationMs = 180;
// One job of this number has a task that crashes workers.
constexpr std::size_t jobsPerDeadlyTask = 25;

Fleet::SchedulerOptions optionsFor(ProtocolVariant variant)
{
    Fleet::SchedulerOptions options;
    options.shard = "emulated";
    options.workerLease = milliseconds(5000);
    options.workerLeaseLimit = milliseconds(10000);
    options.orphanGrace = milliseconds(3000);
    options.stopLimit = milliseconds(200);
    options.retention = std::chrono::seconds(120);
    options.interferenceLimit = milliseconds(4000);
    options.availabilityDelay = milliseconds(5500);
    options.workerListLimit = milliseconds(3500);
    if (variant == ProtocolVariant::NoLeaseWait) {
        options.orphanGrace = {};
        options.workerLeaseLimit = {};
    }
    return options;
}

} // namespace

EmulatedShard::EmulatedShard(const Scenario& scenario, std::size_t workerCount, std::int64_t submissionEndMs)
    : scenario_(scenario)
    , submissionEndMs_(submissionEndMs)
    , random_(scenario.seed * 7919 + 1)
    , disturbanceRandom_(scenario.seed * 104'729 + 3)
    , nextPollMs_(workerCount, 0)
{
    for (std::size_t number = 0; number < workerCount; ++number) {
        Ports::WorkerInfo info;
        info.id = "w" + std::to_string(number);
        info.service = "service";
        info.rack = "rack";
        info.labels = { "a", "rack" };
        info.milliProcessors = fullMilliProcessors;
        info.memoryMb = fullMemoryMb;
        info.startedUnixMs = 1;
        workers_.emplace_back(info, scenario.variant != ProtocolVariant::NoEpochFencing);
        if (scenario.hasWorkerDisturbances)
            workers_.back().stopDurationMs
                = static_cast<std::int64_t>(disturbanceRandom_() % maxStopDurationMs);
    }
    takeOver();
}

EmulatedShard::~EmulatedShard() = default;

void EmulatedShard::scheduleEvent(std::int64_t delayMs, std::function<void()> function)
{
    events_.emplace(nowMs_ + delayMs, std::move(function));
}

void EmulatedShard::trace(const std::string& job, const std::string& event) const
{
    if (job == scenario_.traceJob)
        std::cout << nowMs_ << " ms " << job << ": " << event << "\n";
}

SimulatedWorker* EmulatedShard::findWorker(const std::string& id)
{
    const auto found = std::find_if(workers_.begin(), workers_.end(),
        [&](const SimulatedWorker& worker) { return worker.info().id == id; });
    return found == workers_.end() ? nullptr : &*found;
}

void EmulatedShard::advance(std::int64_t nowMs)
{
    nowMs_ = nowMs;
    applyFaults();
    while (!events_.empty() && events_.begin()->first <= nowMs_) {
        const auto function = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        function();
    }
    for (SimulatedWorker& worker : workers_) {
        const bool wasUp = worker.isUp;
        if (worker.isUp)
            worker.advance(nowMs_);
        if (wasUp && !worker.isUp)
            restartLater(worker, 1000 + static_cast<std::int64_t>(disturbanceRandom_() % 3000));
        checker_.onCrashedUnder(worker.newlyCrashedUnder);
        worker.newlyCrashedUnder.clear();
        checker_.onEnded(worker.newlyEnded);
        worker.newlyEnded.clear();
        checker_.onAcknowledged(worker.newlyAcknowledged);
        worker.newlyAcknowledged.clear();
    }
    submitJobs();
    pollWorkers();
    runScheduler();
    checker_.checkWorkers(workers_, nowMs_);
}

void EmulatedShard::applyFaults()
{
    for (const Fault& fault : scenario_.faults) {
        if (nowMs_ - tickMs < fault.startMs && fault.startMs <= nowMs_)
            setFaultActive(fault, true);
        const std::int64_t endMs = fault.startMs + fault.durationMs;
        if (nowMs_ - tickMs < endMs && endMs <= nowMs_)
            setFaultActive(fault, false);
    }
}

void EmulatedShard::setFaultActive(const Fault& fault, bool isActive)
{
    SimulatedWorker& worker = workers_[fault.worker];
    switch (fault.kind) {
    case FaultKind::OwnerKill:
        if (isActive)
            killOwner(fault.durationMs);
        return;
    case FaultKind::WorkerCrash:
        if (isActive)
            return worker.crash();
        worker.isUp = true;
        worker.restart(nowMs_);
        return;
    case FaultKind::WorkerCrashes:
        if (isActive)
            crashWorkers(fault);
        return;
    case FaultKind::CapacityShrink:
        return setCapacities(fault, isActive ? fault.capacityPercent : 100);
    case FaultKind::WorkerUnreachable:
        worker.isReachable = !isActive;
        return;
    case FaultKind::WorkerFailing:
        worker.failsAllTasks = isActive;
        return;
    case FaultKind::WorkerSlow:
        worker.slowness = isActive ? 5 : 1;
        return;
    case FaultKind::DelayedCommands:
        areCommandsDelayed_ = isActive;
        return;
    case FaultKind::StoreDown:
        isStoreDown_ = isActive;
        return;
    }
}

void EmulatedShard::crashWorkers(const Fault& fault)
{
    for (std::size_t number = 0; number < fault.count; ++number) {
        SimulatedWorker& worker = workers_[(fault.worker + number) % workers_.size()];
        if (!worker.isUp)
            continue;
        worker.crash();
        restartLater(worker, 300 + static_cast<std::int64_t>(disturbanceRandom_() % 4000));
    }
}

void EmulatedShard::restartLater(SimulatedWorker& worker, std::int64_t delayMs)
{
    scheduleEvent(delayMs, [this, &worker] {
        if (worker.isUp)
            return;
        worker.restart(nowMs_);
        worker.isUp = true;
    });
}

void EmulatedShard::setCapacities(const Fault& fault, int percent)
{
    for (std::size_t number = 0; number < fault.count; ++number) {
        const auto listDelayMs = static_cast<std::int64_t>(disturbanceRandom_() % maxListDelayMs);
        workers_[(fault.worker + number) % workers_.size()].setCapacity(
            fullMilliProcessors * percent / 100, fullMemoryMb * percent / 100, listDelayMs, nowMs_);
    }
}

void EmulatedShard::killOwner(std::int64_t downMs)
{
    if (!owner_)
        return;
    owner_.reset();
    isCommitting_ = false;
    ++epoch_; // Pending transactions of the former owner will not be stored.
    scheduleEvent(downMs, [this] { takeOver(); });
}

void EmulatedShard::takeOver()
{
    connectedIncarnations_.clear();
    if (owner_)
        return;
    ++epoch_;
    owner_ = std::make_unique<Fleet::ShardScheduler>(
        optionsFor(scenario_.variant), static_cast<Fleet::SchedulerOutput&>(*this), tailLatencyModel_);
    listReadMs_ = -1;
    for (const auto& [id, record] : rows_)
        owner_->restore(record, now(), nowMs_);
}

FleetSchema::JobSpec EmulatedShard::randomJob()
{
    FleetSchema::JobSpec spec;
    spec.set_id("j" + std::to_string(nextJobNumber_++));
    spec.set_service("service");
    spec.set_occurrences(1);
    spec.set_max_failures(2 + random_() % 3);
    spec.set_slack_factor(2);
    spec.set_target_ms(500);
    spec.set_priority(static_cast<std::int32_t>(random_() % 3));
    constexpr std::uint64_t jobsPerLongRunning = 20;
    const bool isLongRunning = random_() % jobsPerLongRunning == 0;
    const std::uint32_t steps = isLongRunning ? 1 : 1 + random_() % 3;
    for (std::uint32_t number = 0; number < steps; ++number) {
        FleetSchema::StepSpec& step = *spec.add_steps();
        step.set_count(1 + random_() % 5);
        step.set_milli_processors(static_cast<std::int64_t>(500 + random_() % 4000));
        step.set_memory_mb(static_cast<std::int64_t>(500 + random_() % 6000));
        step.set_estimate_ms(isLongRunning ? 0 : 200 + random_() % 1500);
        step.set_lasting(isLongRunning);
        step.set_checkpointed(random_() % 2 == 0);
        if (random_() % 4 == 0)
            step.set_max_per_worker(1 + random_() % 2);
        if (number > 0)
            step.add_after(number - 1);
    }
    return spec;
}

void EmulatedShard::submitJobs()
{
    constexpr std::uint64_t ticksPerJob = 25;
    constexpr std::uint64_t jobsPerCancel = 12;
    if (!owner_ || nowMs_ > submissionEndMs_ || random_() % ticksPerJob != 0)
        return;
    const FleetSchema::JobSpec spec = randomJob();
    specs_[spec.id()] = spec;
    checker_.onSubmitted(spec);
    owner_->submit(spec, 0, now(), nowMs_);
    if (random_() % jobsPerCancel == 0) {
        scheduleEvent(static_cast<std::int64_t>(random_() % 3000), [this, id = spec.id()] {
            if (owner_)
                owner_->cancel(id, 0, nowMs_);
        });
    }
}

void EmulatedShard::readWorkerList()
{
    const bool isLate = scenario_.hasWorkerDisturbances && listReadMs_ >= 0
        && (isStoreDown_ || nowMs_ - listReadMs_ < listIntervalMs);
    if (isLate)
        return;
    listReadMs_ = nowMs_;
    std::vector<Ports::WorkerInfo> listed;
    for (const SimulatedWorker& worker : workers_)
        listed.push_back(worker.entry(nowMs_));
    owner_->setWorkers(listed, now());
}

void EmulatedShard::runScheduler()
{
    if (!owner_)
        return;
    if (nowMs_ % housekeepingIntervalMs == 0) {
        readWorkerList();
        owner_->onTick(now(), nowMs_);
    }
    if (isCommitting_ || isStoreDown_)
        return;
    owner_->schedule(now(), nowMs_);
    const auto batch = owner_->beginCommit(nowMs_);
    if (!batch)
        return;
    isCommitting_ = true;
    scheduleEvent(commitLatencyMs, [this, epoch = epoch_, puts = batch->puts, removals = batch->removals] {
        if (epoch != epoch_)
            return; // The transaction fails: its condition on the owner's row no longer holds.
        for (const auto& [id, value] : puts) {
            FleetSchema::JobRecord record;
            record.ParseFromString(value);
            checker_.onRecordStored(record, nowMs_);
            if (record.state() == FleetSchema::JOB_CANCELLED)
                checker_.onCancellationStored(id, nowMs_);
            rows_[id] = record;
        }
        for (const std::string& id : removals)
            rows_.erase(id);
        isCommitting_ = false;
        owner_->onCommitted(now());
    });
}

std::uint64_t EmulatedShard::tokenFor(const std::string& worker) const
{
    return epoch_ * Fleet::tokensPerOwner + owner_->restartCount(worker);
}

void EmulatedShard::pollWorkers()
{
    for (std::size_t number = 0; owner_ && number < workers_.size(); ++number) {
        if (nowMs_ < nextPollMs_[number])
            continue;
        const std::string id = workers_[number].info().id;
        const Fleet::PollPlan pollPlan = owner_->planPoll(id, now(), true);
        Ports::PollRequest command;
        command.leaseUntilMs = pollPlan.leaseUntilMs;
        command.acknowledgedUpTo = pollPlan.acknowledged;
        command.authority.epoch = tokenFor(id);
        nextPollMs_[number] = nowMs_ + pollIntervalMs;
        scheduleEvent(
            randomLatencyMs(), [this, id, command, sentAt = now(), epoch = epoch_, number]() mutable {
                SimulatedWorker& worker = *findWorker(id);
                if (!worker.isUp || !worker.isReachable) {
                    connectedIncarnations_.erase(id);
                    nextPollMs_[number] = nowMs_ + pollRetryDelayMs;
                    if (owner_ && epoch == epoch_)
                        owner_->onPollFailed(id);
                    return;
                }
                // A connection ends with the process at its other end, so the poll comes on a new one.
                const bool isFirstOnConnection
                    = std::exchange(connectedIncarnations_[id], worker.info().startedUnixMs)
                    != worker.info().startedUnixMs;
                if (isFirstOnConnection) {
                    command.leaseUntilMs = 0;
                    command.acknowledgedUpTo = 0;
                }
                auto report = worker.poll(command, nowMs_);
                if (report)
                    report->isFirstOnConnection = isFirstOnConnection;
                if (report && owner_ && epoch == epoch_)
                    owner_->onReport(id, sentAt, *report, now(), nowMs_);
            });
    }
}

TaskBehavior EmulatedShard::taskBehavior(const Ports::TaskKey& task) const
{
    const FleetSchema::JobSpec& spec = specs_.at(task.job);
    const FleetSchema::StepSpec& step = spec.steps(static_cast<int>(task.step));
    TaskBehavior behavior;
    behavior.milliProcessors = step.milli_processors();
    behavior.memoryMb = step.memory_mb();
    behavior.runTimeMs = step.lasting() ? 0 : step.estimate_ms();
    // Some tasks always fail.
    constexpr std::size_t tasksPerAlwaysFailing = 60;
    behavior.alwaysFails = !step.lasting()
        && std::hash<std::string> {}(task.job + std::to_string(task.index)) % tasksPerAlwaysFailing == 0;
    behavior.crashesWorker = scenario_.hasDeadlyTasks && isDeadlyTask(task, spec, jobsPerDeadlyTask);
    return behavior;
}

void EmulatedShard::startAttempt(const Fleet::AttemptStart& start)
{
    ++startCount_;
    trace(
        start.task.job, "start of attempt " + std::to_string(start.attempt) + " ordered at " + start.worker);
    Ports::StartCommand command;
    command.task = start.task;
    command.attempt = start.attempt;
    command.leaseUntilMs = start.leaseUntilMs;
    command.workerStartUnixMs = start.workerBornMs;
    command.authority.epoch = tokenFor(start.worker);
    const SimulatedWorker& target = *findWorker(start.worker);
    const bool isChecked = start.checkLimit != Utils::Duration::zero();
    if (isChecked && !(target.isUp && target.isReachable)) {
        const auto limitMs = std::chrono::duration_cast<milliseconds>(start.checkLimit).count();
        return scheduleEvent(limitMs, [this, command, id = start.worker, epoch = epoch_] {
            if (owner_ && epoch == epoch_) {
                owner_->onStartReply(id, command.task, command.attempt,
                    Utils::Error { Utils::ErrorCode::Unavailable, "start", id, "the check was not answered" },
                    now());
            }
        });
    }
    const bool isDelayed = areCommandsDelayed_ && random_() % 2 == 0;
    const std::int64_t delay
        = isDelayed ? 2000 + static_cast<std::int64_t>(random_() % 6000) : randomLatencyMs();
    // A delayed command counts as received by the worker, so it is lost if the worker restarts meanwhile.
    const std::int64_t bornMs = findWorker(start.worker)->info().startedUnixMs;
    const bool isAnswered
        = !isDelayed && !(scenario_.crashesBeforeAnswer && taskBehavior(start.task).crashesWorker);
    scheduleEvent(delay, [this, command, isDelayed, isAnswered, bornMs, id = start.worker, epoch = epoch_] {
        SimulatedWorker& worker = *findWorker(id);
        if (!worker.isUp || !worker.isReachable || worker.info().startedUnixMs != bornMs)
            return;
        const bool wasRunning = worker.running().contains(command.task);
        const Ports::CommandReply reply = worker.start(command, taskBehavior(command.task), nowMs_);
        if (reply.outcome == Ports::CommandOutcome::Done && !wasRunning) {
            checker_.onStarted(id, command, isDelayed || epoch != epoch_, nowMs_);
            if (!isDelayed)
                checker_.onCapacityUsed(worker, command.task, nowMs_);
            if (epoch == epoch_)
                checker_.onStartedByOwner(command.task, nowMs_);
        }
        if (isAnswered && owner_ && epoch == epoch_)
            owner_->onStartReply(id, command.task, command.attempt, reply, now());
    });
    scheduleEvent(commandTimeoutMs, [this, command, isAnswered, id = start.worker, epoch = epoch_] {
        // The scheduler ignores this error if the answer to the start has arrived.
        if (owner_ && epoch == epoch_ && (!isAnswered || !findWorker(id)->isReachable)) {
            owner_->onStartReply(id, command.task, command.attempt,
                Utils::Error { Utils::ErrorCode::OutcomeUnknown, "start", id, "no answer" }, now());
        }
    });
}

void EmulatedShard::stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt)
{
    trace(task.job, "stop of attempt " + std::to_string(attempt) + " ordered at " + worker);
    scheduleEvent(randomLatencyMs(), [this, worker, task, attempt, token = tokenFor(worker), epoch = epoch_] {
        SimulatedWorker& target = *findWorker(worker);
        if (!target.isUp || !target.isReachable)
            return;
        const Ports::CommandReply reply = target.stop(task, attempt, token, nowMs_);
        if (owner_ && epoch == epoch_)
            owner_->onStopReply(worker, task, attempt, reply, now());
    });
}

ScenarioResult EmulatedShard::result() const
{
    ScenarioResult result;
    result.violations = checker_.violations();
    result.jobs = rows_.size();
    result.starts = startCount_;
    for (const auto& [id, record] : rows_) {
        if (record.state() == FleetSchema::JOB_COMPLETED)
            ++result.completed;
        const bool isOpen
            = record.state() == FleetSchema::JOB_QUEUED || record.state() == FleetSchema::JOB_RUNNING;
        if (isOpen && !record.spec().steps(0).lasting())
            ++result.unfinished;
    }
    return result;
}

} // namespace Emulate
