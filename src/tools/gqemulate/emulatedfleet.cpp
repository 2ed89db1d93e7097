#include "emulatedfleet.h"

#include "fleet/fencingtokens.h"

#include <algorithm>
#include <iostream>

namespace Emulate {

namespace {

constexpr std::size_t nodeCount = 5;
constexpr std::int64_t heartbeatIntervalMs = 700;
constexpr std::int64_t planningIntervalMs = 100;
constexpr std::int64_t checkIntervalMs = 100;
constexpr std::int64_t callTimeoutMs = 1000;
constexpr std::int64_t callerRetryMs = 300;
constexpr int callLossPercent = 1;
constexpr int faultyCallLossPercent = 40;
constexpr std::int64_t maxStopDurationMs = 180;

// Replacements and changes of capacities are part of normal operation: tasks must not wait beyond their
// bound because of them.
bool isNormalOperation(FleetFaultKind kind)
{
    return kind == FleetFaultKind::Replacement || kind == FleetFaultKind::ShardLoss
        || kind == FleetFaultKind::EntryLapse || kind == FleetFaultKind::CapacityShrink
        || kind == FleetFaultKind::Departure || kind == FleetFaultKind::Evacuation;
}

} // namespace

EmulatedFleet::EmulatedFleet(const FleetScenario& scenario)
    : scenario_(scenario)
    , time_(scenario.seed * 7919 + 13)
    , platform_(time_, scenario.shardCount, scenario.workersPerShard,
          scenario.variant != FleetVariant::NoEpochFencing)
    , evacuations_(time_, scenario.shardCount, nodeCount)
    , workload_(time_, scenario.hasDeadlyTasks, scenario.hasHopelessTasks)
    , waitChecker_(platform_)
    , nodes_(nodeCount)
    , shards_(scenario.shardCount)
{
    if (scenario.hasWorkerDisturbances)
        platform_.setStopDurationLimit(maxStopDurationMs);
    if (scenario.hasLosses)
        waitChecker_.judgeLosses();
    if (scenario.hasSilentDepartures)
        platform_.setSilentDepartures();
    for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
        shards_[shard].record = EmulatedOwnerRow::releasedRow();
        claim(shard, shard);
    }
}

EmulatedFleet::~EmulatedFleet() = default;

std::size_t EmulatedFleet::countAliveNodes() const
{
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(),
        [this](const EmulatedNode& node) { return node.isUp && hasHeartbeat(node); }));
}

bool EmulatedFleet::hasHeartbeat(const EmulatedNode& node) const
{
    return nowMs() - node.heartbeatMs < nodeTimeoutMs;
}

bool EmulatedFleet::canAct(std::size_t node) const
{
    return nodes_[node].isUp && nodes_[node].isStoreReachable && nodes_[node].frozenUntilMs <= nowMs();
}

void EmulatedFleet::advance(std::int64_t nowMs)
{
    time_.advance(nowMs);
    applyFaults();
    platform_.advance();
    std::vector<const SimulatedWorker*> workers;
    for (const auto& [id, worker] : platform_.workers()) {
        checker_.onCrashedUnder(worker->simulated.newlyCrashedUnder);
        worker->simulated.newlyCrashedUnder.clear();
        checker_.onEnded(worker->simulated.newlyEnded);
        checkLeases(*worker);
        worker->simulated.newlyEnded.clear();
        checker_.onAcknowledged(worker->simulated.newlyAcknowledged);
        worker->simulated.newlyAcknowledged.clear();
        workers.push_back(&worker->simulated);
    }
    submitJobs();
    submitFullLoad();
    for (std::size_t node = 0; node < nodeCount; ++node) {
        if ((nowMs + static_cast<std::int64_t>(node) * 130) % heartbeatIntervalMs == 0)
            nodes_[node].isHeartbeatDue = true;
        if (nodes_[node].isHeartbeatDue && nodes_[node].busyMs(nowMs) == 0) {
            nodes_[node].isHeartbeatDue = false;
            heartbeat(node);
        }
    }
    if (nowMs % planningIntervalMs == 0)
        planOwnership();
    std::vector<std::shared_ptr<EmulatedOwner>> owners = owners_;
    // Owners of one node take turns.
    if (scenario_.processor.isCharged() && !owners.empty()) {
        const auto first = (nowMs / tickMs) % static_cast<std::int64_t>(owners.size());
        std::rotate(owners.begin(), owners.begin() + first, owners.end());
    }
    readEvacuations();
    for (const auto& owner : owners)
        owner->advance();
    std::erase_if(owners_, [](const auto& owner) { return owner->isClosed(); });
    checker_.checkWorkers(workers, nowMs);
    if (nowMs % checkIntervalMs == 0)
        checkWaits();
}

