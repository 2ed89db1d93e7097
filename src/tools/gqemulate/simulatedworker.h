#pragma once

#include "ports/workeragent.h"
#include "ports/workerinfo.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Emulate {

/*! Behavior of a task on a worker. */
struct TaskBehavior {
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMb = 0;
    std::int64_t runTimeMs = 0; //!< Run time on a healthy worker; 0: long-running.
    bool alwaysFails = false;
    bool crashesWorker = false; //!< The worker crashes shortly after the task's start.
    bool isBestEffort = false; //!< Commits no processors.
    std::uint32_t tailTargetMs = 0; //!< As in FleetSchema::StepSpec; 0: not latency-critical.
    double pressure = 0; //!< Utilization that a best-effort task on the whole worker adds to other tasks.
    double meanUtilization = 0; //!< Mean utilization of a latency-critical task by its own load.
    std::uint32_t gangSize = 0; //!< Number of tasks that run together; 0: the task runs alone.
};

/*! Simulates, in virtual time, a worker of the users' platform that follows the published protocol. */
class SimulatedWorker {
public:
    /*!
        \param info the entry in the list of workers.
        \param honorsEpochs whether commands with an epoch below the highest seen one are rejected.
    */
    SimulatedWorker(Ports::WorkerInfo info, bool honorsEpochs);

    /*! \return the entry in the list of workers. */
    const Ports::WorkerInfo& info() const { return info_; }

    /*! Carries out a start command. */
    Ports::CommandReply start(
        const Ports::StartCommand& command, const TaskBehavior& behavior, std::int64_t nowMs);

    /*! Carries out a stop command and rejects later starts of the attempt. */
    Ports::CommandReply stop(
        const Ports::TaskKey& task, std::uint32_t attempt, std::uint64_t epoch, std::int64_t nowMs);

    /*!
        Carries out a poll.

        \return the report, or nothing if the epoch is too low.
    */
    std::optional<Ports::WorkerReport> poll(const Ports::PollRequest& command, std::int64_t nowMs);

    /*! Ends attempts that are complete or failing, and all attempts once the lease has expired. */
    void advance(std::int64_t nowMs);

    /*! Loses all state and starts as a new incarnation. */
    void restart(std::int64_t nowMs);

    /*! Ends all attempts without a report; the worker is down until its restart. */
    void crash();

    /*! Sets the capacity, which the entry in the list of workers shows \p listDelayMs later. */
    void setCapacity(
        std::int64_t milliProcessors, std::int64_t memoryMb, std::int64_t listDelayMs, std::int64_t nowMs);

    /*! \return the entry in the list of workers, with the capacity that it shows. */
    Ports::WorkerInfo entry(std::int64_t nowMs) const;

    /*! \return the entry with the largest processors and memory that the worker had within the window. */
    Ports::WorkerInfo largestRecentCapacity(std::int64_t windowMs, std::int64_t nowMs) const;

    /*! A running attempt. */
    struct Attempt {
        std::uint32_t number = 0;
        TaskBehavior behavior;
        std::int64_t startedMs = 0;
        int speedPercent = 100;
        std::int64_t lostMs = 0; //!< Run time lost by limits on the speed.
        std::int64_t stopAtMs = -1; //!< Time at which an ordered stop is complete; -1: none is ordered.
        std::int64_t lapseAtMs = -1; //!< The same for the end of the lease; -1: it has lasted so far.
    };

    /*! Limits the speed of an attempt. */
    void throttle(const Ports::TaskKey& task, std::uint32_t attempt, int speedPercent, std::uint64_t epoch);

    /*! Ends a running attempt. */
    void endAttempt(const Ports::TaskKey& task, Ports::AttemptOutcome kind);

    /*! \return whether a command with this epoch would be rejected as one of a former owner. */
    bool rejectsEpoch(std::uint64_t epoch) const { return honorsEpochs_ && epoch < epoch_; }

    /*! \return the running attempts by task. */
    const std::map<Ports::TaskKey, Attempt>& running() const { return running_; }

    std::vector<Ports::EndedAttempt> newlyEnded; //!< Ends since the caller last cleared the vector.
    //! Ends acknowledged since the caller last cleared the vector; ends before the lease last expired do
    //! not count.
    std::vector<Ports::EndedAttempt> newlyAcknowledged;

    //! Tasks that crash workers and were running when this one crashed, since the caller last cleared the
    //! vector.
    std::vector<Ports::TaskKey> newlyCrashedUnder;

    bool hasSlowClock = false; //!< Its clock runs 2% slow.
    bool isUp = true; //!< False after a crash, until the restart.
    bool isReachable = true;
    bool failsAllTasks = false;
    int slowness = 1; //!< Factor on run times.
    //! Time that a stop takes, also after the end of the lease; the attempt keeps its capacity during it.
    std::int64_t stopDurationMs = 0;

private:
    /*! A change of the capacity. */
    struct CapacityChange {
        std::int64_t timeMs = 0;
        std::int64_t listedMs = 0; //!< Time from which the entry shows it.
        std::int64_t milliProcessors = 0;
        std::int64_t memoryMb = 0;
    };

    std::int64_t reportedLoad(const Attempt& attempt, std::int64_t nowMs) const;
    void forgetAcknowledgedEnds();
    std::int64_t clockMs(std::int64_t nowMs) const
    {
        const std::int64_t elapsedMs = nowMs - info_.startedUnixMs;
        return (hasSlowClock ? elapsedMs * 50 / 51 : elapsedMs) + clockOffsetMs;
    }

    // Makes the worker's clock differ from virtual time, as workers' clocks are unrelated to the owner's.
    static constexpr std::int64_t clockOffsetMs = 77'000;

    Ports::WorkerInfo info_;
    bool honorsEpochs_;
    std::vector<CapacityChange> capacityChanges_; //!< In their order; the first is the initial capacity.
    std::map<Ports::TaskKey, Attempt> running_;
    std::map<Ports::TaskKey, std::uint32_t> highestAttempt_;
    std::vector<Ports::EndedAttempt> unacknowledgedEnds_;
    std::uint64_t nextEndNumber_ = 1;
    std::uint64_t acknowledgedUpTo_ = 0; //!< Also holds for ends of these numbers that come later.
    std::uint64_t lastEndBeforeLapse_ = 0; //!< Number of the latest end before the lease last expired.
    std::uint64_t epoch_ = 0;
    std::int64_t leaseUntilMs_ = 0; //!< In the worker's clock.
    std::int64_t advancedMs_ = 0; //!< Time of the latest advance().
};

} // namespace Emulate
