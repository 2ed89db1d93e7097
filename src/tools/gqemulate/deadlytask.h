#pragma once

#include "ports/taskkey.h"

#include <fleet.pb.h>

#include <cstddef>

namespace Emulate {

/*!
    \param jobsPerDeadlyTask one of this number of jobs has a task that crashes workers.
    \return whether the task crashes each worker that starts it; depends on its name only.
*/
bool isDeadlyTask(
    const Ports::TaskKey& task, const FleetSchema::JobSpec& spec, std::size_t jobsPerDeadlyTask);

} // namespace Emulate
