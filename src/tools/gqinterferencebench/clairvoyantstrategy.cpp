#include "clairvoyantstrategy.h"

#include <algorithm>
#include <cmath>

namespace Bench {

namespace {

constexpr std::size_t maxScannedTasks = 30;
constexpr double targetLatencyRatio = 0.97;
constexpr double lookAheadSeconds[] = { 0, 60, 180 };
constexpr double throttleShares[] = { 1, 0.75, 0.5, 0.25, 0.1, 0 };

} // namespace

void ClairvoyantStrategy::initialize(SimulatedFleet& fleet)
{
    processors_ = static_cast<double>(fleet.truth().size().capacity.milliProcessors) / 1000;
}

double ClairvoyantStrategy::maxLatencyRatio(const SimulatedFleet& fleet, const ProcessorUsage& usage) const
{
    double maxRatio = 0;
    for (const double ahead : lookAheadSeconds) {
        const double at = fleet.time() + ahead;
        const double slowdown = fleet.truth().slowdown(0, usage, processors_, at);
        maxRatio = std::max(maxRatio, fleet.truth().latencyRatio(slowdown, at));
    }
    return maxRatio;
}

bool ClairvoyantStrategy::hasFreeMemory(
    const SimulatedFleet& fleet, std::size_t worker, const BenchTask& task) const
{
    auto used = static_cast<double>(fleet.truth().serviceSize().memoryMb) + task.memoryMb;
    for (const std::size_t each : fleet.tasksOn(worker))
        used += fleet.task(each).memoryMb;
    return used <= static_cast<double>(fleet.truth().size().capacity.memoryMb);
}

bool ClairvoyantStrategy::place(SimulatedFleet& fleet, std::size_t number)
{
    const BenchTask& task = fleet.task(number);
    std::size_t best = fleet.workerCount();
    double bestScore = -1e9;
    for (std::size_t worker = 0; worker < fleet.workerCount(); ++worker) {
        if (!fleet.isLive(worker) || !hasFreeMemory(fleet, worker, task))
            continue;
        ProcessorUsage usage(GroundTruth::classCount, 0.0);
        usage[0] = fleet.truth().serviceProcessors(fleet.time());
        for (const std::size_t each : fleet.tasksOn(worker))
            usage[fleet.task(each).taskClass] += fleet.task(each).processors;
        double score = 0;
        const auto addThroughput = [&](double sign) {
            for (std::size_t each = 1; each < usage.size(); ++each) {
                if (usage[each] > 0)
                    score += sign * usage[each]
                        / fleet.truth().slowdown(each, usage, processors_, fleet.time());
            }
        };
        addThroughput(-1);
        usage[task.taskClass] += task.processors;
        addThroughput(1);
        const double ratio = maxLatencyRatio(fleet, usage);
        if (!task.isUrgent && (ratio > targetLatencyRatio || score <= 0))
            continue;
        if (score - ratio <= bestScore)
            continue;
        bestScore = score - ratio;
        best = worker;
    }
    if (best == fleet.workerCount())
        return false;
    fleet.start(number, best);
    return true;
}

void ClairvoyantStrategy::throttleWorkers(SimulatedFleet& fleet)
{
    for (std::size_t worker = 0; worker < fleet.workerCount(); ++worker) {
        for (const double share : throttleShares) {
            fleet.throttle(worker, share);
            const ProcessorUsage usage = fleet.usage(worker);
            const double slowdown = fleet.truth().slowdown(0, usage, processors_, fleet.time());
            if (fleet.truth().latencyRatio(slowdown, fleet.time() + SimulatedFleet::stepSeconds)
                <= targetLatencyRatio)
                break;
        }
    }
}

void ClairvoyantStrategy::runRound(SimulatedFleet& fleet)
{
    const bool isWholeSecond = std::fmod(fleet.time(), 1.0) == 0;
    std::vector<std::size_t> urgentTasks;
    std::vector<std::size_t> deadlineTasks;
    std::vector<std::size_t> otherTasks;
    for (const std::size_t task : fleet.waitingTasks()) {
        if (fleet.task(task).isUrgent)
            urgentTasks.push_back(task);
        else if (fleet.task(task).deadlineAt > 0)
            deadlineTasks.push_back(task);
        else if (otherTasks.size() < maxScannedTasks)
            otherTasks.push_back(task);
    }
    const auto latestStart
        = [&fleet](std::size_t task) { return fleet.task(task).deadlineAt - fleet.task(task).runSeconds; };
    std::ranges::sort(deadlineTasks, {}, latestStart);
    if (deadlineTasks.size() > maxScannedTasks)
        deadlineTasks.resize(maxScannedTasks);
    for (const std::size_t task : urgentTasks)
        place(fleet, task);
    if (isWholeSecond) {
        for (const std::size_t task : deadlineTasks)
            place(fleet, task);
        for (const std::size_t task : otherTasks)
            place(fleet, task);
    }
    throttleWorkers(fleet);
}

} // namespace Bench
