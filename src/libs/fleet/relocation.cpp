#include "relocation.h"

#include "job.h"
#include "stepbudget.h"
#include "worker.h"
#include "workerchoice.h"
#include "workercommitment.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Fleet {

namespace {

std::uint32_t countOtherTasksOfStep(const Task& task, const Worker& worker)
{
    return static_cast<std::uint32_t>(
        std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const Task* other) {
            return other != &task && other->job == task.job && other->step == task.step
                && other->occurrence == task.occurrence;
        }));
}

bool isEligible(const Task& task, const Worker& worker, bool isOpen)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    const auto& labels = worker.info.labels;
    const bool hasLabel = step.required_label().empty()
        || std::find(labels.begin(), labels.end(), step.required_label()) != labels.end();
    const bool respectsSpread
        = step.max_per_worker() == 0 || countOtherTasksOfStep(task, worker) < step.max_per_worker();
    return worker.isUsable() && isOpen && hasLabel && respectsSpread
        && worker.info.service == task.job->spec.service();
}

bool isQuarantined(const Worker& worker)
{
    return worker.quarantineTime != Utils::Duration::zero();
}

/*! What a plan may do. */
struct PlanTerms {
    Utils::Duration availabilityDelay {};
    Utils::TimePoint now {};
    bool mayProbe = false; //!< The plan may use quarantined workers that may be probed.
    StepBudget& steps;

    bool allows(const Task& task, const Worker& worker) const
    {
        steps.spend(StepKind::Relocation, 1 + worker.tasks.size());
        return isEligible(
            task, worker, !isQuarantined(worker) || (mayProbe && isProbeDue(worker, now, &task)));
    }
};

/*! Moves that make enough free capacity on one worker. */
struct RelocationPlan {
    Task* firstTask = nullptr; //!< Null if there is no such plan.
    std::size_t moveCount = 0;
    Placement::Resources size; //!< Total size of the moved tasks.

    friend bool operator<(const RelocationPlan& left, const RelocationPlan& right)
    {
        return left.moveCount < right.moveCount
            || (left.moveCount == right.moveCount && left.size < right.size);
    }
};

} // namespace

bool mayDisrupt(const Task& task, Utils::Duration availabilityDelay, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (!step.has_disruption_budget())
        return true;
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < step.count(); ++index) {
        const Task* other = task.job->findTask(task.occurrence, task.step, index);
        const bool isAvailable = other->phase == TaskPhase::Running && other->progressPercent >= 100
            && now - other->startedAt > availabilityDelay;
        if (other != &task && !isAvailable)
            ++unavailable;
    }
    return unavailable < step.disruption_budget();
}

namespace {

// Each move takes a second or more. With more moves, the capacity freed first could be lost meanwhile.
constexpr std::size_t maxMoves = 3;

std::vector<Task*> movableTasks(const Worker& worker, const PlanTerms& terms)
{
    std::vector<Task*> movable;
    for (Task* task : worker.tasks) {
        const FleetSchema::StepSpec& step = task->job->step(*task);
        terms.steps.spend(StepKind::Relocation, step.has_disruption_budget() ? step.count() : 1);
        if (step.lasting() && !step.gang() && task->phase == TaskPhase::Running
            && mayDisrupt(*task, terms.availabilityDelay, terms.now))
            movable.push_back(task);
    }
    std::sort(movable.begin(), movable.end(), [](const Task* left, const Task* right) {
        return committedSize(left->job->step(*left)) < committedSize(right->job->step(*right));
    });
    return movable;
}

// Reserves capacity for a task on another worker in \p freeCapacities. Returns false if it fits on none.
bool reserveElsewhere(const Task& task, const Worker& source, std::span<Worker* const> workers,
    const PlanTerms& terms, std::map<const Worker*, Placement::Resources>& freeCapacities)
{
    const Placement::Resources size = committedSize(task.job->step(task));
    for (const Worker* other : workers) {
        if (other == &source || other->reservedMilliProcessors > 0 || !terms.allows(task, *other))
            continue;
        Placement::Resources& freeCapacity
            = freeCapacities.try_emplace(other, other->available()).first->second;
        if (size.fitsIn(freeCapacity)) {
            freeCapacity -= size;
            return true;
        }
    }
    return false;
}

// Plans to move the smallest task that suffices, or else the largest ones until their capacity suffices.
RelocationPlan planRelocation(
    const Task& waiting, const Worker& worker, std::span<Worker* const> workers, const PlanTerms& terms)
{
    const Placement::Resources required = committedSize(waiting.job->step(waiting));
    Placement::Resources freeCapacity = capacityBesideLongRunningTasks(worker);
    std::vector<Task*> movable = movableTasks(worker, terms);
    for (Task* task : movable) {
        const Placement::Resources size = committedSize(task->job->step(*task));
        std::map<const Worker*, Placement::Resources> freeCapacities;
        if (required.fitsIn(freeCapacity + size)
            && reserveElsewhere(*task, worker, workers, terms, freeCapacities))
            return { task, 1, size };
    }
    RelocationPlan plan;
    std::map<const Worker*, Placement::Resources> freeCapacities;
    for (auto task = movable.rbegin(); task != movable.rend() && plan.moveCount < maxMoves; ++task) {
        if (!reserveElsewhere(**task, worker, workers, terms, freeCapacities))
            continue;
        const Placement::Resources size = committedSize((*task)->job->step(**task));
        if (!plan.firstTask)
            plan.firstTask = *task;
        ++plan.moveCount;
        plan.size += size;
        freeCapacity += size;
        if (required.fitsIn(freeCapacity))
            return plan;
    }
    return {};
}

} // namespace

bool isRelocationTarget(const Task& task, const Worker& worker)
{
    return isEligible(task, worker, !isQuarantined(worker))
        && committedSize(task.job->step(task)).fitsIn(worker.available());
}

Task* chooseRelocation(const Task& waiting, std::span<Worker* const> workers,
    Utils::Duration availabilityDelay, Utils::TimePoint now, StepBudget& steps)
{
    // A task that is at work rather stays than probes a worker. But if quarantined workers have no room for a
    // task that could probe them, only a move makes it.
    for (const bool mayProbe : { false, true }) {
        const PlanTerms terms { availabilityDelay, now, mayProbe, steps };
        RelocationPlan best;
        for (const Worker* worker : workers) {
            if (!terms.allows(waiting, *worker))
                continue;
            const RelocationPlan plan = planRelocation(waiting, *worker, workers, terms);
            if (plan.firstTask && (!best.firstTask || plan < best))
                best = plan;
        }
        if (best.firstTask)
            return best.firstTask;
    }
    return nullptr;
}

} // namespace Fleet
