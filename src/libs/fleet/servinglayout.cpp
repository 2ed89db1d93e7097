#include "servinglayout.h"

#include "interferenceview.h"
#include "job.h"
#include "relocation.h"
#include "tailmodel.h"
#include "worker.h"
#include "workercommitment.h"

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

// Images that are not known well enough differ by about half of what unlike ones do.
constexpr double unknownDistance = 0.3;
// A move interrupts a task for about a second; what it brings must be more than the error of the estimates.
constexpr double leastGain = 0.4;

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

Regrouping chooseRegrouping(const Worker& source, std::span<Worker* const> workers,
    const InterferenceView& view, Utils::Duration notice, Utils::TimePoint now)
{
    Regrouping best;
    double bestGain = leastGain;
    for (Task* task : source.tasks) {
        const bool isMovable = isServing(*task) && task->job->step(*task).lasting()
            && !task->job->step(*task).gang() && task->phase == TaskPhase::Running && task->percent >= 100;
        if (!isMovable)
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

} // namespace Fleet
