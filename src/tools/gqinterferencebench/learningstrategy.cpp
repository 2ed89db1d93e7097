#include "learningstrategy.h"

#include <placement/pendingorder.h>

#include <algorithm>

namespace Bench {

namespace {

constexpr std::size_t scanLimit = 60;
constexpr double roomSeconds = 3;
constexpr Placement::AttemptId firstReplica = 1ULL << 60;
constexpr Placement::AttemptId startsPerTask = 1ULL << 20;

Placement::PlacementEngine::Parameters parameters(bool allowsLessThanDeclared)
{
    Placement::PlacementEngine::Parameters chosen;
    chosen.batchProcessorsShare = 0.8;
    chosen.batchMemoryShare = 0.87;
    chosen.allowsLessThanDeclared = allowsLessThanDeclared;
    return chosen;
}

} // namespace

LearningStrategy::LearningStrategy(bool allowsLessThanDeclared)
    : title_(allowsLessThanDeclared ? "geraniumquay" : "geraniumquay, at least as declared")
    , engine_(parameters(allowsLessThanDeclared))
    , nextReplica_(firstReplica)
{
}

Placement::TaskRequest LearningStrategy::requestOf(const FakeFleet& fleet, std::size_t task) const
{
    const WorkTask& entry = fleet.task(task);
    Placement::TaskRequest request = entry.request;
    request.attempt = task * startsPerTask + entry.starts;
    return request;
}

void LearningStrategy::addWorker(FakeFleet& fleet, std::size_t worker)
{
    const FleetSize& size = fleet.truth().size();
    const std::size_t rack = worker / size.workersPerRack;
    indices_[worker] = engine_.addWorker({ "w" + std::to_string(worker), "region",
        "domain" + std::to_string(rack % 3), std::to_string(rack), size.capacity });
    workersByIndex_.resize(indices_[worker] + 1);
    workersByIndex_[indices_[worker]] = worker;
    Placement::TaskRequest replica;
    replica.attempt = nextReplica_++;
    replica.job = "service";
    replica.taskClass = "class0";
    replica.kind = Placement::TaskKind::Service;
    replica.declaredSize = fleet.truth().serviceSize();
    engine_.adopt(replica, { indices_[worker], replica.declaredSize }, fleet.now());
}

void LearningStrategy::begin(FakeFleet& fleet)
{
    indices_.resize(fleet.workerCount());
    for (std::size_t worker = 0; worker < fleet.workerCount(); ++worker)
        addWorker(fleet, worker);
}

std::vector<std::size_t> LearningStrategy::orderOf(const FakeFleet& fleet) const
{
    std::vector<std::pair<Placement::PendingOrder, std::size_t>> order;
    std::size_t plain = 0;
    for (const std::size_t task : fleet.waiting()) {
        const Placement::TaskRequest& request = fleet.task(task).request;
        const bool isPlain = request.rank > 0 && !request.deadline;
        if (isPlain && ++plain > scanLimit)
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

bool LearningStrategy::place(FakeFleet& fleet, std::size_t task)
{
    const auto placed = engine_.place(requestOf(fleet, task), fleet.now(), random_);
    if (!Utils::isOk(placed))
        return false;
    fleet.start(task, workersByIndex_[Utils::value(placed).worker]);
    return true;
}

void LearningStrategy::makeRoom(FakeFleet& fleet, std::size_t task)
{
    const auto made = roomMadeAt_.find(task);
    if (made != roomMadeAt_.end() && fleet.time() < made->second + roomSeconds)
        return;
    const auto plan = engine_.planEviction(requestOf(fleet, task), fleet.now(), random_);
    if (!plan)
        return;
    roomMadeAt_[task] = fleet.time();
    for (const Placement::AttemptId attempt : plan->attempts) {
        if (!controller_.tryReserveEviction(fleet.now()))
            continue;
        engine_.markEvicting(attempt);
        fleet.evict(attempt / startsPerTask, Placement::PreemptionStep::Checkpoint);
    }
}

void LearningStrategy::round(FakeFleet& fleet)
{
    std::size_t failed = 0;
    for (const std::size_t task : orderOf(fleet)) {
        const bool isUrgent = fleet.task(task).isUrgent;
        if (!isUrgent && failed >= scanLimit)
            break;
        if (place(fleet, task))
            continue;
        if (isUrgent)
            makeRoom(fleet, task);
        else
            ++failed;
    }
}

void LearningStrategy::preemptOn(
    FakeFleet& fleet, std::size_t worker, const Placement::PreemptionCommand& command)
{
    using Placement::PreemptionStep;
    if (command.step == PreemptionStep::Throttle) {
        fleet.throttle(worker, command.share);
        engine_.setThrottleShare(indices_[worker], command.share);
        return;
    }
    std::vector<Placement::EvictionCandidate> candidates;
    for (const Placement::RunningAttempt& running : engine_.batchAttempts(indices_[worker])) {
        candidates.push_back({ running.attempt, running.milliProcessors, running.isCheckpointable,
            fleet.now() - running.startedAt, running.serviceSlowdown });
    }
    const auto chosen = controller_.chooseEviction(candidates, command.step);
    if (!chosen) {
        controller_.onNoEvictionCandidate(indices_[worker]);
        return;
    }
    if (!controller_.tryReserveEviction(fleet.now()))
        return;
    engine_.markEvicting(candidates[*chosen].attempt);
    fleet.evict(candidates[*chosen].attempt / startsPerTask, command.step);
}

void LearningStrategy::onUsage(FakeFleet& fleet, std::size_t worker, const Placement::WorkerUsage& usage)
{
    engine_.onUsage(indices_[worker], usage);
    const auto command = controller_.onTailLatency(
        indices_[worker], usage.latencyRatio.value_or(0), usage.measuredAt, fleet.now());
    if (command)
        preemptOn(fleet, worker, *command);
}

void LearningStrategy::onEnded(FakeFleet& fleet, std::size_t task, Placement::AttemptOutcome end)
{
    engine_.onEnded(requestOf(fleet, task).attempt - 1, end, fleet.now());
}

void LearningStrategy::onWorker(FakeFleet& fleet, std::size_t worker, bool isLive)
{
    if (isLive) {
        addWorker(fleet, worker);
        return;
    }
    controller_.removeWorker(indices_[worker]);
    engine_.removeWorker(indices_[worker]);
}

} // namespace Bench
