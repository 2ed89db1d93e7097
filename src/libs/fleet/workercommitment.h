#pragma once

#include "placement/resources.h"

namespace FleetSchema {
class StepSpec;
}

namespace Fleet {

struct Task;
struct Worker;

/*!
    \return the resources that a task of \p step commits on its worker; a best-effort task commits no
        processors.
*/
Placement::Resources committedSize(const FleetSchema::StepSpec& step);

/*! Adds a task with an open attempt to a worker, and what it requests to the worker's totals. */
void addAttempt(Task& task, Worker& worker);

/*! Removes a task from a worker, and what it requests from the worker's totals. */
void removeAttempt(Task& task, Worker& worker);

/*! \return the resources committed to attempts on a worker that have not been sent yet. */
Placement::Resources recordedSize(const Worker& worker);

/*! \return the capacity of a worker that its long-running tasks leave, whatever short tasks run there. */
Placement::Resources capacityBesideLongRunningTasks(const Worker& worker);

} // namespace Fleet
