#pragma once

#include "workerlease.h"

#include "placement/resources.h"
#include "ports/workerinfo.h"
#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

struct Task;

/*! Best-effort attempt that a worker has reported with a measurement. */
struct RunningBestEffort {
    const Task* task = nullptr; //!< For comparison only, as the job may be gone.
    std::uint32_t attempt = 0;

    bool operator==(const RunningBestEffort&) const = default;
};

/*! A worker of a shard with the resources committed on it. */
struct Worker {
    Ports::WorkerInfo info;
    bool isListed = false;
    Placement::Resources committed; //!< Resources committed to open attempts.
    Placement::Resources shortCommitted; //!< The part of them that is committed to tasks that end.
    //! Resources of attempts that the latest report lists though they are not open here: given up, but not
    //! ended yet.
    Placement::Resources givenUp;
    bool runsUnknownJob = false; //!< The latest report lists an attempt whose size is not known.
    //! Milli-processors requested by open best-effort attempts, which do not commit them.
    std::int64_t bestEffortMilliProcessors = 0;
    std::int64_t criticalMilliProcessors = 0; //!< Milli-processors committed to latency-critical tasks.
    //! Share of criticalMilliProcessors that is assumed to be in use. Counts only the use that slows down
    //! other tasks.
    double criticalUseShare = 0.45;
    //! Milli-processors kept free for a waiting long-running task; valid for one scheduling pass.
    std::int64_t reservedMilliProcessors = 0;
    //! Only fully isolated tasks may start here; valid for one scheduling pass.
    bool isKeptEmpty = false;
    //! Share of the best-effort demand that the worker's tasks tolerate, 0 to 1; valid for one scheduling
    //! pass.
    double toleratedDemand = 1;
    int criticalTaskCount = 0; //!< Open attempts of latency-critical tasks.
    std::vector<Task*> tasks; //!< Tasks with an open attempt on the worker.

    bool isOwnUtilizationKnown = false; //!< As in TailLatencyModel; the same for all workers of a shard.
    std::vector<RunningBestEffort> runningBestEffort; //!< As of the latest report with measurements.
    Utils::TimePoint bestEffortEndedAt {}; //!< When one of them was last found to be gone.
    Utils::TimePoint measurementsUsedAt {}; //!< When measurements of a report were last used as samples.

    std::int64_t bornMs = 0; //!< Incarnation that last reported; 0 if none has.
    Utils::TimePoint restartNoticedAt {};
    //! The incarnation has answered a call with its own fencing token, so it rejects calls that were meant
    //! for former ones.
    bool isFenced = true;
    //! A former owner has stated until when its attempts can run on the worker.
    bool isLeaseStated = false;
    //! The incarnation may have carried out a call that requests a lease in the clock of a former one.
    bool mayHoldFormerLease = false;
    //! When the lease was requested by a poll that is not answered yet; the clock's epoch if there is none.
    Utils::TimePoint leasePolledAt {};
    //! Until when a call that was not answered may still be carried out and extend the lease.
    Utils::TimePoint unansweredUntil {};
    std::int64_t clockMs = 0; //!< The worker's clock at clockSeenAt; 0 if unknown.
    Utils::TimePoint clockSeenAt {};
    Utils::TimePoint clockAskedAt {}; //!< When the poll was sent whose answer told the clock.
    Utils::TimePoint answeredAt {}; //!< When the worker last answered a call; the clock's epoch if never.
    bool isResponsive = false; //!< The worker answers polls.
    //! A start could not be sent, or a worker that answers would have answered it; until the next report.
    bool isStartFailing = false;
    bool hidesEnds = false; //!< The incarnation has lost an end that it has not reported.
    int failedStarts = 0; //!< Consecutive starts that were not answered or could not be sent.
    Utils::TimePoint unusableSince {}; //!< The clock's epoch if the worker can get tasks.
    Utils::TimePoint unusableReportedAt {};
    int failedPolls = 0; //!< Consecutive unanswered polls.
    int absentPolls = 0; //!< Consecutive polls that found nothing listening at the worker's address.
    WorkerLease lease;
    Utils::TimePoint addedAt {}; //!< When this owner got to know the worker.
    //! Until when the worker is polled without tasks and an entry, as it may have crashed or be cut off.
    Utils::TimePoint watchedUntil {};
    std::uint64_t lastSeenEnd = 0; //!< Number of the latest processed end.
    std::uint64_t lastAcknowledgedEnd = 0; //!< Number of the latest end whose record is committed.
    std::uint64_t sentAcknowledgement = 0; //!< In the latest poll.
    std::uint64_t provedAcknowledgement = 0; //!< Number that the incarnation has answered.

    int failureStreak = 0; //!< Consecutive failures of different jobs.
    std::string streakJob; //!< Job of the latest failure.
    //! The worker gets no task until this time; afterwards one at a time, at intervals, until one succeeds.
    Utils::TimePoint quarantinedUntil {};
    //! Length of the current quarantine, doubled when a probe task fails; 0 if the worker is not
    //! quarantined.
    Utils::Duration quarantineTime {};
    double slowness = 1; //!< Mean ratio of run time to expected run time.

    /*!
        \return the milli-processors that no open attempt commits or requests; negative if they are
            overcommitted.
    */
    std::int64_t remainingMilliProcessors() const
    {
        return info.milliProcessors - committed.milliProcessors - bestEffortMilliProcessors;
    }

    /*!
        \return the milli-processors that are not in use, with latency-critical tasks counted by their
            assumed use instead of what is committed to them.
    */
    std::int64_t unusedMilliProcessors() const
    {
        return remainingMilliProcessors()
            + static_cast<std::int64_t>(
                (1 - criticalUseShare) * static_cast<double>(criticalMilliProcessors));
    }

    /*! \return whether this owner has no reason to call the worker any more. */
    bool isObsolete(Utils::TimePoint now) const { return !isListed && tasks.empty() && now >= watchedUntil; }

    /*! \return the resources that may still be committed. */
    Placement::Resources available() const { return capacity() - committed - givenUp; }

    Placement::Resources capacity() const
    {
        return { info.milliProcessors, info.memoryMb, info.accelerators };
    }

    /*! \return why the worker gets no new attempts, as far as its state is known; empty if it can. */
    std::string_view unusableCause() const
    {
        if (!isListed)
            return "not-listed";
        if (info.isDraining)
            return "draining";
        if (clockMs == 0)
            return "no-report";
        if (!isResponsive)
            return "unresponsive";
        if (!isFenced)
            return "token-not-seen";
        if (!isListedIncarnation())
            return "other-incarnation-listed";
        if (hidesEnds)
            return "hides-ends";
        if (isStartFailing)
            return "start-failing";
        return runsUnknownJob ? "runs-unknown-job" : "";
    }

    /*! \return whether the worker can be assigned new attempts, as far as its state is known. */
    bool isUsable() const { return unusableCause().empty(); }

    /*!
        \return whether the platform's entry describes the incarnation that last reported; another one may
            have another capacity.
    */
    bool isListedIncarnation() const { return info.startedUnixMs == 0 || info.startedUnixMs == bornMs; }
};

} // namespace Fleet
