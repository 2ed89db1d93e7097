#include "foresightstrategy.h"

#include <algorithm>
#include <cmath>

namespace Bench {

namespace {

constexpr std::size_t scanLimit = 30;
constexpr double targetRatio = 0.97;
constexpr double aheadSeconds[] = { 0, 60, 180 };
constexpr double shares[] = { 1, 0.75, 0.5, 0.25, 0.1, 0 };

} // namespace

void ForesightStrategy::begin(FakeFleet& fleet)
{
    processors_ = static_cast<double>(fleet.truth().size().capacity.milliProcessors) / 1000;
}

double ForesightStrategy::worstRatio(const FakeFleet& fleet, const Usage& usage) const
{
    double worst = 0;
    for (const double ahead : aheadSeconds) {
        const double at = fleet.time() + ahead;
        const double slowdown = fleet.truth().slowdown(0, usage, processors_, at);
        worst = std::max(worst, fleet.truth().latencyRatio(slowdown, at));
    }
    return worst;
}

bool ForesightStrategy::hasMemory(const FakeFleet& fleet, std::size_t worker, const WorkTask& task) const
{
    auto used = static_cast<double>(fleet.truth().serviceSize().memoryMb) + task.memoryMb;
    for (const std::size_t each : fleet.tasksOn(worker))
        used += fleet.task(each).memoryMb;
    return used <= static_cast<double>(fleet.truth().size().capacity.memoryMb);
}

bool ForesightStrategy::place(FakeFleet& fleet, std::size_t number)
{
    const WorkTask& task = fleet.task(number);
    std::size_t best = fleet.workerCount();
    double greatest = -1e9;
    for (std::size_t worker = 0; worker < fleet.workerCount(); ++worker) {
        if (!fleet.isLive(worker) || !hasMemory(fleet, worker, task))
            continue;
        Usage usage(GroundTruth::classCount, 0.0);
        usage[0] = fleet.truth().serviceProcessors(fleet.time());
        for (const std::size_t each : fleet.tasksOn(worker))
            usage[fleet.task(each).taskClass] += fleet.task(each).processors;
        double score = 0;
        const auto addRates = [&](double sign) {
            for (std::size_t each = 1; each < usage.size(); ++each) {
                if (usage[each] > 0)
                    score += sign * usage[each]
                        / fleet.truth().slowdown(each, usage, processors_, fleet.time());
            }
        };
        addRates(-1);
        usage[task.taskClass] += task.processors;
        addRates(1);
        const double ratio = worstRatio(fleet, usage);
        if (!task.isUrgent && (ratio > targetRatio || score <= 0))
            continue;
        if (score - ratio <= greatest)
            continue;
        greatest = score - ratio;
        best = worker;
    }
    if (best == fleet.workerCount())
        return false;
    fleet.start(number, best);
    return true;
}

void ForesightStrategy::setShares(FakeFleet& fleet)
{
    for (std::size_t worker = 0; worker < fleet.workerCount(); ++worker) {
        for (const double share : shares) {
            fleet.throttle(worker, share);
            const Usage usage = fleet.usage(worker);
            const double slowdown = fleet.truth().slowdown(0, usage, processors_, fleet.time());
            if (fleet.truth().latencyRatio(slowdown, fleet.time() + FakeFleet::stepSeconds) <= targetRatio)
                break;
        }
    }
}

void ForesightStrategy::round(FakeFleet& fleet)
{
    const bool isWholeSecond = std::fmod(fleet.time(), 1.0) == 0;
    std::vector<std::size_t> urgent;
    std::vector<std::size_t> timed;
    std::vector<std::size_t> plain;
    for (const std::size_t task : fleet.waiting()) {
        if (fleet.task(task).isUrgent)
            urgent.push_back(task);
        else if (fleet.task(task).deadlineAt > 0)
            timed.push_back(task);
        else if (plain.size() < scanLimit)
            plain.push_back(task);
    }
    const auto latestStart
        = [&fleet](std::size_t task) { return fleet.task(task).deadlineAt - fleet.task(task).runSeconds; };
    std::ranges::sort(timed, {}, latestStart);
    if (timed.size() > scanLimit)
        timed.resize(scanLimit);
    for (const std::size_t task : urgent)
        place(fleet, task);
    if (isWholeSecond) {
        for (const std::size_t task : timed)
            place(fleet, task);
        for (const std::size_t task : plain)
            place(fleet, task);
    }
    setShares(fleet);
}

} // namespace Bench
