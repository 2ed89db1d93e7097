#include "emulatedshard.h"

#include <algorithm>
#include <iostream>

namespace Emulate {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t tickMs = 10;
constexpr std::int64_t commitMs = 12;
constexpr std::int64_t pollMs = 250;
constexpr std::int64_t pollRetryMs = 300;
constexpr std::int64_t orderTimeoutMs = 700;
constexpr std::int64_t housekeepingMs = 100;

Fleet::SchedulerOptions optionsFor(Variant variant)
{
    Fleet::SchedulerOptions options;
    options.shard = "emulated";
    options.workerLease = milliseconds(5000);
    options.workerLeaseLimit = milliseconds(10000);
    options.orphanGrace = milliseconds(3000);
    options.stopLimit = milliseconds(200);
    options.retention = std::chrono::seconds(120);
    options.interferenceLimit = milliseconds(4000);
    options.disruptionNotice = milliseconds(5500);
    if (variant == Variant::NoLeaseWait) {
        options.orphanGrace = {};
        options.workerLeaseLimit = {};
    }
    return options;
}

} // namespace

EmulatedShard::EmulatedShard(const DayPlan& plan, std::size_t workers, std::int64_t trafficMs)
    : plan_(plan)
    , trafficMs_(trafficMs)
    , random_(plan.seed * 7919 + 1)
    , nextPollMs_(workers, 0)
{
    for (std::size_t number = 0; number < workers; ++number) {
        Ports::WorkerInfo info;
        info.id = "w" + std::to_string(number);
        info.service = "service";
        info.rack = "rack";
        info.labels = { "a", "rack" };
        info.milliProcessors = 16'000;
        info.memoryMb = 64'000;
        info.startedUnixMs = 1;
        workers_.emplace_back(info, plan.variant != Variant::NoEpochs);
    }
    takeOver();
}

EmulatedShard::~EmulatedShard() = default;

void EmulatedShard::later(std::int64_t delayMs, std::function<void()> function)
{
    events_.emplace(nowMs_ + delayMs, std::move(function));
}

void EmulatedShard::trace(const std::string& job, const std::string& event) const
{
    if (job == plan_.traceJob)
        std::cout << nowMs_ << " ms " << job << ": " << event << "\n";
}

SimulatedWorker* EmulatedShard::find(const std::string& id)
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
        if (worker.isUp)
            worker.advance(nowMs_);
        judge_.ended(worker.newEnds);
        worker.newEnds.clear();
        judge_.acknowledged(worker.acknowledged);
        worker.acknowledged.clear();
    }
    submitJobs();
    pollWorkers();
    decide();
    judge_.look(workers_, nowMs_);
}

void EmulatedShard::applyFaults()
{
    for (const Fault& fault : plan_.faults) {
        if (nowMs_ - tickMs < fault.atMs && fault.atMs <= nowMs_)
            switchFault(fault, true);
        const std::int64_t endMs = fault.atMs + fault.forMs;
        if (nowMs_ - tickMs < endMs && endMs <= nowMs_)
            switchFault(fault, false);
    }
}

void EmulatedShard::switchFault(const Fault& fault, bool isOn)
{
    SimulatedWorker& worker = workers_[fault.worker];
    switch (fault.kind) {
    case FaultKind::OwnerKill:
        if (isOn)
            killOwner(fault.forMs);
        return;
    case FaultKind::WorkerCrash:
        worker.isUp = !isOn;
        if (!isOn)
            worker.restart(nowMs_);
        return;
    case FaultKind::WorkerCut:
        worker.isReachable = !isOn;
        return;
    case FaultKind::WorkerGrey:
        worker.failsEverything = isOn;
        return;
    case FaultKind::WorkerSlow:
        worker.slowness = isOn ? 5 : 1;
        return;
    case FaultKind::LateOrders:
        areOrdersLate_ = isOn;
        return;
    case FaultKind::StoreDown:
        isStoreDown_ = isOn;
        return;
    }
}

