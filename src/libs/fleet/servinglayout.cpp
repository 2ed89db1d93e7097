#include "servinglayout.h"

#include "interferenceview.h"
#include "job.h"
#include "relocation.h"
#include "tailmodel.h"
#include "worker.h"
#include "workercommitment.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace Fleet {

namespace {

// Images that are not known well enough differ by about half of what unlike ones do.
constexpr double unknownDistance = 0.3;
// A move interrupts a task for about a second; what it brings must be more than the error of the estimates.
constexpr double leastGain = 0.4;
// Room that the other workers must have for what a worker's serving tasks take, as it is in pieces.
constexpr double spareRoom = 1.5;
// With so much of the work undisturbing, an empty worker is worth no moves.
constexpr double greatestOpenness = 0.9;

bool isServing(const Task& task)
{
    return task.job->step(task).tail_target_ms() > 0;
}

double distanceSum(const Task& task, const Worker& worker, const InterferenceView& view)
{
    double sum = 0;
    const std::string& image = task.job->step(task).image();
    for (const Task* other : worker.tasks) {
        if (other != &task && isServing(*other))
            sum += sensitivityDistance(image, other->job->step(*other).image(), view);
    }
    return sum;
}

bool isMovable(const Task& task)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    return isServing(task) && step.lasting() && !step.gang() && task.phase == TaskPhase::Running
        && task.percent >= 100;
}

double servingShare(const Worker& worker)
{
    return static_cast<double>(worker.servingProcessors)
        / static_cast<double>(std::max<std::int64_t>(1, worker.info.milliProcessors));
}

// The worker whose serving tasks take least of it, if the others have room for them.
const Worker* sparsestWorker(std::span<Worker* const> workers)
{
    const Worker* sparsest = nullptr;
    std::int64_t room = 0;
    for (const Worker* worker : workers) {
        if (!worker->isUsable() || worker->servingTasks == 0)
            continue;
        room += std::max<std::int64_t>(0, worker->available().milliProcessors);
        if (!sparsest || servingShare(*worker) < servingShare(*sparsest))
            sparsest = worker;
    }
    if (!sparsest)
        return nullptr;
    room -= std::max<std::int64_t>(0, sparsest->available().milliProcessors);
    return room > spareRoom * static_cast<double>(sparsest->servingProcessors) ? sparsest : nullptr;
}

} // namespace

double sensitivityDistance(const std::string& first, const std::string& second, const InterferenceView& view)
{
    if (first == second)
        return 0;
    double distance = 0;
    double known = 0;
    for (const ImageShare& part : view.demand) {
        if (!view.model.isKnown(first, part.image) || !view.model.isKnown(second, part.image))
            continue;
        known += part.share;
        distance += part.share
            * std::abs(view.model.pressure(first, part.image) - view.model.pressure(second, part.image));
    }
    return distance + (1 - known) * unknownDistance;
}

double distanceTo(const Task& task, const Worker& worker, const InterferenceView& view)
{
    return worker.servingTasks == 0 ? 0 : distanceSum(task, worker, view) / worker.servingTasks;
}

double opennessOf(const Worker& worker, const InterferenceView& view)
{
    if (worker.servingTasks == 0)
        return 1;
    std::set<std::string_view> images;
    for (const Task* task : worker.tasks) {
        if (isServing(*task))
            images.insert(task->job->step(*task).image());
    }
    double open = 0;
    for (const ImageShare& part : view.demand) {
        double pressure = 0;
        for (const std::string_view image : images)
            pressure = std::max(pressure, view.model.pressure(std::string(image), part.image));
        open += part.share * std::max(0.0, 1 - pressure);
    }
    return open;
}

Regrouping chooseRegrouping(const Worker& source, std::span<Worker* const> workers,
    const InterferenceView& view, Utils::Duration notice, Utils::TimePoint now)
{
    Regrouping best;
    double bestGain = leastGain;
    for (Task* task : source.tasks) {
        if (!isMovable(*task))
            continue;
        const double present = distanceSum(*task, source, view);
        if (present <= bestGain || !mayDisrupt(*task, notice, now))
            continue;
        for (Worker* worker : workers) {
            if (worker == &source || worker->reserved > 0 || !isRelocationTarget(*task, *worker))
                continue;
            const double gain = present - distanceSum(*task, *worker, view);
            if (gain > bestGain) {
                best = { task, worker };
                bestGain = gain;
            }
        }
    }
    return best;
}

Regrouping chooseConsolidation(std::span<Worker* const> workers, const InterferenceView& view,
    Utils::Duration notice, Utils::TimePoint now)
{
    Regrouping best;
    const Worker* const source = sparsestWorker(workers);
    if (!source || view.demand.empty() || opennessOf(*source, view) > greatestOpenness)
        return best;
    double bestDistance = 0;
    for (Task* task : source->tasks) {
        if (!isMovable(*task) || !mayDisrupt(*task, notice, now))
            continue;
        for (Worker* worker : workers) {
            if (worker == source || worker->servingTasks == 0 || worker->reserved > 0
                || servingShare(*worker) <= servingShare(*source) || !isRelocationTarget(*task, *worker))
                continue;
            const double distance = distanceSum(*task, *worker, view);
            // Else it would be moved again for like sensitivity.
            if (distance < leastGain && (!best.task || distance < bestDistance)) {
                best = { task, worker };
                bestDistance = distance;
            }
        }
    }
    return best;
}

} // namespace Fleet
