#include "relocationsearch.h"

#include "job.h"
#include "relocation.h"
#include "shardscheduler.h"
#include "stepbudget.h"
#include "worker.h"
#include "workercommitment.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Each move takes a second or more. With more moves, the capacity freed first could be lost meanwhile.
constexpr std::size_t maxMoves = 3;
// The source is no target, and each earlier move of a plan uses up one target at most.
constexpr std::size_t maxTargets = maxMoves + 1;
// Bounds the search for the targets of one step.
constexpr std::size_t maxTargetSteps = 5'000;
// Time for which a search that found nothing is not repeated.
constexpr milliseconds repetitionInterval { 500 };
constexpr std::size_t maxFailedSearches = 64;

/*! Moves that make enough free capacity on one worker. */
struct RelocationPlan {
    Task* firstTask = nullptr; //!< Null if there is no such plan.
    std::size_t moveCount = 0;
    Placement::Resources size; //!< Total size of the moved tasks.
    bool isInterrupted = false; //!< The steps were spent before all tasks of the source were examined.

    friend bool operator<(const RelocationPlan& left, const RelocationPlan& right)
    {
        return left.moveCount < right.moveCount
            || (left.moveCount == right.moveCount && left.size < right.size);
    }
};

using FreeCapacities = std::map<const Worker*, Placement::Resources>;

Placement::Resources sizeOf(const Task& task)
{
    return committedSize(task.job->step(task));
}

Placement::Resources componentwiseMax(const Placement::Resources& left, const Placement::Resources& right)
{
    return { std::max(left.milliProcessors, right.milliProcessors), std::max(left.memoryMb, right.memoryMb),
        std::max(left.accelerators, right.accelerators) };
}

bool isOfSameStep(const Ports::TaskKey& left, const Ports::TaskKey& right)
{
    return std::tie(left.job, left.occurrence, left.step)
        == std::tie(right.job, right.occurrence, right.step);
}

// Whether another task of the step may run beside the task.
bool hasRoomForSibling(const Task& task, const Worker& worker)
{
    const std::uint32_t limit = task.job->step(task).max_per_worker();
    const auto isOfStep = [&task](const Task* other) {
        return other->job == task.job && other->occurrence == task.occurrence && other->step == task.step;
    };
    const auto count = std::count_if(worker.tasks.begin(), worker.tasks.end(), isOfStep);
    return limit == 0 || static_cast<std::uint32_t>(count) < limit;
}

/*! Plans moves; what holds for all tasks of a step is determined once. */
class RelocationPlanner {
public:
    RelocationPlanner(std::span<Worker* const> workers, Utils::Duration availabilityDelay,
        Utils::TimePoint now, StepBudget& steps)
        : workers_(workers)
        , availabilityDelay_(availabilityDelay)
        , now_(now)
        , steps_(steps)
    {
    }

    /*!
        Plans to move the smallest task that suffices, or else the largest ones until their capacity suffices.

        \param source position of the worker that is to get free capacity.
    */
    RelocationPlan plan(const Task& waiting, std::size_t source, bool mayProbe);

private:
    using StepKey = std::tuple<const Job*, std::uint32_t, std::uint32_t>;

    static StepKey keyOfStep(const Task& task) { return { task.job, task.occurrence, task.step }; }

    void spend(std::size_t count) { steps_.spend(StepKind::Relocation, count); }
    bool isMovable(const Task& task);
    std::vector<Task*> movableTasks(const Worker& worker);
    bool canMakeRoom(
        const Task& waiting, const Placement::Resources& freeCapacity, std::span<Task* const> movable) const;
    const std::vector<const Worker*>& targetsOf(const Task& task, std::size_t source, bool mayProbe);
    bool reserveTarget(const Task& task, std::size_t source, bool mayProbe, FreeCapacities& freeCapacities);

    std::span<Worker* const> workers_;
    Utils::Duration availabilityDelay_;
    Utils::TimePoint now_;
    StepBudget& steps_;
    std::map<StepKey, std::uint32_t> unavailableCounts_;
    std::map<std::tuple<StepKey, bool>, std::vector<const Worker*>> targets_; //!< By step and mayProbe.
    std::vector<Placement::Resources> sizesWithoutTarget_; //!< No worker has this much free.
};

