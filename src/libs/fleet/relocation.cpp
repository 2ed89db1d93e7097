#include "relocation.h"

#include "job.h"
#include "worker.h"
#include "workercommitment.h"

#include <algorithm>

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

Task* chooseRelocation(
    const Task& waiting, std::span<Worker* const> workers, Utils::Duration notice, Utils::TimePoint now)
{
    const Placement::Resources wanted = committedSize(waiting.job->step(waiting));
    Task* best = nullptr;
    Placement::Resources bestSize;
    for (const Worker* worker : workers) {
        if (!isEligible(waiting, *worker))
            continue;
        const Placement::Resources room = roomWithoutShortTasks(*worker);
        for (Task* task : worker->tasks) {
            const FleetSchema::StepSpec& step = task->job->step(*task);
            const Placement::Resources size = committedSize(step);
            if (!step.lasting() || step.gang() || task->phase != TaskPhase::Running
                || !wanted.fitsIn(room + size) || (best && !(size < bestSize))
                || !mayDisrupt(*task, notice, now)) {
                continue;
            }
            const bool hasPlace = std::any_of(workers.begin(), workers.end(), [&](const Worker* other) {
                return other != worker && other->reserved == 0 && isEligible(*task, *other)
                    && size.fitsIn(other->available());
            });
            if (hasPlace) {
                best = task;
                bestSize = size;
            }
        }
    }
    return best;
}

} // namespace Fleet
