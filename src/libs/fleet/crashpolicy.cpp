#include "crashpolicy.h"

#include "job.h"
#include "worker.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// A worker that restarts listens again within one pause between polls.
constexpr int pollsToAbsent = 2;
// A task that crashes its worker does so within this run time.
constexpr milliseconds minProvenRunTime { 200 };
// Pause after the second crash in a row; doubled with each further one. A single crash need not be the task's
// fault, so it is started again at once.
constexpr milliseconds initialPause { 500 };

} // namespace

bool isAbsent(const Worker& worker)
{
    return worker.absentPolls >= pollsToAbsent;
}

bool isSuspect(const Task& task)
{
    return task.suspectedCrashes() > 0 && !task.isProven;
}

int isolationOf(const Task& task)
{
    if (!isSuspect(task))
        return 0;
    return task.suspectedCrashes() >= crashesToIsolation ? fullIsolation : 1;
}

bool isKeptApart(const Task& task, const Worker& worker)
{
    const int isolation = isolationOf(task);
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const Task* other) {
        if (other->job == task.job || other->isProven)
            return false;
        if (isolation > 0 && isSuspect(*other))
            return true;
        return isolation == fullIsolation || other->suspectedCrashes() >= crashesToIsolation;
    });
}

bool awaitsCrashVerdict(const Task& task)
{
    return task.crashes >= maxCrashes && !task.presumedCrashes.empty();
}

bool isExhausted(const Task& task)
{
    if (task.provedCrashes() >= maxCrashes)
        return true;
    return !task.job->step(task).lasting() && task.failures >= std::max(1U, task.job->spec.max_failures());
}

Utils::Duration pauseAfterCrash(std::uint32_t crashes)
{
    if (crashes < 2)
        return Utils::Duration::zero();
    return Utils::Duration(initialPause) * (1U << std::min(crashes - 2, maxCrashes));
}

bool recordRunning(Task& task, std::int64_t clockMs)
{
    if (task.startClockMs == 0)
        task.startClockMs = clockMs;
    if (task.isProven || milliseconds(clockMs - task.startClockMs) < minProvenRunTime)
        return false;
    task.isProven = true;
    return true;
}

} // namespace Fleet
