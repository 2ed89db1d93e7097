#include "workerchoice.h"

#include "job.h"
#include "worker.h"

#include <algorithm>

namespace Fleet {

namespace {

// Weights of a score in units of a whole worker: an undesirable neighbour outweighs any difference in free room.
constexpr double interferenceWeight = 1.5;
constexpr double sameStepWeight = 0.4;
constexpr double slownessWeight = 1.0;
constexpr double retryOnSameWorkerWeight = 10.0;

struct Neighbours {
    int serving = 0;
    int filling = 0;
    std::uint32_t sameStep = 0;
};

Neighbours neighboursOf(const Task& task, const Worker& worker)
{
    Neighbours neighbours;
    for (const Task* other : worker.tasks) {
        if (other->job->step(*other).tail_target_ms() > 0)
            ++neighbours.serving;
        else
            ++neighbours.filling;
        if (other->job == task.job && other->step == task.step && other->occurrence == task.occurrence)
            ++neighbours.sameStep;
    }
    return neighbours;
}

bool hasLabel(const Worker& worker, const std::string& label)
{
    return label.empty()
        || std::find(worker.info.labels.begin(), worker.info.labels.end(), label)
        != worker.info.labels.end();
}

bool isAllowed(const Task& task, const Worker& worker, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (!worker.isUsable() || worker.info.service != task.job->spec.service())
        return false;
    if (!hasLabel(worker, step.required_label()) || !committedSize(step).fitsIn(worker.available()))
        return false;
    if (worker.asideFor == Utils::Duration::zero())
        return true;
    // A worker set aside is probed with one task that has not failed yet.
    return now >= worker.asideUntil && worker.tasks.empty() && task.failures == 0;
}

double score(const Task& task, const Worker& worker, const Neighbours& neighbours)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, worker.info.milliProcessors));
    const double usedShare = static_cast<double>(worker.used.milliProcessors) / capacity;
    double cost = usedShare + slownessWeight * std::max(0.0, worker.slowness - 1)
        + sameStepWeight * neighbours.sameStep;
    if (worker.info.id == task.lastFailedOn)
        cost += retryOnSameWorkerWeight;
    if (step.tail_target_ms() == 0 && neighbours.serving > 0)
        cost += interferenceWeight;
    if (step.tail_target_ms() > 0 && neighbours.serving == 0)
        cost += interferenceWeight * std::min(1, neighbours.filling);
    return cost;
}

} // namespace

Placement::Resources committedSize(const FleetSchema::StepSpec& step)
{
    return { step.leftover_processors() ? 0 : step.milli_processors(), step.memory_mb(), step.accelerators() };
}

Worker* chooseWorker(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now)
{
    const std::uint32_t maxPerWorker = task.job->step(task).max_per_worker();
    Worker* best = nullptr;
    double bestCost = 0;
    for (Worker* worker : workers) {
        if (!isAllowed(task, *worker, now))
            continue;
        const Neighbours neighbours = neighboursOf(task, *worker);
        if (maxPerWorker > 0 && neighbours.sameStep >= maxPerWorker)
            continue;
        const double cost = score(task, *worker, neighbours);
        if (!best || cost < bestCost) {
            best = worker;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace Fleet