void EmulatedFleet::applyFaults()
{
    for (const FleetFault& fault : scenario_.faults) {
        if (nowMs() - tickMs < fault.startMs && fault.startMs <= nowMs())
            setFaultActive(fault, true);
        const std::int64_t endMs = fault.startMs + fault.durationMs;
        if (nowMs() - tickMs < endMs && endMs <= nowMs())
            setFaultActive(fault, false);
    }
    if (activeFaults_ > 0 || platform_.hasCrashedWorkers())
        lastFaultMs_ = nowMs();
}

void EmulatedFleet::setFaultActive(const FleetFault& fault, bool isActive)
{
    if (!isNormalOperation(fault.kind)) {
        activeFaults_ += isActive ? 1 : -1;
        lastFaultMs_ = nowMs();
    }
    const std::size_t shard = fault.target % shards_.size();
    const std::shared_ptr<EmulatedOwner> owner = shards_[shard].owner;
    switch (fault.kind) {
    case FleetFaultKind::NodeKill: {
        const std::size_t node = fault.target % nodeCount;
        return isActive ? killNode(node) : restartNode(node);
    }
    case FleetFaultKind::NodeFreeze:
        if (isActive && owner)
            nodes_[owner->node()].frozenUntilMs = nowMs() + fault.durationMs;
        return;
    case FleetFaultKind::OwnerLost:
        return isActive && owner ? killNode(owner->node()) : void();
    case FleetFaultKind::ShardRelease:
        if (isActive && owner && owner->isServing())
            owner->release();
        return;
    case FleetFaultKind::StoreOutage:
        nodes_[fault.target % nodeCount].isStoreReachable = !isActive;
        return;
    case FleetFaultKind::StoreDown:
        for (EmulatedNode& node : nodes_)
            node.isStoreReachable = !isActive;
        return;
    case FleetFaultKind::Evacuation:
        evacuations_.setRequested(shard, isActive);
        return platform_.setEvacuated(shard, evacuations_.isRequested(shard));
    case FleetFaultKind::CallLoss:
        activeCallLosses_ += isActive ? 1 : -1;
        return;
    default:
        platform_.setFaultActive(fault, isActive);
        return;
    }
}

// Starts must heed the evacuations also on a node that has been frozen or cut off.
void EmulatedFleet::readEvacuations()
{
    if (!scenario_.hasEvacuations || scenario_.variant == FleetVariant::IgnoredEvacuations)
        return;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        if (!nodes_[node].isUp)
            evacuations_.forget(node);
        if (!canAct(node) || nodes_[node].busyMs(nowMs()) > 0 || !evacuations_.isReadDue(node))
            continue;
        evacuations_.read(node);
        nodes_[node].chooser.setClosedShards(evacuations_.knownShards(node));
    }
    for (const auto& owner : owners_)
        owner->setEvacuated(
            evacuations_.isKnown(owner->node(), owner->shard()), evacuations_.knownUntil(owner->node()));
}

// Writes the node's row and reads those of the others.
void EmulatedFleet::heartbeat(std::size_t number)
{
    if (!canAct(number))
        return;
    EmulatedNode& node = nodes_[number];
    node.heartbeatMs = nowMs();
    node.heartbeat.clear();
    for (const auto& owner : owners_) {
        if (owner->node() == number && owner->isServing())
            node.heartbeat.push_back(owner->currentLoad());
    }
    std::map<std::string, Fleet::ShardOwnerInfo> owners;
    for (std::size_t other = 0; other < nodeCount; ++other) {
        if (!hasHeartbeat(nodes_[other]))
            continue;
        for (const FleetSchema::ShardLoad& load : nodes_[other].heartbeat) {
            Fleet::ShardOwnerInfo& owner = owners[load.shard()];
            if (owner.node.empty() || owner.load.epoch() < load.epoch())
                owner = { std::to_string(other), std::to_string(other), load };
        }
    }
    for (const auto& [shard, owner] : owners)
        node.owners[shard] = owner;
    node.chooser.update(node.owners);
}

