#pragma once

#include "commitments.h"
#include "fencedwriter.h"
#include "journal.h"
#include "shardowner.h"
#include "shardwatch.h"
#include "taskbook.h"
#include "workerlink.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Batch {

/*! State and steps of a shard's owner; ShardOwner only forwards to it. */
class ShardOwner::Private {
public:
    /*! What this process is to the shard. */
    enum class Role {
        Watching, //!< Another process may own it.
        Taking, //!< The takeover is being written.
        Loading, //!< Owned; the journal is being read.
        Owning,
        Releasing, //!< The hand-over is being written.
        Released,
    };

    /*! A worker as its owner sees it. */
    struct Worker {
        explicit Worker(WorkerLink workerLink)
            : link(std::move(workerLink))
        {
        }

        WorkerLink link;
        std::vector<Schema::AttemptRef> acknowledgements;
        std::vector<Schema::AttemptRef> strayStops; //!< Attempts that run though they were given up.
        bool listed = true;
        Utils::TimePoint missingSince;
        bool commandsDue = false; //!< A running attempt has to be told something.
    };

    Private(ShardOwnerOptions options, Placer& placer);

    // Ownership: shardowner.cpp
    Actions tick(Utils::TimePoint now);
    void onCommit(
        std::string_view writeId, CommitOutcome outcome, std::uint64_t version, Utils::TimePoint now);
    void onRow(std::uint64_t id, const Schema::Row* row, Utils::TimePoint now);
    void onRows(std::uint64_t id, const std::vector<Schema::Row>* rows, Utils::TimePoint now);
    void onWorkers(std::span<const Schema::VmEntry> workers, Utils::TimePoint now);
    ShardOwnerStatistics statistics() const;
    void setPolicy(const Schema::PolicyDocument& policy);

    // Attempts: attempts.cpp
    void onReport(std::string_view worker, std::uint64_t sequence, const Schema::WorkerReport* report,
        Utils::TimePoint now);
    bool evict(const Schema::AttemptRef& attempt);

    bool releaseAsked_ = false;
    std::optional<Utils::TimePoint> releaseFrom_; // When the owner began to give up the shard.
    Role role_ = Role::Watching;

private:
    // Ownership
    void watch(Utils::TimePoint now, Actions& actions);
    void startTakeover(Utils::TimePoint now);
    void read(Utils::TimePoint now, Actions& actions);
    void own(Utils::TimePoint now, Actions& actions);
    bool renewedForRelease(Utils::TimePoint now) const;
    void flush(Utils::TimePoint now);
    void startWrite(Schema::CommitRequest request, Utils::TimePoint now);
    void onWritten(Utils::TimePoint now);
    void onSegments(const std::vector<Schema::Row>& rows, Utils::TimePoint now);
    void takeList(Utils::TimePoint now);
    void stepDown();
    void fillCapacity();
    Utils::Duration answerTimeout() const;
    bool tableHealthy(Utils::TimePoint now) const;
    bool suspended(Utils::TimePoint now) const;

    // Jobs: jobs.cpp
    void askInbox(Utils::TimePoint now, Actions& actions);
    void onInbox(const std::vector<Schema::Row>& rows, Utils::TimePoint now);
    void cancel(Job& job);
    std::uint32_t rankOf(const Job& job) const;
    void checkFits(Utils::TimePoint now);
    void finishJobs(Utils::TimePoint now);
    bool allEnded(const Job& job) const;
    void inform(Utils::TimePoint now);

    // Attempts
    void takeReport(
        Worker& worker, const Schema::WorkerReport& report, std::uint64_t sequence, Utils::TimePoint now);
    void loseOtherIncarnations(const Worker& worker, Utils::TimePoint now);
    void takeAttempt(
        Worker& worker, const Schema::AttemptReport& report, std::uint64_t sequence, Utils::TimePoint now);
    void takeStray(Worker& worker, const Schema::AttemptReport& report);
    void takeMissing(Task& task, bool executed, std::uint64_t sequence, Utils::TimePoint now);
    void endAttempt(Task& task, const Schema::AttemptReport& report, Utils::TimePoint now);
    void loseAttempt(Task& task, Utils::TimePoint now);
    void unstock(Task& task, Utils::TimePoint now);
    void closeCancelled(Task& task);
    void giveUpLost(Utils::TimePoint now);
    void onRecorded(const Schema::TaskRecord& record);
    RunningTask runningTask(const Task& task) const;

    // Rounds: rounds.cpp
    void scheduleRound(Utils::TimePoint now);
    std::vector<WorkerRoom> rooms(Utils::TimePoint now);
    std::vector<RunningTask> running(std::span<const WorkerRoom> rooms);
    void startStocked(std::span<const WorkerRoom> rooms, Utils::TimePoint now);
    void placePending(
        std::span<const WorkerRoom> rooms, std::span<const RunningTask> running, Utils::TimePoint now);
    void fillStock(std::span<const WorkerRoom> rooms, Utils::TimePoint now);
    void relieve(
        std::span<const WorkerRoom> rooms, std::span<const RunningTask> running, Utils::TimePoint now);
    void drainLeaving();
    void askCommands(const Task& task);
    void freeUnsentHolds();
    void record(Task& task, const std::string& worker, bool holds);
    std::uint64_t nextSequence();
    void sendBatches(Utils::TimePoint now, Actions& actions);
    Schema::CommandBatch makeBatch(const std::string& name, Worker& worker);
    void addTaskCommands(Task& task, Schema::CommandBatch& batch);

    ShardOwnerOptions options_;
    Placer& placer_;
    ShardWatch watch_;
    FencedWriter writer_;
    Journal journal_;
    TaskBook book_;
    Commitments commitments_;
    std::map<std::string, Worker, std::less<>> workers_;
    std::vector<Schema::VmEntry> listed_;
    std::map<std::string, std::uint32_t> ranks_;
    bool listKnown_ = false;
    Schema::ShardRow row_;
    ShardOwnerStatistics counts_;
    std::uint64_t lastSequence_ = 0;

    std::uint64_t nextReadId_ = 0;
    std::uint64_t nextWriteId_ = 0;
    std::uint64_t watchReadId_ = 0;
    std::uint64_t scanId_ = 0;
    std::uint64_t inboxScanId_ = 0;
    bool awaitsScan_ = false;
    bool awaitsInbox_ = false;
    Utils::TimePoint watchReadAt_;
    Utils::TimePoint scanAt_;
    Utils::TimePoint inboxAt_;
    Utils::TimePoint ownedSince_;
    Utils::Duration longestLease_ {};
    Utils::TimePoint renewedAt_; //!< When the last write that took effect was first sent.
    Utils::TimePoint roundAt_;
    Utils::TimePoint jobsCheckedAt_;
};

} // namespace Batch