bool RelocationPlanner::isMovable(const Task& task)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    spend(1);
    if (!step.lasting() || step.gang() || task.phase != TaskPhase::Running)
        return false;
    if (!step.has_disruption_budget())
        return true;
    const auto [entry, isNew] = unavailableCounts_.try_emplace(keyOfStep(task));
    if (isNew) {
        spend(step.count());
        entry->second = countUnavailable(*task.job, task.occurrence, task.step, availabilityDelay_, now_);
    }
    const std::uint32_t own = isAvailable(task, availabilityDelay_, now_) ? 0 : 1;
    return entry->second - own < step.disruption_budget();
}

std::vector<Task*> RelocationPlanner::movableTasks(const Worker& worker)
{
    std::vector<Task*> movable;
    for (Task* task : worker.tasks) {
        if (isMovable(*task))
            movable.push_back(task);
    }
    std::sort(movable.begin(), movable.end(),
        [](const Task* left, const Task* right) { return sizeOf(*left) < sizeOf(*right); });
    return movable;
}

bool RelocationPlanner::canMakeRoom(
    const Task& waiting, const Placement::Resources& freeCapacity, std::span<Task* const> movable) const
{
    Placement::Resources largest;
    for (const Task* task : movable)
        largest = componentwiseMax(largest, sizeOf(*task));
    Placement::Resources room = freeCapacity;
    for (std::size_t move = 0; move < std::min(maxMoves, movable.size()); ++move)
        room += largest;
    return sizeOf(waiting).fitsIn(room);
}

const std::vector<const Worker*>& RelocationPlanner::targetsOf(
    const Task& task, std::size_t source, bool mayProbe)
{
    const auto [entry, isNew] = targets_.try_emplace({ keyOfStep(task), mayProbe });
    std::vector<const Worker*>& targets = entry->second;
    const Placement::Resources size = sizeOf(task);
    const auto fitsNowhere = [&](const Placement::Resources& tooLarge) { return tooLarge.fitsIn(size); };
    if (!isNew || std::any_of(sizesWithoutTarget_.begin(), sizesWithoutTarget_.end(), fitsNowhere))
        return targets;
    const std::size_t end = steps_.spent() + maxTargetSteps;
    bool hasRoomSomewhere = false;
    std::size_t examined = 0;
    // In a very large shard, other sources lead to other targets.
    for (; examined < workers_.size() && targets.size() < maxTargets && steps_.spent() < end; ++examined) {
        const Worker& worker = *workers_[(source + 1 + examined) % workers_.size()];
        spend(1);
        if (worker.reservedMilliProcessors > 0 || !size.fitsIn(worker.available()))
            continue;
        hasRoomSomewhere = true;
        spend(worker.tasks.size());
        // The targets are also those of other tasks of the step, for which this one counts in its spread.
        if (isEligible(task, worker, mayProbe, now_)
            && (task.worker != &worker || hasRoomForSibling(task, worker)))
            targets.push_back(&worker);
    }
    if (!hasRoomSomewhere && examined == workers_.size())
        sizesWithoutTarget_.push_back(size);
    return targets;
}

// Reserves capacity for a task on another worker in \p freeCapacities. Returns false if it fits on none.
bool RelocationPlanner::reserveTarget(
    const Task& task, std::size_t source, bool mayProbe, FreeCapacities& freeCapacities)
{
    const Placement::Resources size = sizeOf(task);
    for (const Worker* target : targetsOf(task, source, mayProbe)) {
        spend(1);
        if (target == workers_[source])
            continue;
        Placement::Resources& freeCapacity
            = freeCapacities.try_emplace(target, target->available()).first->second;
        if (size.fitsIn(freeCapacity)) {
            freeCapacity -= size;
            return true;
        }
    }
    return false;
}

RelocationPlan RelocationPlanner::plan(const Task& waiting, std::size_t source, bool mayProbe)
{
    const Worker& worker = *workers_[source];
    RelocationPlan interrupted;
    interrupted.isInterrupted = true;
    spend(1 + worker.tasks.size());
    if (!isEligible(waiting, worker, mayProbe, now_))
        return {};
    const Placement::Resources required = sizeOf(waiting);
    Placement::Resources freeCapacity = capacityBesideLongRunningTasks(worker);
    const std::vector<Task*> movable = movableTasks(worker);
    if (!canMakeRoom(waiting, freeCapacity, movable))
        return {};
    for (Task* task : movable) {
        FreeCapacities freeCapacities;
        if (required.fitsIn(freeCapacity + sizeOf(*task))
            && reserveTarget(*task, source, mayProbe, freeCapacities))
            return { task, 1, sizeOf(*task) };
        if (steps_.isSpent())
            return interrupted;
    }
    RelocationPlan plan;
    FreeCapacities freeCapacities;
    for (auto task = movable.rbegin(); task != movable.rend() && plan.moveCount < maxMoves; ++task) {
        if (steps_.isSpent())
            return interrupted;
        if (!reserveTarget(**task, source, mayProbe, freeCapacities))
            continue;
        if (!plan.firstTask)
            plan.firstTask = *task;
        ++plan.moveCount;
        plan.size += sizeOf(**task);
        freeCapacity += sizeOf(**task);
        if (required.fitsIn(freeCapacity))
            return plan;
    }
    return {};
}

