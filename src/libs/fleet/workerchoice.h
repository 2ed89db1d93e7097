#pragma once

#include "placement/resources.h"
#include "utils/clock.h"

#include <cstdint>
#include <memory>
#include <span>

namespace FleetSchema {
class StepSpec;
}

namespace Fleet {

struct Task;
struct Worker;

/*!
    What a task commits on a worker.
    \param step its step.
    \return processors, memory and accelerators.
*/
Placement::Resources committedSize(const FleetSchema::StepSpec& step);

/*!
    Chooses the worker of a task among those of a shard.

    Answers two load patterns. Work that fills disturbs tasks that serve users, so that work goes to workers without
    such tasks first and serving tasks gather on the others, away from the fillers. A worker that fails or is slow
    attracts work because its room is free, so a worker with failures in a row or slow runs comes last or is left out.

    \param task the task.
    \param workers the shard's workers.
    \param now the current time.
    \return the worker, or nullptr if none has room.
*/
Worker* chooseWorker(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now);

} // namespace Fleet
