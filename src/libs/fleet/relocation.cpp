#include "relocation.h"

#include "job.h"
#include "worker.h"
#include "workerchoice.h"
#include "workercommitment.h"

#include <algorithm>

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

} // namespace

bool isEligible(const Task& task, const Worker& worker, bool mayProbe, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (!worker.isUsable() || worker.info.service != task.job->spec.service())
        return false;
    const auto& labels = worker.info.labels;
    if (!step.required_label().empty()
        && std::find(labels.begin(), labels.end(), step.required_label()) == labels.end())
        return false;
    const bool isQuarantined = worker.quarantineTime != Utils::Duration::zero();
    if (isQuarantined && !(mayProbe && isProbeDue(worker, now, &task)))
        return false;
    return step.max_per_worker() == 0 || countOtherTasksOfStep(task, worker) < step.max_per_worker();
}

bool isRelocationTarget(const Task& task, const Worker& worker)
{
    return committedSize(task.job->step(task)).fitsIn(worker.available())
        && isEligible(task, worker, false, {});
}

bool isAvailable(const Task& task, Utils::Duration availabilityDelay, Utils::TimePoint now)
{
    return task.phase == TaskPhase::Running && task.progressPercent >= 100
        && now - task.startedAt > availabilityDelay;
}

std::uint32_t countUnavailable(Job& job, std::uint32_t occurrence, std::uint32_t step,
    Utils::Duration availabilityDelay, Utils::TimePoint now)
{
    std::uint32_t unavailable = 0;
    for (std::uint32_t index = 0; index < job.spec.steps(static_cast<int>(step)).count(); ++index) {
        if (!isAvailable(*job.findTask(occurrence, step, index), availabilityDelay, now))
            ++unavailable;
    }
    return unavailable;
}

bool mayDisrupt(const Task& task, Utils::Duration availabilityDelay, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (!step.has_disruption_budget())
        return true;
    const std::uint32_t unavailable
        = countUnavailable(*task.job, task.occurrence, task.step, availabilityDelay, now);
    const std::uint32_t own = isAvailable(task, availabilityDelay, now) ? 0 : 1;
    return unavailable - own < step.disruption_budget();
}

} // namespace Fleet