// Examines workers from the cursor on, until the steps are spent. Returns the first move of the best plan.
// If all steps of the call are for this search, it examines at least one worker as far as they suffice.
Task* searchFrom(RelocationSearch::Cursor& cursor, const Task& waiting, std::span<Worker* const> workers,
    RelocationPlanner& planner, bool hasAllSteps, StepBudget& steps)
{
    const auto next = std::lower_bound(workers.begin(), workers.end(), cursor.nextSource,
        [](const Worker* worker, const std::string& id) { return worker->info.id < id; });
    RelocationPlan best;
    const auto first = static_cast<std::size_t>(next - workers.begin());
    for (std::size_t source = first; source < workers.size(); ++source) {
        const RelocationPlan plan = planner.plan(waiting, source, cursor.mayProbe);
        // The next call has more steps for this worker.
        if (plan.isInterrupted && (source > first || !hasAllSteps)) {
            cursor.nextSource = workers[source]->info.id;
            return best.firstTask;
        }
        if (plan.firstTask && (!best.firstTask || plan < best))
            best = plan;
        if (steps.isSpent() && source + 1 < workers.size()) {
            cursor.nextSource = workers[source + 1]->info.id;
            return best.firstTask;
        }
    }
    cursor.isAtEnd = true;
    return best.firstTask;
}

} // namespace

std::optional<Ports::TaskKey> RelocationSearch::current() const
{
    return cursor_ ? std::optional(cursor_->task) : std::nullopt;
}

Task* RelocationSearch::search(std::span<Task* const> waiting, std::span<Worker* const> workers,
    Utils::Duration availabilityDelay, Utils::TimePoint now, StepBudget& steps)
{
    std::erase_if(failedSearches_,
        [now](const FailedSearch& failed) { return now - failed.failedAt >= repetitionInterval; });
    const bool hasQuarantined = std::any_of(workers.begin(), workers.end(),
        [](const Worker* worker) { return worker->quarantineTime != Utils::Duration::zero(); });
    RelocationPlanner planner(workers, availabilityDelay, now, steps);
    bool hasAllSteps = true;
    for (Task* task : waiting) {
        if (steps.isSpent())
            return nullptr;
        steps.spend(StepKind::Relocation, 1);
        if (hasFailed(*task))
            continue;
        if (!cursor_ || !isOfSameStep(cursor_->task, keyOf(*task)))
            cursor_ = Cursor { keyOf(*task), {}, false, false };
        // A task that is at work rather stays than probes a worker. But if quarantined workers have no room
        // for a task that could probe them, only a move makes it.
        Task* moved = searchFrom(*cursor_, *task, workers, planner, hasAllSteps, steps);
        hasAllSteps = false;
        if (!moved && cursor_->isAtEnd && !cursor_->mayProbe && hasQuarantined) {
            cursor_ = Cursor { keyOf(*task), {}, true, false };
            if (!steps.isSpent())
                moved = searchFrom(*cursor_, *task, workers, planner, hasAllSteps, steps);
        }
        if (!moved && !cursor_->isAtEnd)
            return nullptr;
        cursor_.reset();
        if (moved)
            return moved;
        addFailed(*task, now);
    }
    return nullptr;
}

bool RelocationSearch::hasFailed(const Task& task) const
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    return std::any_of(failedSearches_.begin(), failedSearches_.end(), [&](const FailedSearch& failed) {
        if (isOfSameStep(failed.task, keyOf(task)))
            return true;
        return !failed.isSpreadLimited && failed.service == task.job->spec.service()
            && (failed.label.empty() || failed.label == step.required_label())
            && failed.size.fitsIn(committedSize(step));
    });
}

void RelocationSearch::addFailed(const Task& task, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (failedSearches_.size() >= maxFailedSearches)
        failedSearches_.erase(failedSearches_.begin());
    failedSearches_.push_back({ keyOf(task), step.max_per_worker() > 0, task.job->spec.service(),
        step.required_label(), committedSize(step), now });
}

} // namespace Fleet
