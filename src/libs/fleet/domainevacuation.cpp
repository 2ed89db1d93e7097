#include "domainevacuation.h"

#include "job.h"
#include "relocation.h"
#include "stepbudget.h"
#include "worker.h"

#include <algorithm>
#include <chrono>

namespace Fleet {

namespace {

// Shortest time between two moves. Owners report their room with each heartbeat, so that tasks moved faster
// would all count on the same room.
constexpr std::chrono::milliseconds moveInterval { 200 };
// Bounds the searches for room in one call, each of which examines all shards.
constexpr int maxRoomChecks = 4;

bool isMovable(const Task& task)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    return step.lasting() && !step.gang() && task.phase == TaskPhase::Running && task.job->isActive();
}

// A step without a disruption budget gives up one task at a time, so that the rest of it stays available.
bool mayMove(const Task& task, Utils::Duration availabilityDelay, Utils::TimePoint now)
{
    if (task.job->step(task).has_disruption_budget())
        return mayDisrupt(task, availabilityDelay, now);
    const std::uint32_t own = isAvailable(task, availabilityDelay, now) ? 0 : 1;
    return countUnavailable(*task.job, task.occurrence, task.step, availabilityDelay, now) == own;
}

} // namespace

bool DomainEvacuation::set(bool isRequested)
{
    if (isRequested_ == isRequested)
        return false;
    isRequested_ = isRequested;
    moveAllowedAt_ = {};
    nextSource_.clear();
    return true;
}

Task* DomainEvacuation::chooseTaskToMove(std::span<Worker* const> workers, Utils::Duration availabilityDelay,
    const RoomCheck& hasRoomElsewhere, Utils::TimePoint now, StepBudget& steps)
{
    if (!isRequested_ || now < moveAllowedAt_)
        return nullptr;
    const auto next = std::find_if(workers.begin(), workers.end(),
        [this](const Worker* worker) { return worker->info.id >= nextSource_; });
    const auto first = static_cast<std::size_t>(next - workers.begin());
    int roomChecks = 0;
    for (std::size_t number = 0; number < workers.size(); ++number) {
        const Worker& worker = *workers[(first + number) % workers.size()];
        if (steps.isSpent() || roomChecks >= maxRoomChecks) {
            nextSource_ = worker.info.id;
            return nullptr;
        }
        steps.spend(StepKind::Relocation, 1 + worker.tasks.size());
        // A worker that does not answer would not take the stop.
        if (!worker.isResponsive)
            continue;
        for (Task* task : worker.tasks) {
            if (!isMovable(*task) || roomChecks >= maxRoomChecks)
                continue;
            steps.spend(StepKind::Relocation, task->job->step(*task).count());
            if (!mayMove(*task, availabilityDelay, now))
                continue;
            ++roomChecks;
            if (!hasRoomElsewhere(*task))
                continue;
            moveAllowedAt_ = now + moveInterval;
            nextSource_ = worker.info.id;
            return task;
        }
    }
    return nullptr;
}

} // namespace Fleet
