#include "taskgrouping.h"

#include "interferencecache.h"
#include "interferenceview.h"
#include "job.h"
#include "relocation.h"
#include "taillatencymodel.h"
#include "worker.h"
#include "workercommitment.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace Fleet {

namespace {

// Distance of images without reliable estimates, about half of the distance between dissimilar images.
constexpr double defaultDistance = 0.3;
// A move interrupts a task for about a second, so its gain must exceed the error of the estimates.
constexpr double minGain = 0.4;
// Factor on the capacity required on the other workers, because their free capacity is fragmented.
constexpr double spareCapacityFactor = 1.5;
// A worker that tolerates this share of the demand need not be freed by moves.
constexpr double maxToleratedDemand = 0.9;

InterferenceCache::Pressure pressureOf(
    const std::string& criticalImage, std::string_view colocated, const InterferenceView& view)
{
    if (!view.cache) {
        return { view.model.comparablePressure(view.model.pressure(criticalImage, colocated)),
            view.model.isPressureKnown(criticalImage, colocated) };
    }
    InterferenceCache::Pressure pressure = view.cache->pressure(criticalImage, colocated);
    pressure.value = view.model.comparablePressure(pressure.value);
    return pressure;
}

bool isLatencyCritical(const Task& task)
{
    return task.job->step(task).tail_target_ms() > 0;
}

double totalSensitivityDistance(const Task& task, const Worker& worker, const InterferenceView& view)
{
    double sum = 0;
    const std::string& image = task.job->step(task).image();
    for (const Task* other : worker.tasks) {
        if (other != &task && isLatencyCritical(*other))
            sum += sensitivityDistance(image, other->job->step(*other).image(), view);
    }
    return sum;
}

bool isMovable(const Task& task)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    return isLatencyCritical(task) && step.lasting() && !step.gang() && task.phase == TaskPhase::Running
        && task.progressPercent >= 100;
}

double criticalShare(const Worker& worker)
{
    return static_cast<double>(worker.criticalMilliProcessors)
        / static_cast<double>(std::max<std::int64_t>(1, worker.info.milliProcessors));
}

// Returns the worker with the smallest share of latency-critical tasks, or nullptr if the other workers
// lack the capacity for them.
const Worker* leastCriticalWorker(std::span<Worker* const> workers)
{
    const Worker* leastCritical = nullptr;
    std::int64_t freeMilliProcessors = 0;
    for (const Worker* worker : workers) {
        if (!worker->isUsable() || worker->criticalTaskCount == 0)
            continue;
        freeMilliProcessors += std::max<std::int64_t>(0, worker->available().milliProcessors);
        if (!leastCritical || criticalShare(*worker) < criticalShare(*leastCritical))
            leastCritical = worker;
    }
    if (!leastCritical)
        return nullptr;
    freeMilliProcessors -= std::max<std::int64_t>(0, leastCritical->available().milliProcessors);
    return freeMilliProcessors
            > spareCapacityFactor * static_cast<double>(leastCritical->criticalMilliProcessors)
        ? leastCritical
        : nullptr;
}

double computeSensitivityDistance(
    const std::string& first, const std::string& second, const InterferenceView& view)
{
    double distance = 0;
    double known = 0;
    for (const ImageShare& part : view.demand) {
        const InterferenceCache::Pressure ofFirst = pressureOf(first, part.image, view);
        const InterferenceCache::Pressure ofSecond = pressureOf(second, part.image, view);
        if (!ofFirst.isKnown || !ofSecond.isKnown)
            continue;
        known += part.share;
        distance += part.share * std::abs(ofFirst.value - ofSecond.value);
    }
    return distance + (1 - known) * defaultDistance;
}

double maxPressureOn(const Worker& worker, std::string_view colocated, const InterferenceView& view)
{
    if (view.cache)
        return view.model.comparablePressure(view.cache->maxPressure(worker, colocated));
    double maxPressure = 0;
    for (const Task* task : worker.tasks) {
        if (isLatencyCritical(*task))
            maxPressure
                = std::max(maxPressure, view.model.pressure(task->job->step(*task).image(), colocated));
    }
    return view.model.comparablePressure(maxPressure);
}

} // namespace

double sensitivityDistance(const std::string& first, const std::string& second, const InterferenceView& view)
{
    if (first == second)
        return 0;
    if (!view.cache)
        return computeSensitivityDistance(first, second, view);
    return view.cache->distance(
        first, second, [&] { return computeSensitivityDistance(first, second, view); });
}

double meanSensitivityDistance(const Task& task, const Worker& worker, const InterferenceView& view)
{
    return worker.criticalTaskCount == 0
        ? 0
        : totalSensitivityDistance(task, worker, view) / worker.criticalTaskCount;
}

double toleratedDemandShare(const Worker& worker, const InterferenceView& view)
{
    if (worker.criticalTaskCount == 0)
        return 1;
    const auto compute = [&] {
        view.spend(view.demand.size());
        double tolerated = 0;
        for (const ImageShare& part : view.demand)
            tolerated += part.share * std::max(0.0, 1 - maxPressureOn(worker, part.image, view));
        return tolerated;
    };
    return view.cache ? view.cache->toleratedDemand(worker, compute) : compute();
}

TaskMove chooseGroupingMove(const Worker& source, std::span<Worker* const> workers,
    const InterferenceView& view, Utils::Duration availabilityDelay, Utils::TimePoint now)
{
    TaskMove best;
    double bestGain = minGain;
    for (Task* task : source.tasks) {
        if (!isMovable(*task))
            continue;
        const double currentDistance = totalSensitivityDistance(*task, source, view);
        if (currentDistance <= bestGain)
            continue;
        view.spend(task->job->step(*task).count());
        if (!mayDisrupt(*task, availabilityDelay, now))
            continue;
        for (Worker* worker : workers) {
            if (view.isSpent())
                return best;
            view.spend(1 + worker->tasks.size());
            if (worker == &source || worker->reservedMilliProcessors > 0
                || !isRelocationTarget(*task, *worker))
                continue;
            const double gain = currentDistance - totalSensitivityDistance(*task, *worker, view);
            if (gain > bestGain) {
                best = { task, worker };
                bestGain = gain;
            }
        }
    }
    return best;
}

TaskMove chooseConsolidationMove(std::span<Worker* const> workers, const InterferenceView& view,
    Utils::Duration availabilityDelay, Utils::TimePoint now)
{
    TaskMove best;
    view.spend(workers.size());
    const Worker* const source = leastCriticalWorker(workers);
    if (!source || view.demand.empty() || toleratedDemandShare(*source, view) > maxToleratedDemand)
        return best;
    double bestDistance = 0;
    for (Task* task : source->tasks) {
        if (!isMovable(*task))
            continue;
        view.spend(task->job->step(*task).count());
        if (!mayDisrupt(*task, availabilityDelay, now))
            continue;
        for (Worker* worker : workers) {
            if (view.isSpent())
                return best;
            view.spend(1 + worker->tasks.size());
            if (worker == source || worker->criticalTaskCount == 0 || worker->reservedMilliProcessors > 0
                || criticalShare(*worker) <= criticalShare(*source) || !isRelocationTarget(*task, *worker))
                continue;
            const double distance = totalSensitivityDistance(*task, *worker, view);
            // If the distance were greater, chooseGroupingMove() could move the task again.
            if (distance < minGain && (!best.task || distance < bestDistance)) {
                best = { task, worker };
                bestDistance = distance;
            }
        }
    }
    return best;
}

} // namespace Fleet
