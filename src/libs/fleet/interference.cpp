#include "interference.h"

#include "job.h"
#include "worker.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Weight of the latest sample in the estimate of a task's own utilization. It is large because the task's
// load changes within about ten seconds.
constexpr double ownUtilizationGain = 0.4;
// Utilization kept free when a task is placed, as the latency-critical task's own load may rise while it
// runs.
constexpr double placementMargin = 0.15;
// Utilization kept free when speeds are chosen.
constexpr double throttlingMargin = 0.05;
// Speeds change in steps of this size, so that small changes of the load cause no commands.
constexpr int speedStepPercent = 25;
// Utilization kept free beside a task whose own utilization is known: measurements are in whole milliseconds.
constexpr double sharedLoadMargin = 0.02;
// Time for which a latency-critical task may be over its target. After that, all best-effort tasks on its
// worker are throttled to zero, whatever the model predicts.
constexpr milliseconds overTargetTolerance { 2200 };
// A task that was over its target counts as under it again when its tail latency is below this share of the
// target. Reported tail latencies are rough and in whole milliseconds.
constexpr double recoveredShare = 0.95;
// Utilization below which the interference of a task is ignored; throttling the task would have no effect.
constexpr double negligibleUtilization = 0.01;

const std::string& imageOf(const Task& task)
{
    return task.job->step(task).image();
}

bool isLatencyCritical(const Task& task)
{
    return task.job->step(task).tail_target_ms() > 0;
}

bool isBestEffort(const Task& task)
{
    return task.job->step(task).leftover_processors();
}

double utilizationLimitOf(const Task& task, const TailLatencyModel& model)
{
    return model.utilizationLimit(imageOf(task), task.job->step(task).tail_target_ms());
}

} // namespace

std::vector<ImageShare> reportedShares(const Worker& worker)
{
    std::vector<ImageShare> shares;
    for (const Task* task : worker.tasks) {
        if (!isBestEffort(*task) || task->phase != TaskPhase::Running || task->reportedLoad <= 0)
            continue;
        shares.push_back({ imageOf(*task),
            static_cast<double>(task->reportedLoad) / static_cast<double>(worker.info.milliProcessors) });
    }
    return shares;
}

double shareOf(const FleetSchema::StepSpec& step, const Worker& worker)
{
    return static_cast<double>(step.milli_processors())
        / static_cast<double>(std::max<std::int64_t>(1, worker.info.milliProcessors));
}

std::vector<ImageShare> commandedShares(const Worker& worker)
{
    std::vector<ImageShare> shares;
    for (const Task* task : worker.tasks) {
        if (isBestEffort(*task))
            shares.push_back(
                { imageOf(*task), shareOf(task->job->step(*task), worker) * task->speedPercent / 100 });
    }
    return shares;
}

double marginAtSpeed(const Task& critical, double speed, double variation)
{
    if (critical.sharesLoad)
        return sharedLoadMargin + variation;
    return speed < 1 ? throttlingMargin : placementMargin;
}

bool isNoticeable(double addedUtilization)
{
    return addedUtilization > negligibleUtilization;
}

void processTailLatencies(Worker& worker, TailLatencyModel& model, Utils::TimePoint now)
{
    const std::vector<ImageShare> colocated = reportedShares(worker);
    for (Task* task : worker.tasks) {
        if (!isLatencyCritical(*task) || task->phase != TaskPhase::Running || task->progressPercent < 100
            || task->reportedLoad <= 0)
            continue;
        model.addSample(imageOf(*task), colocated, static_cast<double>(task->reportedLoad));
        const double total = model.utilization(imageOf(*task), static_cast<double>(task->reportedLoad));
        const double own = std::max(0.0, total - model.addedUtilization(imageOf(*task), colocated));
        task->ownUtilization += ownUtilizationGain * (own - task->ownUtilization);
        noteTarget(*task, now);
    }
}

void noteTarget(Task& task, Utils::TimePoint now)
{
    const double target = task.job->step(task).tail_target_ms();
    const double reported = static_cast<double>(task.reportedLoad);
    if (reported <= target * recoveredShare)
        task.overTargetSince = {};
    else if (reported > target && task.overTargetSince == Utils::TimePoint {})
        task.overTargetSince = now;
}

double headroomAfterAdding(const Worker& worker, const FleetSchema::StepSpec& step,
    const TailLatencyModel& model, double speed, double variation)
{
    if (worker.criticalTaskCount == 0)
        return 1;
    const std::vector<ImageShare> colocated = commandedShares(worker);
    const double share = shareOf(step, worker) * speed;
    double minHeadroom = 1;
    for (const Task* task : worker.tasks) {
        if (!isLatencyCritical(*task))
            continue;
        const double added = share * model.pressure(imageOf(*task), step.image());
        if (!isNoticeable(added))
            continue;
        const double total = model.addedUtilization(imageOf(*task), colocated) + added;
        minHeadroom = std::min(minHeadroom,
            utilizationLimitOf(*task, model) - marginAtSpeed(*task, speed, variation * total)
                - task->ownUtilization - total);
    }
    return minHeadroom;
}

bool isPersistentlyOverTarget(const Task& task, Utils::TimePoint now)
{
    return task.overTargetSince != Utils::TimePoint {} && now - task.overTargetSince > overTargetTolerance;
}

double maxAddedUtilization(
    const Worker& worker, const FleetSchema::StepSpec& step, const TailLatencyModel& model)
{
    double maxPressure = 0;
    for (const Task* task : worker.tasks) {
        if (isLatencyCritical(*task))
            maxPressure = std::max(maxPressure, model.pressure(imageOf(*task), step.image()));
    }
    return maxPressure * shareOf(step, worker);
}

std::vector<SpeedChange> chooseSpeeds(
    const Worker& worker, const TailLatencyModel& model, Utils::TimePoint now)
{
    std::vector<SpeedChange> changes;
    for (Task* task : worker.tasks) {
        if (isBestEffort(*task) && task->phase == TaskPhase::Running)
            changes.push_back({ task, 100 });
    }
    if (changes.empty())
        return changes;
    for (const Task* critical : worker.tasks) {
        if (!isLatencyCritical(*critical) || critical->phase != TaskPhase::Running)
            continue;
        const double variation = critical->sharesLoad ? 1 + pressureVariation : 1;
        const auto contribution = [&](const SpeedChange& change) {
            return variation * shareOf(change.task->job->step(*change.task), worker)
                * model.pressure(imageOf(*critical), imageOf(*change.task));
        };
        std::sort(changes.begin(), changes.end(), [&](const SpeedChange& left, const SpeedChange& right) {
            return contribution(left) > contribution(right);
        });
        const bool mustThrottleToZero = isPersistentlyOverTarget(*critical, now);
        double excess = critical->sharesLoad ? critical->ownUtilizationSoon + sharedLoadMargin
                                             : critical->ownUtilization + throttlingMargin;
        excess -= utilizationLimitOf(*critical, model);
        for (const SpeedChange& change : changes)
            excess += contribution(change) * change.speedPercent / 100;
        for (SpeedChange& change : changes) {
            if (mustThrottleToZero) {
                change.speedPercent = 0;
                continue;
            }
            while (excess > 0 && change.speedPercent > 0 && contribution(change) > negligibleUtilization) {
                change.speedPercent -= speedStepPercent;
                excess -= contribution(change) * speedStepPercent / 100;
            }
        }
    }
    std::erase_if(
        changes, [](const SpeedChange& change) { return change.speedPercent == change.task->speedPercent; });
    return changes;
}

} // namespace Fleet
