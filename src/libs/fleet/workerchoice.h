#pragma once

#include "utils/clock.h"

#include <span>

namespace Fleet {

struct Task;
struct Worker;

/*!
    Chooses the worker of a task among those of a shard.

    Answers these load patterns:
    - Work that uses leftover processors disturbs tasks with a latency target. Such tasks are packed on few
   workers and the other work goes to workers without them, so that neither has to be throttled.
    - Urgent work that disturbs nobody takes the room beside tasks with a latency target, which nothing else
   can use.
    - A burst of work for leftover processors beyond what is left would only slow down what runs already, so
   it waits.
    - A worker that fails or is slow attracts work because its room is free, so it comes last or is left out.

    \param task the task.
    \param workers the shard's workers.
    \param now the current time.
    \return the worker, or nullptr if none has room.
*/
Worker* chooseWorker(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now);

} // namespace Fleet
