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
struct TaskBehaviour {
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMb = 0;
    std::int64_t runMs = 0; //!< Run time on a sound worker; 0: it lasts.
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
    Ports::CommandReply start(
        const Ports::StartCommand& order, const TaskBehaviour& behaviour, std::int64_t nowMs);

    /*! Carries out a stop. \param task,attempt what. \param epoch of the sender. \param nowMs virtual time.
        \return the answer. */
    Ports::CommandReply stop(
        const Ports::TaskKey& task, std::uint32_t attempt, std::uint64_t epoch, std::int64_t nowMs);

    /*! Carries out a poll. \param order the poll. \param nowMs virtual time.
        \return the report, or nothing if the epoch is too low. */
    std::optional<Ports::WorkerReport> poll(const Ports::PollRequest& order, std::int64_t nowMs);

    /*! Ends what is due and what has lost its lease. \param nowMs virtual time. */
    void advance(std::int64_t nowMs);

    /*! Loses everything and starts again. \param nowMs virtual time. */
    void restart(std::int64_t nowMs);

    /*! An attempt that runs. */
    struct Run {
        std::uint32_t attempt = 0;
        TaskBehaviour behaviour;
        std::int64_t startedMs = 0;
    };

    /*! \return what runs. */
    const std::map<Ports::TaskKey, Run>& running() const { return running_; }

    std::vector<Ports::EndedAttempt> newEnds; //!< Ends since the caller last cleared it.
    //! Ends acknowledged since the caller last cleared it; an end does not count once the lease has lapsed
    //! after it.
    std::vector<Ports::EndedAttempt> acknowledged;

    bool isUp = true; //!< False while it is crashed.
    bool isReachable = true;
    bool failsEverything = false;
    int slowness = 1; //!< Factor on run times.

private:
    void end(const Ports::TaskKey& task, Ports::AttemptOutcome kind);
    std::int64_t clock(std::int64_t nowMs) const { return nowMs - info_.startedUnixMs + clockOffsetMs; }

    // Clocks of workers have nothing to do with each other.
    static constexpr std::int64_t clockOffsetMs = 77'000;

    Ports::WorkerInfo info_;
    bool honorsEpochs_;
    std::map<Ports::TaskKey, Run> running_;
    std::map<Ports::TaskKey, std::uint32_t> highestAttempt_;
    std::vector<Ports::EndedAttempt> ended_;
    std::uint64_t nextEnd_ = 1;
    std::uint64_t lapsedEnd_ = 0; //!< Latest end before the lease last lapsed.
    std::uint64_t epoch_ = 0;
    std::int64_t leaseUntilMs_ = 0; //!< On its clock.
};

} // namespace Emulate