void EmulatedFleet::announce(const EmulatedOwner& owner)
{
    const std::string name = std::to_string(owner.node());
    for (std::size_t number = 0; number < nodeCount; ++number) {
        EmulatedNode& node = nodes_[number];
        if (!node.isUp || node.frozenUntilMs > nowMs())
            continue;
        node.owners[shardName(owner.shard())] = { name, name, owner.currentLoad() };
        node.chooser.update(node.owners);
    }
    heartbeat(owner.node());
}

std::shared_ptr<EmulatedOwner> EmulatedFleet::ownerKnownTo(std::size_t node, const std::string& shard) const
{
    const std::size_t number = shardNumber(shard);
    for (const auto& owner : owners_) {
        if (owner->node() == node && owner->shard() == number && owner->isServing())
            return owner;
    }
    const auto known = nodes_[node].owners.find(shard);
    if (known == nodes_[node].owners.end())
        return nullptr;
    for (const auto& owner : owners_) {
        if (std::to_string(owner->node()) == known->second.node && owner->shard() == number
            && owner->isServing() && nodes_[owner->node()].frozenUntilMs <= nowMs())
            return owner;
    }
    return nullptr;
}

bool EmulatedFleet::isCallLost()
{
    return time_.happens(activeCallLosses_ > 0 ? faultyCallLossPercent : callLossPercent);
}

void EmulatedFleet::callShard(std::size_t node, const std::string& shard,
    std::function<void(EmulatedOwner&, AnswerHandler)> deliver, AnswerHandler onAnswer)
{
    const auto isAnswered = std::make_shared<bool>(false);
    time_.schedule(callTimeoutMs, [this, node, shard, isAnswered] {
        if (!*isAnswered)
            nodes_[node].chooser.setOwnerResponsive(shard, false);
    });
    if (isCallLost())
        return;
    time_.schedule(time_.latencyMs(),
        [this, node, shard, isAnswered, deliver = std::move(deliver), onAnswer = std::move(onAnswer)] {
            const std::shared_ptr<EmulatedOwner> owner = ownerKnownTo(node, shard);
            if (!owner)
                return;
            const auto answerCall
                = [this, node, shard, isAnswered, onAnswer](const Fleet::JobAnswer& answer) {
                      if (isCallLost())
                          return;
                      time_.schedule(time_.latencyMs(), [this, node, shard, isAnswered, onAnswer, answer] {
                          if (*isAnswered)
                              return;
                          *isAnswered = true;
                          nodes_[node].chooser.setOwnerResponsive(shard, true);
                          onAnswer(answer);
                      });
                  };
            owner->runWhenFree([called = owner.get(), deliver, answerCall] { deliver(*called, answerCall); });
        });
}

void EmulatedFleet::onStartOrdered(const Ports::TaskKey& task, const std::string& worker, std::size_t shard)
{
    ++startCount_;
    waitChecker_.onStartOrdered(task, worker, shard, nowMs());
}

std::optional<Ports::CommandReply> EmulatedFleet::startOnWorker(
    const std::string& id, const Ports::StartCommand& command, std::size_t shard)
{
    FleetWorker* const worker = platform_.findWorker(id);
    if (!worker || !worker->answers())
        waitChecker_.onStartUnanswered(command.task, id, nowMs());
    if (!worker || !worker->carriesOutCalls()) {
        repeatOnceUp(id, [this, id, command, shard](FleetWorker& restarted) {
            carryOutStart(restarted, id, command, shard, true);
        });
        return std::nullopt;
    }
    const Ports::CommandReply reply = carryOutStart(*worker, id, command, shard, false);
    if (!worker->answers())
        return std::nullopt;
    if (scenario_.crashesBeforeAnswer && workload_.behavior(command.task).crashesWorker) {
        waitChecker_.onStartUnanswered(command.task, id, nowMs());
        return std::nullopt;
    }
    return reply;
}

