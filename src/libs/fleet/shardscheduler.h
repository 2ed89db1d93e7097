#pragma once

#include "domainevacuation.h"
#include "formerleases.h"
#include "imagedemand.h"
#include "job.h"
#include "pollplan.h"
#include "presumedcrash.h"
#include "recordbatch.h"
#include "relocationsearch.h"
#include "scheduleroptions.h"
#include "scheduleroutput.h"
#include "statedleaseends.h"
#include "stepbudget.h"
#include "worker.h"

#include "ports/workeragent.h"
#include "utils/clock.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

struct GangVisit;
struct InterferenceView;
class InterferenceCache;
class TailLatencyModel;
enum class CrashEvidence;

/*!
    Schedules the jobs and workers of one shard while this node owns it; does no I/O.

    An attempt is recorded in the store before it is sent, an end before it is acknowledged, and a job's
    state before it is reported to a caller. Thus a successor never loads a state that is behind what
    was visible outside. beginCommit() and onCommitted() enclose each transaction; there is at most one
    at a time.

    A task with an open attempt is started again only when the attempt is known to have ended: by a
    reported end, by a report that must list the attempt and does not, by a rejection, or because the
    worker's lease has certainly expired and the worker has had time to end it.
*/
class ShardScheduler {
public:
    /*!
        \param output receives the commands and events; must outlive the scheduler.
        \param tailLatencyModel interference estimates; must outlive the scheduler.
    */
    ShardScheduler(SchedulerOptions options, SchedulerOutput& output, TailLatencyModel& tailLatencyModel);
    ~ShardScheduler();

    // What is known of former owners must be set before restore().
    /*! Sets the time for which former owners may still call workers. */
    void setFormerRenewal(Utils::Duration time) { formerRenewal_ = time; }
    /*! Sets the longest lease that former owners requested. */
    void setFormerLease(Utils::Duration lease) { formerLease_ = lease; }
    /*! Sets until when attempts can run on workers, as the former owner knew it. */
    void setFormerLeaseEnds(LeaseEnds ends) { formerLeaseEnds_ = std::move(ends); }
    /*! Sets heldLeaseEnd() of the former owner. */
    void setFormerHeldLeaseEnd(Utils::TimePoint end) { formerHeldLeaseEnd_ = end; }
    /*! Sets the time for which former owners may still send starts. */
    void setFormerStart(Utils::Duration time) { formerStart_ = time; }

    /*! Sets until when this owner is entitled to start attempts. Initially there is no limit. */
    void setStartRightEnd(Utils::TimePoint end);

    /*! Keeps to the ends of leases that the former owner stated until a transaction states others. Must be
        called after the takeover and before the first transaction. */
    void adoptStatedLeaseEnds(const LeaseEnds& ends);

    /*! \return the attempts that have ended while their ends are not known to be stored. */
    std::vector<FleetSchema::EndedTask> unstoredEnds() const;

