#pragma once

#include "capacityreservations.h"
#include "fencedwriter.h"
#include "journal.h"
#include "shardowner.h"
#include "shardwatch.h"
#include "taskregistry.h"
#include "workerlink.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Batch {

/*! Implementation of ShardOwner, which only forwards to it. */
class ShardOwner::Private {
public:
    /*! Relation of this process to the shard. */
    enum class Role {
        Watching, //!< Another process may own the shard.
        TakingOver, //!< The write that takes over the shard is outstanding.
        Loading, //!< The shard is owned and its journal is being read.
        Owning,
        Releasing, //!< The write that gives up the shard is outstanding.
        Released,
    };

    /*! A worker of the shard. */
    struct Worker {
        explicit Worker(WorkerLink workerLink)
            : link(std::move(workerLink))
        {
        }

        WorkerLink link;
        std::vector<Schema::AttemptRef> acknowledgements;
        std::vector<Schema::AttemptRef>
            staleAttemptsToStop; //!< Running attempts that the owner counts as ended.
        bool listed = true;
        Utils::TimePoint unlistedSince;
        bool commandsDue = false; //!< Whether a command for a running attempt is to be sent.
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

    // Attempts: shardownerattempts.cpp
    void onReport(std::string_view worker, std::uint64_t sequence, const Schema::WorkerReport* report,
        Utils::TimePoint now);
    bool evict(const Schema::AttemptRef& attempt);

    bool releaseRequested_ = false;
    std::optional<Utils::TimePoint> releaseStartedAt_; // First tick as owner after release().
    Role role_ = Role::Watching;

private:
    // Ownership
    void watchShardRow(Utils::TimePoint now, Actions& actions);
    void startTakeover(Utils::TimePoint now);
    void readJournal(Utils::TimePoint now, Actions& actions);
    void tickAsOwner(Utils::TimePoint now, Actions& actions);
    bool workersRenewedForRelease(Utils::TimePoint now) const;
    void flushJournal(Utils::TimePoint now);
    void startWrite(Schema::CommitRequest request, Utils::TimePoint now);
    void onWriteCommitted(Utils::TimePoint now);
    void loadJournal(const std::vector<Schema::Row>& rows, Utils::TimePoint now);
    void applyWorkerList(Utils::TimePoint now);
    void stepDown();
    void updateCapacity();
    Utils::Duration answerTimeout() const;
    bool isTableResponsive(Utils::TimePoint now) const;
    bool outageGraceExpired(Utils::TimePoint now) const;

    // Jobs: shardownerjobs.cpp
    void scanInbox(Utils::TimePoint now, Actions& actions);
    void onInbox(const std::vector<Schema::Row>& rows, Utils::TimePoint now);
    void cancel(Job& job);
    std::uint32_t rankOf(const Job& job) const;
    void updateFeasibility(Utils::TimePoint now);
    void finishJobs(Utils::TimePoint now);
    bool allTasksEnded(const Job& job) const;
    void publishJobStates(Utils::TimePoint now);

    // Attempts
    void applyReport(
        Worker& worker, const Schema::WorkerReport& report, std::uint64_t sequence, Utils::TimePoint now);
    void dropOtherIncarnations(const Worker& worker, Utils::TimePoint now);
    void applyAttemptReport(
        Worker& worker, const Schema::AttemptReport& report, std::uint64_t sequence, Utils::TimePoint now);
    void applyStaleReport(Worker& worker, const Schema::AttemptReport& report);
    void handleUnreportedAttempt(
        Task& task, bool batchAccepted, std::uint64_t sequence, Utils::TimePoint now);
    void endAttempt(Task& task, const Schema::AttemptReport& report, Utils::TimePoint now);
    void loseAttempt(Task& task, Utils::TimePoint now);
    void returnToPending(Task& task, Utils::TimePoint now);
    void endCancelledTask(Task& task);
    void dropLostWorkers(Utils::TimePoint now);
    void onTaskRecorded(const Schema::TaskRecord& record);
    RunningTask runningTask(const Task& task) const;

    // Scheduling rounds: shardownerrounds.cpp
    void scheduleRound(Utils::TimePoint now);
    std::vector<AvailableWorker> availableWorkers(Utils::TimePoint now);
    std::vector<RunningTask> runningTasks(std::span<const AvailableWorker> workers);
    void startRecorded(std::span<const AvailableWorker> workers, Utils::TimePoint now);
    void placePendingTasks(
        std::span<const AvailableWorker> workers, std::span<const RunningTask> running, Utils::TimePoint now);
    void recordAhead(std::span<const AvailableWorker> workers, Utils::TimePoint now);
    void preempt(
        std::span<const AvailableWorker> workers, std::span<const RunningTask> running, Utils::TimePoint now);
    void drainLeavingWorkers();
    void requestCommands(const Task& task);
    void releaseUnrecordedReservations();
    void recordAttempt(Task& task, const std::string& worker, bool holdsCapacity);
    std::uint64_t nextSequence();
    void sendCommandBatches(Utils::TimePoint now, Actions& actions);
    Schema::CommandBatch makeCommandBatch(const std::string& name, Worker& worker);
    void addTaskCommands(Task& task, Schema::CommandBatch& batch);

    ShardOwnerOptions options_;
    Placer& placer_;
    ShardWatch watch_;
    FencedWriter writer_;
    Journal journal_;
    TaskRegistry registry_;
    CapacityReservations reservations_;
    std::map<std::string, Worker, std::less<>> workers_;
    std::vector<Schema::VmEntry> listedVms_;
    std::map<std::string, std::uint32_t> ranksByClass_;
    bool hasWorkerList_ = false;
    Schema::ShardRow row_;
    ShardOwnerStatistics statistics_;
    std::uint64_t lastSequence_ = 0;

    std::uint64_t nextReadId_ = 0;
    std::uint64_t nextWriteId_ = 0;
    std::uint64_t watchReadId_ = 0;
    std::uint64_t journalScanId_ = 0;
    std::uint64_t inboxScanId_ = 0;
    bool awaitsJournal_ = false;
    bool awaitsInbox_ = false;
    Utils::TimePoint watchReadAt_;
    Utils::TimePoint journalScannedAt_;
    Utils::TimePoint inboxScannedAt_;
    Utils::TimePoint ownedSince_;
    Utils::Duration longestLease_ {};
    Utils::TimePoint renewedAt_; //!< When the last effective write was first sent.
    Utils::TimePoint lastRoundAt_;
    Utils::TimePoint jobsCheckedAt_;
};

} // namespace Batch
