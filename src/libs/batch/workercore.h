#pragma once

#include "utils/clock.h"

#include <batch.pb.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Batch {

/*! Names one attempt; ordered, for use as a key. */
struct AttemptId {
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;

    bool operator==(const AttemptId&) const = default;

    /*! \return whether it sorts before another. \param other the other. */
    bool operator<(const AttemptId& other) const
    {
        return std::tie(job, task, attempt) < std::tie(other.job, other.task, other.attempt);
    }
};

/*! \return the id. \param ref the attempt as it stands in messages. */
AttemptId attemptId(const Schema::AttemptRef& ref);

/*! \return the attempt as it stands in messages. \param id the id. */
Schema::AttemptRef attemptRef(const AttemptId& id);

/*! What the task runner of a worker is to do. */
struct RunnerCommands {
    std::vector<Schema::StartCommand> starts;
    std::vector<AttemptId> checkpoints; //!< Write a checkpoint, then end; may be ordered again.
    std::vector<AttemptId> stops; //!< Stop at once; the core has ended the attempt already.
    std::vector<Schema::ThrottleCommand> throttles;
};

/*! One line of a worker's run log. */
struct RunLogEntry {
    AttemptId attempt;
    std::string checkpoint; //!< Start: resumed from. End: written.
    bool isStart = false;
    Schema::AttemptState state = Schema::ATTEMPT_RUNNING; //!< End: how it ended.
    Utils::TimePoint time;
};

/*!
    The worker's side of the leases: decides which commands are obeyed and when an attempt must be stopped.

    Refuses lower epochs, late batches and those granted too long ago; starts an attempt at most once; keeps
    ends until they are acknowledged. Does no I/O; used by one thread at a time.
*/
class WorkerCore {
public:
    /*!
        \param worker name of the worker's VM.
        \param incarnation made anew at each start of the agent.
    */
    WorkerCore(std::string worker, std::string incarnation);

    /*!
        Obeys or refuses a command batch.
        \param batch the batch.
        \param now the current time.
        \param orders takes what the runner is to do.
        \return the report that answers it.
    */
    Schema::WorkerReport onBatch(
        const Schema::CommandBatch& batch, Utils::TimePoint now, RunnerCommands& commands);

    /*!
        Stops attempts whose lease lapsed.
        \param now the current time.
        \param orders takes what the runner is to do.
    */
    void tick(Utils::TimePoint now, RunnerCommands& commands);

    /*! \return when tick() is due next, or nothing. */
    std::optional<Utils::TimePoint> nextLeaseEnd() const;

    /*!
        Takes note of progress.
        \param id the attempt.
        \param progress 0 to 1.
    */
    void onProgress(const AttemptId& id, double progress);

    /*!
        Takes note that the runner ended an attempt; ignored if it ended before, by a lapse for example.
        \param id the attempt.
        \param state how it ended.
        \param checkpoint name of the checkpoint written, or empty.
        \param reason why, for operators.
        \param now the current time.
        \return true if the end counts.
    */
    bool onAttemptEnded(const AttemptId& id, Schema::AttemptState state, const std::string& checkpoint,
        const std::string& reason, Utils::TimePoint now);

    /*! \return all starts and ends so far. */
    const std::vector<RunLogEntry>& runLog() const { return runLog_; }

    /*! \return number of attempts running. */
    std::size_t runningCount() const;

private:
    struct Attempt {
        Schema::AttemptReport report;
        bool running = true;
    };

    struct Shard {
        std::uint64_t highestEpoch = 0;
        std::uint64_t highestSequence = 0;
        Utils::TimePoint leaseEnd;
        std::map<AttemptId, Attempt> attempts;
    };

    bool acceptBatch(Shard& shard, const Schema::CommandBatch& batch, Utils::TimePoint now) const;
    void executeBatch(
        Shard& shard, const Schema::CommandBatch& batch, Utils::TimePoint now, RunnerCommands& commands);
    void startAttempt(
        Shard& shard, const Schema::StartCommand& command, Utils::TimePoint now, RunnerCommands& commands);
    void endAttempt(const AttemptId& id, Attempt& attempt, Schema::AttemptState state, Utils::TimePoint time);

    std::string worker_;
    std::string incarnation_;
    std::map<std::string, Shard> shards_;
    std::vector<RunLogEntry> runLog_;
};

} // namespace Batch
