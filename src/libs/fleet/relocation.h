#pragma once

#include "utils/clock.h"

#include <span>

namespace Fleet {

class StepBudget;
struct Task;
struct Worker;

/*!
    Chooses a long-running task to relocate so that another one finds free capacity.

    In a fleet full of long-running tasks, the free capacity is spread over many workers, with too
    little on each, or is only on workers where the step must not have another task. The function picks
    the smallest task whose capacity, together with what is free and what short tasks will free,
    suffices, and that fits on another worker at once. If there is none, it picks the first of up to
    three tasks that suffice together.

    \param waiting the task that does not fit on any worker.
    \param availabilityDelay time for which a long-running task must have been running to count as available.
    \param steps counts the workers and tasks examined.
    \return the task to stop, or nullptr if no relocation helps or each one would exceed a step's disruption
        budget.
*/
Task* chooseRelocation(const Task& waiting, std::span<Worker* const> workers,
    Utils::Duration availabilityDelay, Utils::TimePoint now, StepBudget& steps);

/*! \return whether a task may be relocated to \p worker, which is not its own one, and fits there at once. */
bool isRelocationTarget(const Task& task, const Worker& worker);

/*!
    \return whether the scheduler may stop a task without exceeding the disruption budget of its step.

    \param availabilityDelay time for which a task must have been running to count as available.
*/
bool mayDisrupt(const Task& task, Utils::Duration availabilityDelay, Utils::TimePoint now);

} // namespace Fleet
