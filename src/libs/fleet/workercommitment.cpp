#include "workercommitment.h"

#include "job.h"
#include "worker.h"

namespace Fleet {

Placement::Resources committedSize(const FleetSchema::StepSpec& step)
{
    return { step.leftover_processors() ? 0 : step.milli_processors(), step.memory_mb(),
        step.accelerators() };
}

void addAttempt(Task& task, Worker& worker)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    worker.tasks.push_back(&task);
    worker.committed += committedSize(step);
    if (!step.lasting())
        worker.shortCommitted += committedSize(step);
    if (step.leftover_processors())
        worker.bestEffortMilliProcessors += step.milli_processors();
    if (step.tail_target_ms() > 0) {
        ++worker.criticalTaskCount;
        worker.criticalMilliProcessors += committedSize(step).milliProcessors;
    }
}

void removeAttempt(Task& task, Worker& worker)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    std::erase(worker.tasks, &task);
    worker.committed -= committedSize(step);
    if (!step.lasting())
        worker.shortCommitted -= committedSize(step);
    if (step.leftover_processors())
        worker.bestEffortMilliProcessors -= step.milli_processors();
    if (step.tail_target_ms() > 0) {
        --worker.criticalTaskCount;
        worker.criticalMilliProcessors -= committedSize(step).milliProcessors;
    }
}

Placement::Resources recordedSize(const Worker& worker)
{
    Placement::Resources size;
    for (const Task* task : worker.tasks) {
        if (task->phase == TaskPhase::Recorded || task->phase == TaskPhase::Held)
            size += committedSize(task->job->step(*task));
    }
    return size;
}

Placement::Resources capacityBesideLongRunningTasks(const Worker& worker)
{
    return worker.available() + worker.shortCommitted;
}

} // namespace Fleet
