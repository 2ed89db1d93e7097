#include "sharedload.h"

#include "interference.h"
#include "job.h"
#include "taillatencymodel.h"
#include "worker.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Reports come more often than the measurements change, which are means of half a second.
constexpr milliseconds measurementInterval { 450 };
// Measurements still contain what an ended best-effort task has added, but no report lists it.
constexpr milliseconds endSettlingTime { 600 };
// Older measurements of other tasks do not show the load of this moment.
constexpr milliseconds maxMeasurementAge { 1100 };
// Of the utilizations that the tasks of a step suggest, this quantile is taken: above the median, as unknown
// pressures that are assumed too high lower some of them, and below those of tasks beside a pressure that is
// not known yet.
constexpr double ownQuantile = 0.7;
// Bounds the work for a report; more tasks would hardly make the quantile more certain.
constexpr std::size_t maxComparedTasks = 64;
// Smaller shares say nothing about pressures.
constexpr double minSampleShare = 0.02;
// Above this utilization a queue is overloaded, so its tail latency is a lower bound of what is added.
constexpr double overload = 0.9;
// Weight of a sample whose own utilization is only known as the mean of a cycle.
constexpr double uncertainSampleWeight = 0.1;
// Part of the way to the load's peak that is left free for a best-effort task, which runs for a part of the
// load's cycle and is throttled at the peak.
constexpr double peakShare = 0.5;

bool hasMeasurement(const Task& task)
{
    return task.job->step(task).tail_target_ms() > 0 && task.phase == TaskPhase::Running
        && task.progressPercent >= 100 && task.reportedLoad > 0;
}

// Notes when a best-effort attempt was last found to be gone.
void noteEnds(Worker& worker, Utils::TimePoint now)
{
    std::vector<RunningBestEffort> running;
    for (const Task* task : worker.tasks) {
        if (task->job->step(*task).leftover_processors() && task->phase == TaskPhase::Running
            && task->reportedLoad > 0)
            running.push_back({ task, task->attempt });
    }
    const bool hasEnded = std::any_of(worker.runningBestEffort.begin(), worker.runningBestEffort.end(),
        [&](const RunningBestEffort& former) {
            return std::find(running.begin(), running.end(), former) == running.end();
        });
    if (hasEnded)
        worker.bestEffortEndedAt = now;
    worker.runningBestEffort = std::move(running);
}

/*! Own utilization of the tasks of a step. */
struct OwnUtilization {
    double value = 0;
    std::size_t taskCount = 0; //!< Number of tasks that show it.
};

// The task itself must have a measurement of now.
OwnUtilization ownUtilizationOfStep(const Task& task, Utils::TimePoint now)
{
    const std::size_t taskCount = task.job->step(task).count();
    const Task* const first = &task - task.index;
    std::vector<double> values;
    for (std::size_t offset = 0; offset < std::min(taskCount, maxComparedTasks); ++offset) {
        const Task& other = first[(task.index + offset) % taskCount];
        if (hasMeasurement(other) && now - other.measuredAt < maxMeasurementAge)
            values.push_back(std::max(0.0, other.totalUtilization - other.addedUtilization));
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto quantile = values.begin() + static_cast<std::ptrdiff_t>(last * ownQuantile);
    std::nth_element(values.begin(), quantile, values.end());
    return { *quantile, values.size() };
}

// Updates the model with a measurement of a task, beside \p colocated, that was not used yet.
void learn(const Task& task, double formerTotal, std::span<const ImageShare> colocated,
    const OwnUtilization& own, TailLatencyModel& model)
{
    double share = 0;
    for (const ImageShare& part : colocated)
        share += part.share;
    // After an overload, the queue is emptied first, whatever runs beside it.
    const bool hasBacklog = formerTotal > overload && task.totalUtilization < formerTotal;
    const bool isBound
        = task.totalUtilization > overload && own.value + task.addedUtilization >= task.totalUtilization;
    if (share < minSampleShare || hasBacklog || isBound)
        return;
    const bool isOwnKnown = own.taskCount > 1;
    const double ownUtilization = isOwnKnown ? own.value : task.job->stepLoads.at(task.step).mean();
    model.addColocationSample(task.job->step(task).image(), colocated, task.totalUtilization - ownUtilization,
        isOwnKnown ? 1 : uncertainSampleWeight);
}

std::optional<OverTargetCause> causeOf(const Task& task, double own, const TailLatencyModel& model)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (task.reportedLoad <= static_cast<std::int64_t>(step.tail_target_ms()))
        return std::nullopt;
    const double limit = model.utilizationLimit(step.image(), step.tail_target_ms());
    if (own > limit)
        return OverTargetCause::OwnLoad;
    return own + task.addedUtilization > limit ? OverTargetCause::Colocated : OverTargetCause::Unexpected;
}

} // namespace

void processSharedLoads(Worker& worker, TailLatencyModel& model, Utils::TimePoint now)
{
    noteEnds(worker, now);
    const bool isNewMeasurement = now - worker.measurementsUsedAt >= measurementInterval;
    const bool isSettled = now - worker.bestEffortEndedAt >= endSettlingTime;
    const std::vector<ImageShare> colocated = reportedShares(worker);
    for (Task* task : worker.tasks) {
        if (!hasMeasurement(*task))
            continue;
        const std::string& image = task->job->step(*task).image();
        const double formerTotal = task->totalUtilization;
        model.addTailLatency(image, static_cast<double>(task->reportedLoad));
        task->totalUtilization = model.utilization(image, static_cast<double>(task->reportedLoad));
        task->addedUtilization = model.addedUtilization(image, colocated);
        task->measuredAt = now;
        StepLoad& load = task->job->stepLoads[task->step];
        // Measurements of different workers change at different moments, so each report makes the load more
        // current.
        const OwnUtilization own = ownUtilizationOfStep(*task, now);
        load.add(now, own.value);
        if (isNewMeasurement)
            model.count(causeOf(*task, own.value, model));
        if (isNewMeasurement && isSettled)
            learn(*task, formerTotal, colocated, own, model);
        task->ownUtilizationSoon = load.soon();
        task->ownUtilization
            = load.soon() + peakShare * std::max(0.0, load.peak(now) - task->ownUtilizationSoon);
        task->sharesLoad = true;
        noteTarget(*task, now);
    }
    if (isNewMeasurement)
        worker.measurementsUsedAt = now;
}

} // namespace Fleet
