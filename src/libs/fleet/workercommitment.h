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

/*! Counts an attempt of a task to a worker. */
void addAttempt(Task& task, Worker& worker);

/*! Removes an attempt from the worker that it was counted to. */
void removeAttempt(Task& task, Worker& worker);

} // namespace Fleet
