#pragma once

#include "ports/workeragent.h"
#include "ports/workerinfo.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Emulate {

/*! What a task of an emulated job does on a worker. */
struct TaskBehavior {
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMb = 0;
    std::int64_t runTimeMs = 0; //!< Run time on a sound worker; 0: it lasts.
    bool alwaysFails = false;
};

/*! A worker of the users' platform as its published protocol tells, in virtual time. */
class SimulatedWorker {
public:
    /*! \param info its entry in the workers' list. \param honorsEpochs whether it refuses lower epochs. */
    SimulatedWorker(Ports::WorkerInfo info, bool honorsEpochs);

    /*! \return its entry in the workers' list. */
    const Ports::WorkerInfo& info() const { return info_; }

    /*! Carries out a start. \param order the order. \param behaviour of the task. \param nowMs virtual time.
        \return the answer. */
    Ports::OrderReply start(
        const Ports::StartOrder& command, const TaskBehavior& behavior, std::int64_t nowMs);

    /*! Carries out a stop. \param task,attempt what. \param epoch of the sender. \param nowMs virtual time.
        \return the answer. */
    Ports::OrderReply stop(
        const Ports::TaskKey& task, std::uint32_t attempt, std::uint64_t epoch, std::int64_t nowMs);

    /*! Carries out a poll. \param order the poll. \param nowMs virtual time.
        \return the report, or nothing if the epoch is too low. */
    std::optional<Ports::WorkerReport> poll(const Ports::PollOrder& command, std::int64_t nowMs);

    /*! Ends what is due and what has lost its lease. \param nowMs virtual time. */
    void advance(std::int64_t nowMs);

    /*! Loses everything and starts again. \param nowMs virtual time. */
    void restart(std::int64_t nowMs);

    /*! An attempt that runs. */
    struct Attempt {
        std::uint32_t number = 0;
        TaskBehavior behavior;
        std::int64_t startedMs = 0;
    };

    /*! \return what runs. */
    const std::map<Ports::TaskKey, Attempt>& running() const { return running_; }

    std::vector<Ports::EndedAttempt> newlyEnded; //!< Ends since the caller last cleared it.
    //! Ends acknowledged since the caller last cleared it; an end does not count once the lease has lapsed
    //! after it.
    std::vector<Ports::EndedAttempt> newlyAcknowledged;

    bool isUp = true; //!< False while it is crashed.
    bool isReachable = true;
    bool failsAllTasks = false;
    int slowness = 1; //!< Factor on run times.

private:
    void endAttempt(const Ports::TaskKey& task, Ports::EndKind kind);
    std::int64_t clockMs(std::int64_t nowMs) const { return nowMs - info_.bornMs + clockOffsetMs; }

    // Clocks of workers have nothing to do with each other.
    static constexpr std::int64_t clockOffsetMs = 77'000;

    Ports::WorkerInfo info_;
    bool honorsEpochs_;
    std::map<Ports::TaskKey, Attempt> running_;
    std::map<Ports::TaskKey, std::uint32_t> highestAttempt_;
    std::vector<Ports::EndedAttempt> unacknowledgedEnds_;
    std::uint64_t nextEndNumber_ = 1;
    std::uint64_t lastEndBeforeLapse_ = 0; //!< Latest end before the lease last lapsed.
    std::uint64_t epoch_ = 0;
    std::int64_t leaseUntilMs_ = 0; //!< On its clock.
};

} // namespace Emulate