void EmulatedShard::killOwner(std::int64_t downMs)
{
    if (!owner_)
        return;
    owner_.reset();
    isCommitting_ = false;
    ++epoch_; // What the former owner has under way is no longer stored.
    later(downMs, [this] { takeOver(); });
}

void EmulatedShard::takeOver()
{
    if (owner_)
        return;
    ++epoch_;
    owner_ = std::make_unique<Fleet::ShardScheduler>(
        optionsFor(plan_.variant), static_cast<Fleet::ShardOrders&>(*this), tailModel_);
    for (const auto& [id, record] : rows_)
        owner_->restore(record, now(), nowMs_);
}

FleetSchema::JobSpec EmulatedShard::drawJob()
{
    FleetSchema::JobSpec spec;
    spec.set_id("j" + std::to_string(nextJob_++));
    spec.set_service("service");
    spec.set_occurrences(1);
    spec.set_max_failures(2 + random_() % 3);
    spec.set_slack_factor(2);
    spec.set_target_ms(500);
    spec.set_priority(static_cast<std::int32_t>(random_() % 3));
    constexpr std::uint64_t jobsPerLasting = 20;
    const bool isLasting = random_() % jobsPerLasting == 0;
    const std::uint32_t steps = isLasting ? 1 : 1 + random_() % 3;
    for (std::uint32_t number = 0; number < steps; ++number) {
        FleetSchema::StepSpec& step = *spec.add_steps();
        step.set_count(1 + random_() % 5);
        step.set_milli_processors(static_cast<std::int64_t>(500 + random_() % 4000));
        step.set_memory_mb(static_cast<std::int64_t>(500 + random_() % 6000));
        step.set_estimate_ms(isLasting ? 0 : 200 + random_() % 1500);
        step.set_lasting(isLasting);
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
    if (!owner_ || nowMs_ > trafficMs_ || random_() % ticksPerJob != 0)
        return;
    const FleetSchema::JobSpec spec = drawJob();
    specs_[spec.id()] = spec;
    judge_.submitted(spec);
    owner_->submit(spec, 0, now(), nowMs_);
    if (random_() % jobsPerCancel == 0) {
        later(static_cast<std::int64_t>(random_() % 3000), [this, id = spec.id()] {
            if (owner_)
                owner_->cancel(id, 0, nowMs_);
        });
    }
}

void EmulatedShard::decide()
{
    if (!owner_)
        return;
    if (nowMs_ % housekeepingMs == 0) {
        std::vector<Ports::WorkerInfo> listed;
        for (const SimulatedWorker& worker : workers_)
            listed.push_back(worker.info());
        owner_->setWorkers(listed, now());
        owner_->onTick(now(), nowMs_);
    }
    if (isCommitting_ || isStoreDown_)
        return;
    owner_->schedule(now(), nowMs_);
    const auto batch = owner_->takeBatch(nowMs_);
    if (!batch)
        return;
    isCommitting_ = true;
    later(commitMs, [this, epoch = epoch_, puts = batch->puts, removals = batch->removals] {
        if (epoch != epoch_)
            return; // The condition on the owner's row does not hold any more.
        for (const auto& [id, value] : puts) {
            FleetSchema::JobRecord record;
            record.ParseFromString(value);
            judge_.stored(record);
            if (record.state() == FleetSchema::JOB_CANCELLED)
                judge_.cancelled(id, nowMs_);
            rows_[id] = record;
        }
        for (const std::string& id : removals)
            rows_.erase(id);
        isCommitting_ = false;
        owner_->onCommitted(now());
    });
}

void EmulatedShard::pollWorkers()
{
    for (std::size_t number = 0; owner_ && number < workers_.size(); ++number) {
        if (nowMs_ < nextPollMs_[number])
            continue;
        const std::string id = workers_[number].info().id;
        const Fleet::PollPlan planned = owner_->planPoll(id, now(), true);
        Ports::PollRequest order;
        order.leaseUntilMs = planned.leaseUntilMs;
        order.acknowledgedUpTo = planned.acknowledged;
        order.epoch = epoch_;
        nextPollMs_[number] = nowMs_ + pollMs;
        later(latencyMs(), [this, id, order, sentAt = now(), epoch = epoch_, number] {
            SimulatedWorker& worker = *find(id);
            if (!worker.isUp || !worker.isReachable) {
                nextPollMs_[number] = nowMs_ + pollRetryMs;
                if (owner_ && epoch == epoch_)
                    owner_->onPollFailed(id);
                return;
            }
            const auto report = worker.poll(order, nowMs_);
            if (report && owner_ && epoch == epoch_)
                owner_->onReport(id, sentAt, *report, now(), nowMs_);
        });
    }
}

TaskBehaviour EmulatedShard::behaviourOf(const Ports::TaskKey& task) const
{
    const FleetSchema::JobSpec& spec = specs_.at(task.job);
    const FleetSchema::StepSpec& step = spec.steps(static_cast<int>(task.step));
    TaskBehaviour behaviour;
    behaviour.milliProcessors = step.milli_processors();
    behaviour.memoryMb = step.memory_mb();
    behaviour.runMs = step.lasting() ? 0 : step.estimate_ms();
    // Some tasks can never be done.
    constexpr std::size_t tasksPerPoison = 60;
    behaviour.alwaysFails = !step.lasting()
        && std::hash<std::string> {}(task.job + std::to_string(task.index)) % tasksPerPoison == 0;
    return behaviour;
}

void EmulatedShard::startAttempt(const Fleet::AttemptStart& start)
{
    ++starts_;
    trace(
        start.task.job, "start of attempt " + std::to_string(start.attempt) + " ordered at " + start.worker);
    Ports::StartCommand order;
    order.task = start.task;
    order.attempt = start.attempt;
    order.leaseUntilMs = start.leaseUntilMs;
    order.epoch = epoch_;
    const bool isLate = areOrdersLate_ && random_() % 2 == 0;
    const std::int64_t delay = isLate ? 2000 + static_cast<std::int64_t>(random_() % 6000) : latencyMs();
    // An order that is held up is held by the worker and dies with it.
    const std::int64_t bornMs = find(start.worker)->info().startedUnixMs;
    later(delay, [this, order, isLate, bornMs, id = start.worker, epoch = epoch_] {
        SimulatedWorker& worker = *find(id);
        if (!worker.isUp || !worker.isReachable || worker.info().startedUnixMs != bornMs)
            return;
        const bool wasThere = worker.running().contains(order.task);
        const Ports::CommandReply reply = worker.start(order, behaviourOf(order.task), nowMs_);
        if (reply.outcome == Ports::CommandOutcome::Done && !wasThere)
            judge_.started(id, order, isLate || epoch != epoch_, nowMs_);
        if (!isLate && owner_ && epoch == epoch_)
            owner_->onStartReply(id, order.task, order.attempt, reply, now());
    });
    later(orderTimeoutMs, [this, order, id = start.worker, epoch = epoch_] {
        // The scheduler ignores this once the answer has come.
        if (owner_ && epoch == epoch_ && !find(id)->isReachable) {
            owner_->onStartReply(id, order.task, order.attempt,
                Utils::Error { Utils::ErrorCode::OutcomeUnknown, "start", id, "no answer" }, now());
        }
    });
}

void EmulatedShard::stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt)
{
    trace(task.job, "stop of attempt " + std::to_string(attempt) + " ordered at " + worker);
    later(latencyMs(), [this, worker, task, attempt, epoch = epoch_] {
        SimulatedWorker& target = *find(worker);
        if (!target.isUp || !target.isReachable)
            return;
        const Ports::CommandReply reply = target.stop(task, attempt, epoch, nowMs_);
        if (owner_ && epoch == epoch_)
            owner_->onStopReply(worker, task, attempt, reply, now());
    });
}

DayResult EmulatedShard::result() const
{
    DayResult result;
    result.broken = judge_.faults();
    result.jobs = rows_.size();
    result.starts = starts_;
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
