#pragma once

#include "utils/clock.h"

#include <cstdint>

namespace Fleet {

struct Task;
struct Worker;

/*! A task is not started again after this many starts in a row that crashed their worker. */
inline constexpr std::uint32_t maxCrashes = 3;

/*!
    From this many crashes in a row on, a task is kept apart from all tasks of other jobs that have just been
   started, before that only from such tasks under which a worker has crashed too. When a worker crashes for
   another reason, many tasks have crashed once, and keeping them all apart would block much of a shard.
*/
inline constexpr std::uint32_t crashesToIsolation = 2;

/*! \return whether nothing listens at the worker's address, so that its process has ended. */
bool isAbsent(const Worker& worker);

/*!
    \return whether the latest starts of the task crashed their workers and its attempt, if there is one, has
        not yet run long enough to show that it does not.
*/
bool isSuspect(const Task& task);

/*!
    \return whether the task must not join the worker's tasks, because if the worker crashed, the cause could
        be either the task or one of another job there.
*/
bool isKeptApart(const Task& task, const Worker& worker);

/*! \return whether the task must not be started any more: it has failed too often or crashed its workers. */
bool isExhausted(const Task& task);

/*! \return how long a task waits after a crash before it is started again. */
Utils::Duration pauseAfterCrash(std::uint32_t crashes);

/*!
    Records that the worker lists the task's attempt as running.

    \param clockMs time of the report, in the worker's clock.
    \return whether the report shows for the first time that the attempt does not crash the worker.
*/
bool recordRunning(Task& task, std::int64_t clockMs);

} // namespace Fleet