    /*! Processes ends that a former owner took in and could not store. */
    void onFormerOwnersEnds(
        const std::vector<FleetSchema::EndedTask>& ends, Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! Limits the wait for workers that have not reported to this owner.
        \param ends until when attempts of former owners can run, by worker.
        \param otherEnd the same for all other workers. */
    void limitFormerLeases(const LeaseEnds& ends, Utils::TimePoint otherEnd);

    /*! \return until when workers may hold leases in the clock of a former incarnation. */
    Utils::TimePoint heldLeaseEnd() const;

    /*! \return how often this owner has noticed a restart of a worker or has lost sight of it. */
    std::uint32_t restartCount(const std::string& worker) const;

    /*! \return until when attempts can run on the workers with open attempts. */
    LeaseEnds leaseEnds() const;

    /*! Returns until when attempts can run on workers that leave or have left. They are stated in the next
        transaction; this owner does not renew their leases for longer until another one is stored. */
    LeaseEnds stateLeaseEnds(Utils::TimePoint now);

    /*!
        \return whether other workers leave or have left than the latest transaction states, or the lease of
            one that answers cannot be renewed because of a stated end.
    */
    bool isLeaseStatementDue(Utils::TimePoint now) const;

    /*! Loads a job from its stored record. */
    void restore(const FleetSchema::JobRecord& record, Utils::TimePoint now, std::int64_t nowUnixMs);

    /*!
        Sets the workers that the platform lists for the shard.

        \param readAt when the list started to be read; empty: \p now.
    */
    void setWorkers(const std::vector<Ports::WorkerInfo>& workers, Utils::TimePoint now,
        std::optional<Utils::TimePoint> readAt = std::nullopt);

    /*!
        Accepts a job; the submission is answered once the job is stored. A job with a known
        identifier is not accepted again.

        \param spec a specification that validateJobSpec() accepts.
        \param ticket identifies the submission in SchedulerOutput::answer().
    */
    void submit(
        const FleetSchema::JobSpec& spec, std::uint64_t ticket, Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! Cancels a job; the call is answered once the job's end is stored, or at once if the job is unknown. */
    void cancel(std::string_view id, std::uint64_t ticket, std::int64_t nowUnixMs);

    /*!
        Accepts a task that another shard delegates; the call is answered once the task is stored.
        Repeated calls accept the task once.
    */
    void acceptDelegatedTask(
        const FleetSchema::TaskTransfer& transfer, std::uint64_t ticket, Utils::TimePoint now);

    /*!
        Cancels the tasks of a job that this shard hosts for another one, including tasks that are
        delegated later: a delegation may arrive after the cancellation. The call is
        answered once the cancellation is stored.
    */
    void cancelHostedTasks(
        const FleetSchema::JobSpec& spec, std::uint64_t ticket, Utils::TimePoint now, std::int64_t nowUnixMs);

    /*!
        Notifies the scheduler that another shard has stored a delegated task.

        \param transfer as passed to SchedulerOutput::delegateTask().
    */
    void onDelegationStored(const FleetSchema::TaskTransfer& transfer, const std::string& shard);

    /*! Notifies the scheduler that another shard has stored the cancellation of the tasks delegated to it. */
    void onDelegatedTasksCancelled(const std::string& job, const std::string& shard);

    /*!
        Accepts the result of a task that this shard delegated; the call is answered once the result is
        stored. Repeated calls and results of earlier transfers have no effect.
    */
    void acceptTaskResult(const FleetSchema::TaskResult& result, std::uint64_t ticket, Utils::TimePoint now,
        std::int64_t nowUnixMs);

    /*!
        Notifies the scheduler that the origin shard has stored the result of a delegated task.

        \param result as passed to SchedulerOutput::sendTaskResult().
    */
    void onTaskResultStored(const FleetSchema::TaskResult& result, std::int64_t nowUnixMs);

    /*! Processes the state of a job in the shard that delegated tasks of it to this one. */
    void onOriginState(const std::string& job, FleetSchema::JobState state, std::int64_t nowUnixMs);
    /*!
        Processes the news that a host shard holds capacity for its part of a gang.

        \return PEER_OK, or PEER_REFUSED if the part is not to be started and must be returned.
    */
    FleetSchema::PeerOutcome acceptPartReady(const FleetSchema::GangPart& part, Utils::TimePoint now);

    /*!
        Starts the part of a gang for which this shard holds capacity. Repeated calls start it once.

        \return PEER_OK if the part is started, or PEER_REFUSED if capacity is not held for it any more.
    */
    FleetSchema::PeerOutcome acceptPartStart(const FleetSchema::GangPart& part, Utils::TimePoint now);

    /*! Processes the origin shard's answer to SchedulerOutput::sendPartReady(). */
    void onPartReadyAnswered(
        const FleetSchema::GangPart& part, FleetSchema::PeerOutcome outcome, Utils::TimePoint now);

    /*! Processes the host shard's answer to SchedulerOutput::startPart(). */
    void onPartStartAnswered(const FleetSchema::GangPart& part, FleetSchema::PeerOutcome outcome);

    /*! \return the stored state of a job, or nothing if the shard has not stored it. */
    std::optional<FleetSchema::JobState> state(std::string_view id) const;

    /*! Sets whether the shard's failure domain is evacuated. Then no attempt starts, and tasks move away. */
    void setEvacuated(bool isEvacuated);

    /*! Assigns waiting tasks to workers. */
    void schedule(Utils::TimePoint now, std::int64_t nowUnixMs);

    /*!
        Starts a transaction with the changes that are not stored yet.

        \return the changes, or nothing if there are none; after a batch, onCommitted() must be called
            before the next beginCommit().
    */
    std::optional<RecordBatch> beginCommit(std::int64_t nowUnixMs);

    /*!
        Notifies the scheduler that the batch is stored: answers callers, sends starts and allows
        acknowledgements.
    */
    void onCommitted(Utils::TimePoint now);

    /*!
        Notifies the scheduler that the store will never accept the batch; nothing of it is stored. Its jobs
       are stored again in smaller batches. A job that cannot be stored by itself is rejected or, once it was
        accepted, ends as failed, so that it does not keep the others from being stored.
    */
    void onBatchRejected(Utils::TimePoint now, std::int64_t nowUnixMs);

    /*!
        Prepares a poll. The requested lease counts as granted from now on.

        \param mayRenew whether the owner is still entitled to renew leases.
    */
    PollPlan planPoll(const std::string& worker, Utils::TimePoint now, bool mayRenew);

    /*!
        Processes a worker's report.

        \param sentAt time at which the poll was sent.
    */
    void onReport(const std::string& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report,
        Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! Notifies the scheduler that a poll was not answered. \param isAbsent whether nothing listens there. */
    void onPollFailed(const std::string& worker, bool isAbsent = false);

    /*!
        Notifies the scheduler that another worker has taken the place of this one. All attempts on it have
        ended, whatever its lease.
    */
    void onWorkerReplaced(const std::string& worker, Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! Processes the answer to a start. */
    void onStartReply(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        const Utils::Result<Ports::CommandReply>& reply, Utils::TimePoint now);

    /*! Processes the answer to a stop. */
    void onStopReply(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        const Utils::Result<Ports::CommandReply>& reply, Utils::TimePoint now);

    /*! Handles timeouts and other changes that depend only on time. */
    void onTick(Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! \return the steps of the latest schedule() or onTick(). */
    const StepBudget& latestPass() const { return *steps_; }

    /*! \return the steps of the latest beginCommit(), onReport(), setWorkers() or load(). */
    const StepBudget& latestCall() const { return callSteps_; }

    /*! \return for how long the leases of answering workers with tasks last; nothing if there are none. */
    std::optional<Utils::Duration> shortestLease(Utils::TimePoint now) const;

    /*! \return the age of the list of workers. */
    Utils::Duration workerListAge(Utils::TimePoint now) const { return now - workersReadAt_; }

    /*! \return the shard's load for other nodes. */
    FleetSchema::ShardLoad load(Utils::TimePoint now) const;

    /*! \return whether changes wait to be stored. */
    bool hasChanges() const { return !dirtyJobs_.empty() || !expiredJobs_.empty(); }

    /*! \return whether the shard has the job, stored or not. */
    bool knowsJob(std::string_view id) const { return jobs_.contains(id); }

    /*! \return whether work or free capacity may have changed since the last schedule(). */
    bool isScheduleDue() const { return isScheduleDue_ || isSweepUnfinished_; }

    /*! \return whether the last pass was left before it had visited all waiting tasks. */
    bool isSweepUnfinished() const { return isSweepUnfinished_; }

    /*! \return the unlisted workers with open attempts, with their last known addresses. */
    std::vector<Ports::WorkerInfo> unlistedWorkers() const;

    /*! \return the number of attempts that a former owner recorded and no worker has reported yet. */
    std::size_t countUnconfirmedAttempts();

    /*! \return the number of open attempts on workers that the platform does not list. */
    std::size_t countAttemptsOnUnlistedWorkers() const;

    /*! \return the number of open attempts. */
    std::size_t countOpenAttempts() const;

    /*! \return whether the worker is listed or has open attempts. */
    bool knowsWorker(const std::string& worker) const { return workers_.contains(worker); }

private:
    struct BatchedJob;
    struct Candidate;
    struct InflightBatch;
    struct Pass;

    void restoreTask(Task& task, const FleetSchema::TaskRecord& stored, Utils::TimePoint now);
    void restoreAttempt(Task& task, const FleetSchema::TaskRecord& stored, Utils::TimePoint now);
    void beginCall(std::size_t steps) const;
    Job* findJob(std::string_view id);
    Job& ensureHostedJob(
        const FleetSchema::JobSpec& spec, const std::string& originShard, Utils::TimePoint now);
    Worker* findWorker(const std::string& id);
    void forgetObsoleteWorkers(Utils::TimePoint now);
    Worker& ensureWorker(const std::string& id, Utils::TimePoint now);
    Task* findOpenTask(const std::string& worker, const Ports::TaskKey& key, std::uint32_t attempt);
    void markDirty(Job& job);
    void assign(Task& task, Worker& worker, Utils::TimePoint now);
    void beginSweep(Utils::TimePoint now);
    std::vector<Candidate> rankCandidates(Utils::TimePoint now, std::int64_t nowUnixMs);
    void visitMostUrgent(
        std::span<const Candidate> candidates, Utils::TimePoint now, std::int64_t nowUnixMs, Pass& pass);
    void repeatVisits(
        std::span<const Candidate> candidates, Utils::TimePoint now, std::int64_t nowUnixMs, Pass& pass);
    void visitAgain(Job& job, std::uint32_t occurrence) const;
    bool assignOccurrence(const Candidate& candidate, SweepProgress& progress, Utils::TimePoint now,
        std::int64_t nowUnixMs, Pass& pass);
    bool assignStep(
        Job& job, std::uint32_t occurrence, SweepProgress& progress, Utils::TimePoint now, Pass& pass);
    void assignTask(Task& task, Utils::TimePoint now, Pass& pass);
    void assignGang(Job& job, std::uint32_t occurrence, std::uint32_t step, Utils::TimePoint now);
    void stopBrokenGang(std::span<Task* const> gang, Utils::TimePoint now);
    bool assignTogether(std::span<Task* const> tasks, Utils::TimePoint now);
    void assignPart(std::span<Task* const> part, Utils::TimePoint now);
    std::vector<Task*> findGang(const FleetSchema::GangPart& part);
    bool divideGang(std::span<Task* const> gang, Utils::TimePoint now);
    void holdPart(std::span<Task* const> part, Utils::TimePoint now);
    void releasePart(std::span<Task* const> part, std::string_view reason, Utils::TimePoint now);
    void leavePart(Task& task);
    void tickPart(Task& task, GangVisit& visit, Utils::TimePoint now);
    void startIfReady(std::span<Task* const> gang, Utils::TimePoint now);
    void sendPartReady(Task& task, Utils::TimePoint now);
    void sendPartStarts(Job& job, Utils::TimePoint now);
    std::string_view findStartObstacle(std::span<Task* const> tasks, Utils::TimePoint now) const;
    void markWaiting(Task& task, Utils::TimePoint now);
    bool awaitsOrigin(Job& job);
    void queryOrigins(Utils::TimePoint now);
    void updateDemand();
    void improveGrouping(Utils::TimePoint now);
    InterferenceView interferenceView(StepKind kind) const;
    void onTasksChanged(const Worker& worker);
    void relocate(Pass& pass, Utils::TimePoint now);
    void releaseWorker(Task& task);
    void requeue(Task& task, Utils::TimePoint retryAt);
    static Utils::Duration pauseAfterLostStart(const Task& task, Utils::TimePoint now);
    void finishTask(Task& task, Utils::TimePoint now, std::int64_t nowUnixMs);
    void failTask(Task& task, Utils::TimePoint now, std::int64_t nowUnixMs);
    void failJobIfExhausted(Task& task, Utils::TimePoint now, std::int64_t nowUnixMs);
    void resolveTask(Task& task, FleetSchema::TaskResultKind result);
    void resolveAlone(Task& task, FleetSchema::TaskResultKind result);
    void endJob(Job& job, FleetSchema::JobState state, std::int64_t nowUnixMs);
    void requestStop(Task& task, Utils::TimePoint now);
    void stopOpenTasks(Job& job, Utils::TimePoint now);
    void applyEndedAttempt(
        Worker& worker, const Ports::EndedAttempt& end, Utils::TimePoint now, std::int64_t nowUnixMs);
    void applyRunningAttempt(
        Worker& worker, const Ports::RunningAttempt& running, std::int64_t clockMs, Utils::TimePoint now);
    void requeueMissingAttempts(Worker& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report,
        Utils::TimePoint now, std::int64_t nowUnixMs);
    void endLostAttempt(Task& task, std::string_view reason, CrashEvidence evidence, Utils::TimePoint now,
        std::int64_t nowUnixMs);
    void judgePresumedCrashes(const Worker& worker, Utils::TimePoint now, std::int64_t nowUnixMs);
    std::vector<std::pair<Task*, PresumedCrash>> takePresumedCrashes(
        const std::string& worker, const std::function<bool(const PresumedCrash&)>& condition);
    void confirmOldCrashes(Utils::TimePoint now, std::int64_t nowUnixMs);
    void confirmPresumedCrashes(const std::string& worker,
        const std::function<bool(const PresumedCrash&)>& condition, Utils::TimePoint now,
        std::int64_t nowUnixMs);
    void confirmCrash(Task& task, const PresumedCrash& crash, Utils::TimePoint now, std::int64_t nowUnixMs);
    void keepWorkersEmpty(Utils::TimePoint now);
    static void forgetPresumedCrashes(Task& task);
    void restoreCrashes(Task& task, std::uint32_t provedCount,
        const google::protobuf::RepeatedPtrField<FleetSchema::PresumedWorkerCrash>& presumed,
        Utils::TimePoint now);
    void onListedAsRunning(Task& task, std::int64_t clockMs);
    void recordRunTime(Worker& worker, const Task& task, Utils::TimePoint now);
    void recordFailure(Worker& worker, const Task& task, Utils::TimePoint now);
    void endQuarantine(Worker& worker);
    void onNewIncarnation(Worker& worker, const Ports::WorkerReport& report, Utils::TimePoint now);
    bool mayHoldFormerLease(
        const Worker& worker, const Ports::WorkerReport& report, Utils::TimePoint now) const;
    void onAnswered(
        Worker& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report, Utils::TimePoint now);
    std::int64_t extendLease(Worker& worker, Utils::Duration lease, LeaseSource source, Utils::TimePoint now);
    void confirm(Task& task);
    void noteUnanswered(Worker& worker, Utils::TimePoint sentAt) const;
    static void suspectWorker(Worker& worker);
    void giveUpStart(Task& task, Utils::TimePoint now);
    void onStartDone(Task& task, std::int64_t clockMs, Utils::TimePoint now);
    void onJobCommitted(const BatchedJob& stored, Utils::TimePoint now);
    void sendRecorded(Task& task, Utils::TimePoint now);
    void sendStart(Task& task, Utils::TimePoint now);
    void tickTask(Task& task, Utils::TimePoint now);
    void moveFromEvacuatedDomain(Utils::TimePoint now);
    void tickTransfers(Utils::TimePoint now);
    void tickTransfers(Job& job, std::span<Task> tasks, Utils::TimePoint now);
    void answerOnceStored(Job& job, std::uint64_t ticket);
    bool isStarved(const Task& task, Utils::TimePoint now) const;
    bool canEverRunHere(const FleetSchema::StepSpec& step, Utils::TimePoint now) const;
    void delegateStarvedTask(Task& task, Utils::TimePoint now);
    void delegate(Task& task, const std::string& shard);
    static bool mayCallHostShard(const Task& task);
    void sendDelegation(Task& task, Utils::TimePoint now);
    void sendResult(Task& task, Utils::TimePoint now);
    void cancelAtHostShards(Job& job, Utils::TimePoint now);
    void cancelUnacknowledged(Job& job, Utils::TimePoint now);
    void tickWorker(Worker& worker, Utils::TimePoint now, std::int64_t nowUnixMs);
    void requeueAttempts(Worker& worker, std::span<Task* const> tasks, std::string_view reason,
        CrashEvidence evidence, Utils::TimePoint now, std::int64_t nowUnixMs);
    Utils::Duration startLease() const { return std::min(options_.startLease, options_.workerLease); }
    Utils::TimePoint latestRunEnd(const Worker& worker) const;
    Utils::TimePoint latestRunEnd(const Task& task) const;
    Utils::TimePoint latestLeaseEnd(const Worker& worker) const;
    bool mayLease(const Worker& worker, Utils::Duration lease, Utils::TimePoint now) const;
    bool isWorkerListOutdated(Utils::TimePoint now) const;
    std::vector<Worker*> assignableWorkers(Utils::TimePoint now) const;
    void relocateThrottledTasks(Utils::TimePoint now);
    bool shouldRelocate(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now) const;
    void adjustSpeeds(Worker& worker, Utils::TimePoint now);
    void collectExpiredJobs(std::int64_t nowUnixMs);
    std::size_t addDirtyJobs(RecordBatch& batch);
    void noteInflight(Job& job);
    void addRemovals(RecordBatch& batch, std::size_t rowCount);
    void giveUpStoring(Job& job, Utils::TimePoint now, std::int64_t nowUnixMs);
    void reviewUsability(Worker& worker, Utils::TimePoint now);
    void reviewWaits(Utils::TimePoint now, std::int64_t nowUnixMs);
    void reviewStepWaits(Job& job, std::uint32_t occurrence, std::uint32_t step, Utils::TimePoint now,
        std::size_t& reportLimit);
    void reportWait(const Task& task, std::uint32_t similarTaskCount, Utils::TimePoint now);

    SchedulerOptions options_;
    SchedulerOutput& output_;
    std::map<std::string, std::unique_ptr<Job>, std::less<>> jobs_;
    std::map<std::string, std::unique_ptr<Worker>, std::less<>> workers_;
    TailLatencyModel& tailLatencyModel_;
    std::unique_ptr<InterferenceCache> interferenceCache_; //!< Null outside schedule() and onTick().
    std::unique_ptr<StepBudget> steps_; //!< Steps of the current pass, or the latest one.
    mutable StepBudget callSteps_; //!< As in latestCall().
    ImageDemand demand_;
    std::vector<Job*> dirtyJobs_;
    std::vector<std::string> expiredJobs_; //!< Jobs to remove from the store.
    std::int64_t expirySearchedUnixMs_ = 0; //!< Time of the latest search for them.
    DomainEvacuation evacuation_;
    RelocationSearch relocationSearch_;
    Utils::TimePoint relocationAllowedAt_ {};
    Utils::TimePoint groupingAllowedAt_ {};
    std::string lastGroupingSource_; //!< Worker last examined for a move of a latency-critical task.
    std::size_t firstGroupingTarget_ = 0; //!< Position of the worker to examine first as its target.
    std::string nextThrottledSource_; //!< Worker examined next for throttled tasks; empty: the first one.
    std::string nextSearchingJob_; //!< Job to search a shard for first in the next tick; may be empty.
    std::size_t nextSearchingTask_ = 0; //!< Its task that is left; only if nextSearchingJob_ is not empty.
    std::size_t shardSearchCount_ = 0; //!< Searches for shards in this tick.
    std::size_t failedShardSearchCount_ = 0; //!< Those of them that found none.
    Utils::TimePoint lastScheduledAt_ {};
    std::int64_t lastScheduledUnixMs_ = 0;
    Utils::TimePoint latestRetryAt_ {}; //!< End of the latest pause before a retry.
    FleetSchema::ShardLoad workerKinds_; //!< Only the kinds of the listed workers that do not drain.
    Utils::TimePoint workersReadAt_ {}; //!< When the latest list of workers started to be read.
    Utils::TimePoint waitsReviewedAt_ {};
    std::optional<Utils::Duration> formerRenewal_; //!< Empty: SchedulerOptions::orphanGrace.
    std::optional<Utils::Duration> formerLease_; //!< Empty: SchedulerOptions::workerLeaseLimit.
    std::map<std::string, std::uint32_t, std::less<>> restartCounts_; //!< As in restartCount().
    Utils::Duration formerStart_ {};
    Utils::TimePoint formerHeldLeaseEnd_ {};
    Utils::TimePoint startRightEnd_ = Utils::TimePoint::max(); //!< Until when attempts may be started.
    StatedLeaseEnds statedLeaseEnds_;
    //! Tasks with presumed crashes, by worker; may include others.
    std::map<std::string, std::set<Ports::TaskKey>> presumedCrashes_;
    std::vector<Ports::TaskKey> unconfirmedTasks_; //!< In the phase Unverified; may include others.
    std::vector<Ports::TaskKey> isolatedTasks_; //!< Fully isolated tasks without a worker in the last pass.
    LeaseEnds formerLeaseEnds_; //!< Of workers with attempts that the owner before this one left open.
    std::vector<Worker*> passWorkers_; //!< Workers that may get tasks; empty outside schedule().
    std::uint64_t sweep_ = 0; //!< Number of the latest sweep over the waiting tasks.
    Utils::TimePoint sweepStartedAt_ {};
    bool isSweepUnfinished_ = false;
    bool isCapacityFreed_ = false; //!< Since the latest pass.
    bool hasWaitingTasks_ = false; //!< The latest sweep has left tasks without a worker.
    bool isScheduleDue_ = false; //!< Work or free capacity has changed since the latest sweep began.

    std::unique_ptr<InflightBatch> inflightBatch_;
    std::size_t batchJobLimit_ = std::numeric_limits<std::size_t>::max(); //!< Most jobs in the next batch.
};

Ports::TaskKey keyOf(const Task& task);

} // namespace Fleet
