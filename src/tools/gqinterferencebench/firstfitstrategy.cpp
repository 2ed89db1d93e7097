#include "firstfitstrategy.h"

#include <algorithm>
#include <utility>

namespace Bench {

namespace {

constexpr std::size_t maxScannedTasks = 60; // Maximum of non-urgent tasks considered per round.

} // namespace

FirstFitStrategy::FirstFitStrategy(std::string title, double batchShare, bool evictsAboveThreshold)
    : title_(std::move(title))
    , batchShare_(batchShare)
    , evictsAboveThreshold_(evictsAboveThreshold)
{
}

void FirstFitStrategy::initialize(SimulatedFleet& fleet)
{
    const Placement::Resources& capacity = fleet.truth().size().capacity;
    const Placement::Resources remaining = capacity - fleet.truth().serviceSize();
    const Placement::Resources capped { static_cast<std::int64_t>(
                                            static_cast<double>(capacity.milliProcessors) * batchShare_),
        static_cast<std::int64_t>(static_cast<double>(capacity.memoryMb) * batchShare_), 0 };
    const Placement::Resources batchCapacity { std::min(remaining.milliProcessors, capped.milliProcessors),
        std::min(remaining.memoryMb, capped.memoryMb), 0 };
    available_.assign(fleet.workerCount(), batchCapacity);
}

bool FirstFitStrategy::place(SimulatedFleet& fleet, std::size_t task)
{
    const Placement::Resources& size = fleet.task(task).request.declaredSize;
    for (std::size_t worker = 0; worker < available_.size(); ++worker) {
        if (!fleet.isLive(worker) || !size.fitsIn(available_[worker]))
            continue;
        available_[worker] -= size;
        fleet.start(task, worker);
        return true;
    }
    return false;
}

void FirstFitStrategy::runRound(SimulatedFleet& fleet)
{
    std::vector<std::size_t> order;
    std::size_t count = 0;
    for (const std::size_t task : fleet.waitingTasks()) {
        if (fleet.task(task).isUrgent)
            order.insert(order.begin(), task);
        else if (++count <= maxScannedTasks)
            order.push_back(task);
    }
    for (const std::size_t task : order)
        place(fleet, task);
}

void FirstFitStrategy::onUsage(SimulatedFleet& fleet, std::size_t worker, const Placement::WorkerUsage& usage)
{
    if (!evictsAboveThreshold_ || usage.latencyRatio.value_or(0) <= 1)
        return;
    const std::vector<std::size_t>& tasks = fleet.tasksOn(worker);
    if (!tasks.empty())
        fleet.evict(tasks.back(), Placement::PreemptionStep::Checkpoint);
}

void FirstFitStrategy::onEnded(SimulatedFleet& fleet, std::size_t task, Placement::AttemptOutcome outcome)
{
    (void)outcome;
    available_[fleet.task(task).worker] += fleet.task(task).request.declaredSize;
}

} // namespace Bench
