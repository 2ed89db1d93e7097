#pragma once

#include "placement/resources.h"
#include "ports/workerinfo.h"
#include "utils/clock.h"

#include <cstdint>
#include <vector>

namespace Fleet {

struct Task;

/*! A worker of a shard with what is committed to it. */
struct Worker {
    Ports::WorkerInfo info;
    bool isListed = false; //!< The platform lists it.
    Placement::Resources committed; //!< Of all open attempts.
    std::int64_t bestEffortMilliProcessors
        = 0; //!< Milli-processors asked for by open attempts that use what others leave.
    std::int64_t criticalMilliProcessors = 0; //!< Milli-processors committed to tasks with a latency target.
    //! Part of criticalMilliProcessors that is in use, as far as other work is slowed down by it.
    double criticalUseShare = 0.45;
    std::int64_t reservedMilliProcessors
        = 0; //!< Milli-processors kept free for a lasting task that waits; of one scheduling pass.
    //! Share of the work for leftover processors that disturbs no task here, 0 to 1; of one scheduling pass.
    double toleratedDemand = 1;
    int criticalTaskCount = 0; //!< Open attempts with a latency target.
    std::vector<Task*> tasks; //!< Tasks with an open attempt here.

    std::int64_t bornMs = 0; //!< Incarnation that last reported; 0: not heard yet.
    std::int64_t clockMs = 0; //!< Its clock at clockSeenAt.
    Utils::TimePoint clockSeenAt {};
    bool isResponsive = false; //!< Its latest poll was answered.
    int failedPolls = 0; //!< In a row.
    Utils::TimePoint leaseUpperBound {}; //!< Nothing runs on it after that, unless the lease is renewed.
    std::uint64_t lastSeenEnd = 0; //!< Latest end that was taken in.
    std::uint64_t lastAcknowledgedEnd = 0; //!< Latest end whose record is committed.

    int failureStreak = 0; //!< Failures in a row, of different jobs.
    std::string streakJob; //!< Job of the latest failure.
    Utils::TimePoint
        quarantinedUntil {}; //!< Gets no work until then, and one task at a time until a success.
    Utils::Duration quarantineTime {}; //!< Latest time aside; doubled when a probe fails.
    double slowness = 1; //!< Mean of run time over expected run time.

    /*! \return milli-processors that neither committed nor filling attempts ask for; negative if overbooked.
     */
    std::int64_t remainingMilliProcessors() const
    {
        return info.milliProcessors - committed.milliProcessors - bestEffortMilliProcessors;
    }

    /*! \return milli-processors that are not in use, by what serving tasks are taken to use of what is
     * committed. */
    std::int64_t unusedMilliProcessors() const
    {
        return remainingMilliProcessors()
            + static_cast<std::int64_t>(
                (1 - criticalUseShare) * static_cast<double>(criticalMilliProcessors));
    }

    /*! \return what may still be committed. */
    Placement::Resources available() const { return capacity() - committed; }

    /*! \return its size. */
    Placement::Resources capacity() const
    {
        return { info.milliProcessors, info.memoryMb, info.accelerators };
    }

    /*! \return whether it takes new attempts as far as its state is known. */
    bool isUsable() const { return isListed && isResponsive && !info.isDraining && clockMs != 0; }
};

} // namespace Fleet
