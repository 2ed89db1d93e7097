#include "enginestrategy.h"

#include <placement/pendingorder.h>

#include <algorithm>

namespace Bench {

namespace {

constexpr std::size_t maxScannedTasks = 60;
constexpr double evictionIntervalSeconds = 3;
constexpr Placement::AttemptId firstReplicaAttempt = 1ULL << 60;
constexpr Placement::AttemptId maxStartsPerTask = 1ULL << 20;

Placement::PlacementEngine::Parameters parameters(bool allowsLessThanDeclared)
{
    Placement::PlacementEngine::Parameters chosen;
    chosen.batchProcessorsShare = 0.8;
    chosen.batchMemoryShare = 0.87;
    chosen.allowsLessThanDeclared = allowsLessThanDeclared;
    return chosen;
}

} // namespace

EngineStrategy::EngineStrategy(bool allowsLessThanDeclared)
    : title_(allowsLessThanDeclared ? "geraniumquay" : "geraniumquay, at least as declared")
    , engine_(parameters(allowsLessThanDeclared))
    , nextReplicaAttempt_(firstReplicaAttempt)
{
}

Placement::TaskRequest EngineStrategy::makeRequest(const SimulatedFleet& fleet, std::size_t task) const
{
    const BenchTask& entry = fleet.task(task);
    Placement::TaskRequest request = entry.request;
    request.attempt = task * maxStartsPerTask + entry.startCount;
    return request;
}

void EngineStrategy::addWorker(SimulatedFleet& fleet, std::size_t worker)
{
    const FleetSize& size = fleet.truth().size();
    const std::size_t rack = worker / size.workersPerRack;
    engineIndices_[worker] = engine_.addWorker({ "w" + std::to_string(worker), "region",
        "domain" + std::to_string(rack % 3), std::to_string(rack), size.capacity });
    workersByEngineIndex_.resize(engineIndices_[worker] + 1);
    workersByEngineIndex_[engineIndices_[worker]] = worker;
    Placement::TaskRequest replica;
    replica.attempt = nextReplicaAttempt_++;
    replica.job = "service";
    replica.taskClass = "class0";
    replica.kind = Placement::TaskKind::Service;
    replica.declaredSize = fleet.truth().serviceSize();
    engine_.adopt(replica, { engineIndices_[worker], replica.declaredSize }, fleet.now());
}

void EngineStrategy::initialize(SimulatedFleet& fleet)
{
    engineIndices_.resize(fleet.workerCount());
    for (std::size_t worker = 0; worker < fleet.workerCount(); ++worker)
        addWorker(fleet, worker);
}

std::vector<std::size_t> EngineStrategy::placementOrder(const SimulatedFleet& fleet) const
{
    std::vector<std::pair<Placement::PendingOrder, std::size_t>> order;
    std::size_t plainCount = 0;
    for (const std::size_t task : fleet.waitingTasks()) {
        const Placement::TaskRequest& request = fleet.task(task).request;
        const bool isPlain = request.rank > 0 && !request.deadline;
        if (isPlain && ++plainCount > maxScannedTasks)
            continue;
        order.emplace_back(Placement::pendingOrder(request, engine_.expectedRunTime(request), task), task);
    }
    std::ranges::sort(order);
    std::vector<std::size_t> tasks;
    tasks.reserve(order.size());
    for (const auto& [position, task] : order)
        tasks.push_back(task);
    return tasks;
}

bool EngineStrategy::place(SimulatedFleet& fleet, std::size_t task)
{
    const auto placed = engine_.place(makeRequest(fleet, task), fleet.now(), random_);
    if (!Utils::isOk(placed))
        return false;
    fleet.start(task, workersByEngineIndex_[Utils::value(placed).worker]);
    return true;
}

void EngineStrategy::evictForTask(SimulatedFleet& fleet, std::size_t task)
{
    const auto lastEviction = lastEvictionAt_.find(task);
    if (lastEviction != lastEvictionAt_.end()
        && fleet.time() < lastEviction->second + evictionIntervalSeconds)
        return;
    const auto plan = engine_.planEviction(makeRequest(fleet, task), fleet.now(), random_);
    if (!plan)
        return;
    lastEvictionAt_[task] = fleet.time();
    for (const Placement::AttemptId attempt : plan->attempts) {
        if (!controller_.tryReserveEviction(fleet.now()))
            continue;
        engine_.markEvicting(attempt);
        fleet.evict(attempt / maxStartsPerTask, Placement::PreemptionStep::Checkpoint);
    }
}

void EngineStrategy::runRound(SimulatedFleet& fleet)
{
    std::size_t failedCount = 0;
    for (const std::size_t task : placementOrder(fleet)) {
        const bool isUrgent = fleet.task(task).isUrgent;
        if (!isUrgent && failedCount >= maxScannedTasks)
            break;
        if (place(fleet, task))
            continue;
        if (isUrgent)
            evictForTask(fleet, task);
        else
            ++failedCount;
    }
}

void EngineStrategy::preemptOn(
    SimulatedFleet& fleet, std::size_t worker, const Placement::PreemptionCommand& command)
{
    using Placement::PreemptionStep;
    if (command.step == PreemptionStep::Throttle) {
        fleet.throttle(worker, command.share);
        engine_.setThrottleShare(engineIndices_[worker], command.share);
        return;
    }
    std::vector<Placement::EvictionCandidate> candidates;
    for (const Placement::RunningAttempt& running : engine_.batchAttempts(engineIndices_[worker])) {
        candidates.push_back({ running.attempt, running.milliProcessors, running.isCheckpointable,
            fleet.now() - running.startedAt, running.serviceSlowdown });
    }
    const auto chosen = controller_.chooseEviction(candidates, command.step);
    if (!chosen) {
        controller_.onNoEvictionCandidate(engineIndices_[worker]);
        return;
    }
    if (!controller_.tryReserveEviction(fleet.now()))
        return;
    engine_.markEvicting(candidates[*chosen].attempt);
    fleet.evict(candidates[*chosen].attempt / maxStartsPerTask, command.step);
}

void EngineStrategy::onUsage(SimulatedFleet& fleet, std::size_t worker, const Placement::WorkerUsage& usage)
{
    engine_.onUsage(engineIndices_[worker], usage);
    const auto command = controller_.onTailLatency(
        engineIndices_[worker], usage.latencyRatio.value_or(0), usage.measuredAt, fleet.now());
    if (command)
        preemptOn(fleet, worker, *command);
}

void EngineStrategy::onEnded(SimulatedFleet& fleet, std::size_t task, Placement::AttemptOutcome outcome)
{
    engine_.onEnded(makeRequest(fleet, task).attempt - 1, outcome, fleet.now());
}

void EngineStrategy::onWorkerStateChanged(SimulatedFleet& fleet, std::size_t worker, bool isLive)
{
    if (isLive) {
        addWorker(fleet, worker);
        return;
    }
    controller_.removeWorker(engineIndices_[worker]);
    engine_.removeWorker(engineIndices_[worker]);
}

} // namespace Bench
