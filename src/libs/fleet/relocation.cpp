#include "relocation.h"

#include "job.h"
#include "worker.h"
#include "workercommitment.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Fleet {

namespace {

std::uint32_t countSiblings(const Task& task, const Worker& worker)
{
    return static_cast<std::uint32_t>(
        std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const Task* other) {
            return other != &task && other->job == task.job && other->step == task.step
                && other->occurrence == task.occurrence;
        }));
}

bool isEligible(const Task& task, const Worker& worker)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    const auto& labels = worker.info.labels;
    const bool hasLabel = step.required_label().empty()
        || std::find(labels.begin(), labels.end(), step.required_label()) != labels.end();
    const bool isSpread = step.max_per_worker() == 0 || countSiblings(task, worker) < step.max_per_worker();
    return worker.isUsable() && worker.asideFor == Utils::Duration::zero() && hasLabel && isSpread
        && worker.info.service == task.job->spec.service();
}

Placement::Resources roomWithoutShortTasks(const Worker& worker)
{
    Placement::Resources room = worker.available();
    for (const Task* other : worker.tasks) {
        const FleetSchema::StepSpec& step = other->job->step(*other);
        if (!step.lasting())
            room += committedSize(step);
    }
    return room;
}

/*! Moves that make room on one worker. */
struct RelocationPlan {
    Task* first = nullptr; //!< Null if the room cannot be made.
    std::size_t moves = 0;
    Placement::Resources size; //!< Of all tasks moved.

    friend bool operator<(const RelocationPlan& left, const RelocationPlan& right)
    {
        return left.moves < right.moves || (left.moves == right.moves && left.size < right.size);
    }
};

} // namespace

bool mayDisrupt(const Task& task, Utils::Duration notice, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (!step.has_disruption_budget())
        return true;
    std::uint32_t away = 0;
    for (std::uint32_t index = 0; index < step.count(); ++index) {
        const Task* other = task.job->find(task.occurrence, task.step, index);
        const bool isAtWork
            = other->phase == TaskPhase::Running && other->percent >= 100 && now - other->startedAt > notice;
        if (other != &task && !isAtWork)
            ++away;
    }
    return away < step.disruption_budget();
}

namespace {

// Each move takes a second or more, and the room made first must not be lost meanwhile.
constexpr std::size_t mostMoves = 3;

std::vector<Task*> movableTasks(const Worker& worker, Utils::Duration notice, Utils::TimePoint now)
{
    std::vector<Task*> movable;
    for (Task* task : worker.tasks) {
        const FleetSchema::StepSpec& step = task->job->step(*task);
        if (step.lasting() && !step.gang() && task->phase == TaskPhase::Running
            && mayDisrupt(*task, notice, now))
            movable.push_back(task);
    }
    std::sort(movable.begin(), movable.end(), [](const Task* left, const Task* right) {
        return committedSize(left->job->step(*left)) < committedSize(right->job->step(*right));
    });
    return movable;
}

// Takes the place of a task on one of the other workers out of \p rooms. Returns whether there is one.
bool takePlace(const Task& task, const Worker& source, std::span<Worker* const> workers,
    std::map<const Worker*, Placement::Resources>& rooms)
{
    const Placement::Resources size = committedSize(task.job->step(task));
    for (const Worker* other : workers) {
        if (other == &source || other->reserved > 0 || !isEligible(task, *other))
            continue;
        Placement::Resources& room = rooms.try_emplace(other, other->available()).first->second;
        if (size.fitsIn(room)) {
            room -= size;
            return true;
        }
    }
    return false;
}

// The smallest task that suffices, or else the largest ones until their room suffices.
RelocationPlan planFor(const Task& waiting, const Worker& worker, std::span<Worker* const> workers,
    Utils::Duration notice, Utils::TimePoint now)
{
    const Placement::Resources wanted = committedSize(waiting.job->step(waiting));
    Placement::Resources room = roomWithoutShortTasks(worker);
    std::vector<Task*> movable = movableTasks(worker, notice, now);
    for (Task* task : movable) {
        const Placement::Resources size = committedSize(task->job->step(*task));
        std::map<const Worker*, Placement::Resources> rooms;
        if (wanted.fitsIn(room + size) && takePlace(*task, worker, workers, rooms))
            return { task, 1, size };
    }
    RelocationPlan plan;
    std::map<const Worker*, Placement::Resources> rooms;
    for (auto task = movable.rbegin(); task != movable.rend() && plan.moves < mostMoves; ++task) {
        if (!takePlace(**task, worker, workers, rooms))
            continue;
        const Placement::Resources size = committedSize((*task)->job->step(**task));
        if (!plan.first)
            plan.first = *task;
        ++plan.moves;
        plan.size += size;
        room += size;
        if (wanted.fitsIn(room))
            return plan;
    }
    return {};
}

} // namespace

bool isRelocationTarget(const Task& task, const Worker& worker)
{
    return isEligible(task, worker) && committedSize(task.job->step(task)).fitsIn(worker.available());
}

Task* chooseRelocation(
    const Task& waiting, std::span<Worker* const> workers, Utils::Duration notice, Utils::TimePoint now)
{
    RelocationPlan best;
    for (const Worker* worker : workers) {
        if (!isEligible(waiting, *worker))
            continue;
        const RelocationPlan plan = planFor(waiting, *worker, workers, notice, now);
        if (plan.first && (!best.first || plan < best))
            best = plan;
    }
    return best.first;
}

} // namespace Fleet
