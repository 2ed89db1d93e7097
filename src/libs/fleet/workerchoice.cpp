#include "workerchoice.h"

#include "job.h"
#include "worker.h"
#include "workercommitment.h"

#include <algorithm>

namespace Fleet {

namespace {

// Weights of a cost in units of a whole worker. An undesirable neighbour outweighs any difference in free
// room.
constexpr double interferenceWeight = 3.0;
constexpr double wastedRoomWeight = 0.5;
constexpr double sameStepWeight = 0.05;
constexpr double slownessWeight = 1.0;
constexpr double retryOnSameWorkerWeight = 10.0;

bool hasLabel(const Worker& worker, const std::string& label)
{
    return label.empty()
        || std::find(worker.info.labels.begin(), worker.info.labels.end(), label) != worker.info.labels.end();
}

std::uint32_t countSameStep(const Task& task, const Worker& worker)
{
    return static_cast<std::uint32_t>(
        std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const Task* other) {
            return other->job == task.job && other->step == task.step && other->occurrence == task.occurrence;
        }));
}

bool isAllowed(const Task& task, const Worker& worker, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (!worker.isUsable() || worker.info.service != task.job->spec.service())
        return false;
    if (!hasLabel(worker, step.required_label()) || !committedSize(step).fitsIn(worker.available()))
        return false;
    // A task larger than its worker would wait for ever, so an empty one takes it.
    if (step.leftover_processors() && worker.filling > 0 && step.milli_processors() > worker.leftover())
        return false;
    if (worker.asideFor == Utils::Duration::zero())
        return true;
    // A worker set aside is probed with one task that has not failed yet.
    return now >= worker.asideUntil && worker.tasks.empty() && task.failures == 0;
}

// Tasks with a latency target gather on the fullest worker that still has room and no disturbing work.
double servingCost(const Worker& worker)
{
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, worker.info.milliProcessors));
    const double usedShare = static_cast<double>(worker.used.milliProcessors) / capacity;
    return -usedShare + (worker.filling > 0 ? interferenceWeight : 0)
        + (worker.servingTasks > 0 ? 0 : wastedRoomWeight);
}

double fillingCost(const Worker& worker)
{
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, worker.info.milliProcessors));
    return 1 - static_cast<double>(worker.leftover()) / capacity
        + (worker.servingTasks > 0 ? interferenceWeight : 0);
}

double plainCost(const Worker& worker)
{
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, worker.info.milliProcessors));
    return 1 - static_cast<double>(worker.leftover()) / capacity
        + (worker.servingTasks > 0 ? 0 : wastedRoomWeight);
}

double costOf(const Task& task, const Worker& worker, std::uint32_t sameStep)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    double cost = slownessWeight * std::max(0.0, worker.slowness - 1) + sameStepWeight * sameStep;
    if (worker.info.id == task.lastFailedOn)
        cost += retryOnSameWorkerWeight;
    if (step.tail_target_ms() > 0)
        return cost + servingCost(worker);
    return cost + (step.leftover_processors() ? fillingCost(worker) : plainCost(worker));
}

} // namespace

Worker* chooseWorker(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now)
{
    const std::uint32_t maxPerWorker = task.job->step(task).max_per_worker();
    Worker* best = nullptr;
    double bestCost = 0;
    for (Worker* worker : workers) {
        if (!isAllowed(task, *worker, now))
            continue;
        const std::uint32_t sameStep = countSameStep(task, *worker);
        if (maxPerWorker > 0 && sameStep >= maxPerWorker)
            continue;
        const double cost = costOf(task, *worker, sameStep);
        if (!best || cost < bestCost) {
            best = worker;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace Fleet
