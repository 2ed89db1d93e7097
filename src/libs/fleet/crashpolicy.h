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

/*!
    A worker that may have crashed counts as crashed if it has not reported again for this long after its
   lease has run out.
*/
inline constexpr Utils::Duration crashVerdictDelay = std::chrono::milliseconds(2500);

/*! What is known of a worker that lost an attempt. */
enum class CrashEvidence {
    None, //!< Nothing shows that its process has ended, or it has ended as planned.
    Presumed, //!< It crashed, or it is cut off in a way that refuses connections.
    Proved, //!< Its process has ended.
};

/*! \return whether connections to the worker's address are refused. It may run on behind a cut. */
bool isAbsent(const Worker& worker);

/*!
    \return whether the latest starts of the task crashed their workers and its attempt, if there is one, has
        not yet run long enough to show that it does not.
*/
bool isSuspect(const Task& task);

/*! Value of isolationOf() of a task that shares a worker only with tasks of its job and proven ones. */
inline constexpr int fullIsolation = 2;

/*! \return how strictly isKeptApart() keeps the task from other tasks, from 0 (as any task) to fullIsolation.
 */
int isolationOf(const Task& task);

/*!
    \return whether the task must not join the worker's tasks, because if the worker crashed, the cause could
        be either the task or one of another job there.
*/
bool isKeptApart(const Task& task, const Worker& worker);

/*!
    \return whether the task must not be started before it is known whether its workers have crashed: if they
        have, it must not be started any more.
*/
bool awaitsCrashVerdict(const Task& task);

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
