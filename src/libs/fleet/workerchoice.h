#pragma once

#include "utils/clock.h"

#include <span>

namespace Fleet {

struct Task;
struct Worker;
class TailModel;

/*!
    Chooses the worker of a task among those of a shard.

    Answers these load patterns:
    - Work that uses leftover processors disturbs tasks with a latency target, some pairs of images much more
   than others. It goes where the model leaves most headroom, and waits rather than make a task miss its
   target. Tasks with a target gather by image, so that each image of the other work finds workers where it
   disturbs little.
    - A burst of work for leftover processors beyond what is left would only slow down what runs already, so
   it waits.
    - A worker that fails or is slow attracts work because its room is free, so it comes last or is left out.

    \param task the task.
    \param workers the shard's workers.
    \param model pressures between images.
    \param now the current time.
    \return the worker, or nullptr if none has room.
*/
Worker* chooseWorker(
    const Task& task, std::span<Worker* const> workers, const TailModel& model, Utils::TimePoint now);

} // namespace Fleet