void EmulatedFleet::repeatOnceUp(const std::string& id, std::function<void(FleetWorker&)> call)
{
    constexpr std::int64_t intervalMs = 20;
    constexpr std::int64_t minDelayMs = 500;
    constexpr std::int64_t maxDelayMs = 4000;
    constexpr int latePercent = 50;
    FleetWorker* const worker = platform_.findWorker(id);
    if (!worker || !worker->hasCrashed)
        return;
    if (scenario_.connections == ConnectionKind::Held) {
        time_.schedule(intervalMs, [this, id, worker, call = std::move(call)] {
            if (worker->simulated.isUp)
                call(*worker);
            else
                repeatOnceUp(id, call);
        });
    } else if (scenario_.connections == ConnectionKind::Late && time_.happens(latePercent)) {
        time_.schedule(minDelayMs + time_.random(maxDelayMs - minDelayMs), [worker, call = std::move(call)] {
            if (worker->simulated.isUp)
                call(*worker);
        });
    }
}

Ports::CommandReply EmulatedFleet::carryOutStart(FleetWorker& worker, const std::string& id,
    const Ports::StartCommand& command, std::size_t shard, bool isRepeated)
{
    const bool wasRunning = worker.simulated.running().contains(command.task);
    TaskBehavior behavior = workload_.behavior(command.task);
    if (worker.isFailing(nowMs()) && time_.happens(worker.failurePercent))
        behavior.alwaysFails = true;
    const Ports::CommandReply reply = worker.simulated.start(command, behavior, nowMs());
    // Calls that cancel a job in a host shard take longer while there are faults.
    const bool isHosted = !shards_[shard].rows.contains(command.task.job)
        || !shards_[shard].rows.at(command.task.job).origin_shard().empty();
    const bool isByOwner = Fleet::isTokenOf(shards_[shard].record.epoch(), command.authority.epoch);
    const bool isLate = isRepeated || !isByOwner || (isHosted && nowMs() - lastFaultMs_ < 7000);
    if (reply.outcome == Ports::CommandOutcome::Done && !wasRunning) {
        checker_.onStarted(id, command, isLate, nowMs());
        checker_.onCapacityUsed(worker.simulated, command.task, nowMs());
        if (isByOwner && !isRepeated)
            checker_.onStartedByOwner(command.task, nowMs());
        if (!isRepeated && evacuations_.isInForce(shard))
            ownerViolations_.push_back("start in an evacuated domain: " + command.task.job + " in "
                + shardName(shard) + " at " + std::to_string(nowMs()) + " ms");
    }
    return reply;
}

