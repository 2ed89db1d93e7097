#pragma once

#include "utils/clock.h"

#include <span>

namespace Fleet {

struct Task;
struct Worker;

/*!
    Chooses a lasting task to be moved so that another one finds room.

    Answers a fleet that is full of lasting tasks: the room left is spread over many workers, too little on
   each, or only on workers where the step must not have another task. The smallest task is moved whose room,
   with what is free and what short tasks will free, suffices, and that fits on another worker at once; if
   there is none, the first of up to three that suffice together.

    \param waiting the task without room.
    \param workers the shard's workers.
    \param notice time for which a lasting task must have been at work to count as available.
    \param now the current time.
    \return the task to be stopped, or nullptr if no move helps or all would exceed a step's disruption
   budget.
*/
Task* chooseRelocation(
    const Task& waiting, std::span<Worker* const> workers, Utils::Duration notice, Utils::TimePoint now);

/*! \param task a task. \param worker another worker than the task's. \return whether the task may be moved
 * there and fits at once. */
bool isRelocationTarget(const Task& task, const Worker& worker);

/*!
    Whether the system may stop a task of a lasting step without exceeding the step's disruption budget.
    \param task the task.
    \param notice time for which a task must have been at work to count as available.
    \param now the current time.
    \return true if so.
*/
bool mayDisrupt(const Task& task, Utils::Duration notice, Utils::TimePoint now);

} // namespace Fleet
