#pragma once

#include "taillatencymodel.h"

#include "utils/clock.h"

#include <vector>

namespace FleetSchema {
class StepSpec;
}

namespace Fleet {

struct Task;
struct Worker;

/*! A change of an attempt's speed. */
struct SpeedChange {
    Task* task = nullptr;
    int speedPercent = 100;
};

/*!
    Takes in the tails that a worker reported: updates each serving task's own utilization and the model.
    \param worker the worker, its tasks with the reported figures.
    \param model learns from the figures.
    \param now the current time.
*/
void processTailLatencies(Worker& worker, TailLatencyModel& model, Utils::TimePoint now);

/*!
    Utilization that the most endangered serving task of a worker could still bear if a task were added.
    \param worker the worker.
    \param step step of the task to be added.
    \param model pressures.
    \param pace share of its full speed at which the task would run, 0 to 1.
    \return 1 if the worker has no serving task; negative if a target would be missed.
*/
double headroomAfterAdding(
    const Worker& worker, const FleetSchema::StepSpec& step, const TailLatencyModel& model, double speed = 1);

/*!
    Whether a serving task is to be relieved of all work beside it, whatever the model says.
    \param task a task. \param now the current time.
    \return true if it has been over its target for too long.
*/
bool isPersistentlyOverTarget(const Task& task, Utils::TimePoint now);

/*!
    Utilization that a task would add to the serving task of a worker that minds it most.
    \param worker the worker. \param step step of the task. \param model pressures.
    \return 0 if the worker has no serving task.
*/
double maxAddedUtilization(
    const Worker& worker, const FleetSchema::StepSpec& step, const TailLatencyModel& model);

/*!
    Chooses the speeds of the work for leftover processors beside serving tasks.

    Answers the swing of a serving task's own load, which no placement foresees: of the work beside a task
   that is over its target, or is about to be, the most disturbing is slowed down first, and only as far as
   needed; it gets its speed back as soon as the model says that the target is kept with it.

    \param worker the worker.
    \param model pressures.
    \param now the current time.
    \return the changes.
*/
std::vector<SpeedChange> chooseSpeeds(
    const Worker& worker, const TailLatencyModel& model, Utils::TimePoint now);

} // namespace Fleet
