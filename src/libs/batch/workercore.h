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

/*! Identifies one attempt; ordered, for use as a key. */
struct AttemptId {
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;

    bool operator==(const AttemptId&) const = default;

    bool operator<(const AttemptId& other) const
    {
        return std::tie(job, task, attempt) < std::tie(other.job, other.task, other.attempt);
    }
};

/*! Converts the identifier of an attempt from a message. */
AttemptId attemptId(const Schema::AttemptRef& ref);

/*! Converts the identifier of an attempt for a message. */
Schema::AttemptRef attemptRef(const AttemptId& id);

/*! Commands for the task runner of a worker. */
struct RunnerCommands {
    std::vector<Schema::StartCommand> starts;
    std::vector<AttemptId> checkpoints; //!< Write a checkpoint, then end; may be repeated.
    std::vector<AttemptId> stops; //!< Stop at once; WorkerCore already counts the attempt as ended.
    std::vector<Schema::ThrottleCommand> throttles;
};

/*! Entry of a worker's run log: the start or the end of an attempt. */
struct RunLogEntry {
    AttemptId attempt;
    std::string checkpoint; //!< For a start, the checkpoint resumed from; for an end, the one written.
    bool isStart = false;
    Schema::AttemptState state = Schema::ATTEMPT_RUNNING; //!< For an end, how the attempt ended.
    Utils::TimePoint time;
};

/*!
    A worker's side of the lease protocol: decides which commands are carried out and when an attempt must
    stop.

    Rejects batches with a lower epoch or an outdated sequence number, batches for another incarnation, and
    batches whose lease has already lapsed. Starts an attempt at most once and reports its end until the owner
    acknowledges that end. Does no I/O and is not thread-safe.
*/
class WorkerCore {
public:
    /*!
        \param worker name of the worker's VM.
        \param incarnation unique for each start of the agent.
    */
    WorkerCore(std::string worker, std::string incarnation);

    /*!
        Accepts or rejects a command batch.
        \param commands receives the commands for the task runner.
        \return the report to send as the answer.
    */
    Schema::WorkerReport onBatch(
        const Schema::CommandBatch& batch, Utils::TimePoint now, RunnerCommands& commands);

    /*!
        Stops attempts whose lease has lapsed.
        \param commands receives the commands for the task runner.
    */
    void tick(Utils::TimePoint now, RunnerCommands& commands);

    /*! \return when the next lease with a running attempt ends and tick() is due; empty if nothing runs. */
    std::optional<Utils::TimePoint> nextLeaseEnd() const;

    /*!
        Sets the progress of a running attempt, which the following reports contain.
        \param progress 0 to 1.
    */
    void onProgress(const AttemptId& id, double progress);

    /*!
        Must be called when an attempt ended at the task runner. Ignored if the attempt already counts as
        ended, for example because its lease lapsed.

        \param checkpoint name of the checkpoint that was written, or empty.
        \param reason reason for operators.
        \return false if the end was ignored.
    */
    bool onAttemptEnded(const AttemptId& id, Schema::AttemptState state, const std::string& checkpoint,
        const std::string& reason, Utils::TimePoint now);

    /*! \return all starts and ends since this object was created. */
    const std::vector<RunLogEntry>& runLog() const { return runLog_; }

    /*! \return the number of running attempts. */
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
