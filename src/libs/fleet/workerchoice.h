#pragma once

#include "utils/clock.h"

#include <span>

namespace Fleet {

struct InterferenceView;
struct Task;
struct Worker;

/*!
    Chooses the worker of a task among those of a shard.

    Answers these load patterns:
    - Work that uses leftover processors disturbs tasks with a latency target, some pairs of images much more
   than others. It goes where the model leaves most headroom, and waits rather than make a task miss its
   target. Tasks with a target gather by what disturbs them, on as few workers as hold them, so that each
   image of the other work finds workers where it disturbs little.
    - Work that disturbs every serving task in reach would wait for ever, so after a while it may run slowed
   down.
    - Short tasks that keep coming take each bit of room that gets free, so a larger lasting task would never
   find enough; a worker is reserved for it until its short tasks have ended.
    - A burst of work for leftover processors beyond what is left would only slow down what runs already, so
   it waits.
    - A worker that fails or is slow attracts work because its room is free, so it comes last or is left out.

    \param task the task.
    \param workers the shard's workers.
    \param view what is known of interference.
    \param now the current time.
    \return the worker, or nullptr if none has room.
*/
Worker* chooseWorker(
    const Task& task, std::span<Worker* const> workers, const InterferenceView& view, Utils::TimePoint now);

/*!
    Keeps a worker free of shorter work for a lasting task that found no room: the one whose lasting tasks
   leave most. \param task the task. \param workers the shard's workers.
*/
void reserveWorker(const Task& task, std::span<Worker* const> workers);

} // namespace Fleet
