#pragma once

#include "placement/resources.h"

namespace FleetSchema {
class StepSpec;
}

namespace Fleet {

struct Task;
struct Worker;

/*!
    What a task commits on a worker.
    \param step its step.
    \return processors, memory and accelerators; a task that uses what others leave commits no processors.
*/
Placement::Resources committedSize(const FleetSchema::StepSpec& step);

/*! Counts an attempt to a worker. \param task the task. \param worker the worker. */
void addAttempt(Task& task, Worker& worker);

/*! Takes an attempt off the worker that it was counted to. \param task the task. \param worker the worker. */
void removeAttempt(Task& task, Worker& worker);

} // namespace Fleet