void EmulatedFleet::submitJobs()
{
    constexpr std::int64_t ticksPerJob = 30;
    constexpr std::int64_t jobsPerCancel = 10;
    if (nowMs() < 1500 || nowMs() > scenario_.submissionEndMs || time_.random(ticksPerJob) != 0)
        return;
    const FleetSchema::JobSpec spec = workload_.makeJob();
    const std::size_t node = static_cast<std::size_t>(time_.random(nodeCount));
    if (!canAct(node))
        return;
    const Fleet::ShardChoice choice = nodes_[node].chooser.choose(spec, countAliveNodes());
    if (choice.shard.empty())
        return;
    checker_.onSubmitted(spec);
    forwardSubmission(spec, choice.shard, callerAttempts);
    const bool isLongRunning = spec.steps(0).lasting();
    if (isLongRunning && time_.happens(60))
        cancelLater(spec.id(), choice.shard, 5000 + time_.random(40'000));
    else if (time_.random(jobsPerCancel) == 0)
        cancelLater(spec.id(), choice.shard, time_.random(3000));
}

void EmulatedFleet::forwardSubmission(
    const FleetSchema::JobSpec& spec, const std::string& shard, int attempts)
{
    const std::size_t node = static_cast<std::size_t>(time_.random(nodeCount));
    if (nodes_[node].isUp) {
        callShard(
            node, shard,
            [spec](EmulatedOwner& owner, AnswerHandler handler) { owner.submit(spec, std::move(handler)); },
            [this, id = spec.id()](const Fleet::JobAnswer& answer) {
                if (answer.outcome == FleetSchema::PEER_OK)
                    accepted_.insert(id);
            });
    }
    time_.schedule(callerRetryMs, [this, spec, shard, attempts] {
        if (!accepted_.contains(spec.id()) && !cancelled_.contains(spec.id()) && attempts > 0)
            forwardSubmission(spec, shard, attempts - 1);
    });
}

void EmulatedFleet::cancelLater(const std::string& job, const std::string& shard, std::int64_t delayMs)
{
    time_.schedule(delayMs, [this, job, shard] {
        if (!accepted_.contains(job))
            return;
        cancelled_.insert(job);
        callShard(
            static_cast<std::size_t>(time_.random(nodeCount)), shard,
            [job](EmulatedOwner& owner, AnswerHandler handler) { owner.cancel(job, std::move(handler)); },
            [this, job](const Fleet::JobAnswer&) { cancelled_.insert(job); });
        const FleetSchema::JobRecord& record = shards_[shardNumber(shard)].rows[job];
        const bool isActive
            = record.state() == FleetSchema::JOB_QUEUED || record.state() == FleetSchema::JOB_RUNNING;
        if (isActive)
            cancelLater(job, shard, 600);
    });
}

void EmulatedFleet::updateShardStates()
{
    for (StoredShard& shard : shards_) {
        const bool isAble = shard.owner && shard.owner->isServing() && canAct(shard.owner->node());
        if (!isAble)
            shard.ableSinceMs = -1;
        else if (shard.ableSinceMs < shard.takenOverMs)
            shard.ableSinceMs = nowMs();
    }
}

void EmulatedFleet::checkWaits()
{
    updateShardStates();
    std::vector<WaitChecker::ShardState> states;
    std::vector<WaitChecker::JobView> jobs;
    for (std::size_t number = 0; number < shards_.size(); ++number) {
        states.push_back(
            { shards_[number].ableSinceMs >= 0, &shards_[number].changes, &shards_[number].rows });
        for (const auto& [id, record] : shards_[number].rows) {
            const bool isActive
                = record.state() == FleetSchema::JOB_QUEUED || record.state() == FleetSchema::JOB_RUNNING;
            if (record.origin_shard().empty() && isActive && !cancelled_.contains(id))
                jobs.push_back({ &record, number });
        }
    }
    waitChecker_.check(jobs, states, lastFaultMs_, activeCallLosses_ > 0, nowMs());
}

void EmulatedFleet::checkEnd()
{
    for (const auto& shard : shards_) {
        for (const auto& [id, record] : shard.rows) {
            const bool isActive
                = record.state() == FleetSchema::JOB_QUEUED || record.state() == FleetSchema::JOB_RUNNING;
            if (record.origin_shard().empty() && isActive && record.spec().steps_size() > 0
                && !record.spec().steps(0).lasting())
                waitChecker_.addUnfinished(id, nowMs());
        }
    }
}

FleetResult EmulatedFleet::result() const
{
    FleetResult result;
    result.violations = checker_.violations();
    const auto& waits = waitChecker_.violations();
    result.violations.insert(result.violations.end(), waits.begin(), waits.end());
    result.violations.insert(result.violations.end(), ownerViolations_.begin(), ownerViolations_.end());
    result.mostWaiting = waitChecker_.mostWaiting();
    result.longestPassSteps = longestPassSteps_;
    result.excusedWaits = waitChecker_.excusedCount();
    result.longestExcused = waitChecker_.longestExcused();
    result.unfinished = waitChecker_.unfinishedCount();
    result.starts = startCount_;
    result.delegations = delegationCount_;
    result.jobs = accepted_.size();
    for (const StoredShard& shard : shards_) {
        for (const auto& [id, record] : shard.rows)
            result.completed
                += record.origin_shard().empty() && record.state() == FleetSchema::JOB_COMPLETED ? 1 : 0;
    }
    return result;
}

} // namespace Emulate
