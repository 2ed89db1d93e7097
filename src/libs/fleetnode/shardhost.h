#pragma once

#include "formerownerinquiry.h"
#include "nodecontext.h"
#include "originreader.h"
#include "passmonitor.h"
#include "shardwriter.h"
#include "timer.h"
#include "workerconnection.h"

#include "fleet/membershiplease.h"
#include "fleet/scheduleroutput.h"
#include "fleet/shardscheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace FleetNode {

//! Age beyond which a list of workers leads to no start. A worker's entry shows a reduced capacity within a
//! heartbeat, and no start may exceed it 4 s after that. The rest of this time is left for the start to reach
//! the worker.
inline constexpr std::chrono::milliseconds workerListLimit { 3500 };

/*! Receives the answer to a submission, delegation or cancellation. */
using JobAnswerHandler = std::function<void(const Fleet::JobAnswer&)>;

/*! A shard host's access to the other shards. */
class OtherShards {
public:
    virtual ~OtherShards() = default;

    /*!
        \param shard the requesting shard, which is never returned.
        \param waited how long the task has waited there.
        \param returnedBy shards that have returned the task, the latest one last.
        \return a shard with free capacity for a task of the job's step; empty if none is known.
    */
    virtual std::string findShardWithCapacity(const std::string& shard, const FleetSchema::JobSpec& spec,
        std::uint32_t step, Utils::Duration waited, std::span<const std::string> returnedBy)
        = 0;

    /*!
        \return whether another shard than \p shard has a worker with room for a long-running task of the
            step now.
    */
    virtual bool hasShardWithRoom(
        const std::string& shard, const FleetSchema::JobSpec& spec, std::uint32_t step)
        = 0;

    /*!
        Divides a gang of the requesting shard. Arguments are as for findShardWithCapacity().

        \return as for Fleet::SchedulerOutput::divideGang().
    */
    virtual std::vector<Fleet::GangShare> divideGang(const std::string& shard,
        const FleetSchema::JobSpec& spec, std::uint32_t step, Utils::Duration waited,
        std::span<const std::string> returnedBy)
        = 0;

    /*! Calls the owner of the shard that the request names. */
    virtual void callOwner(const FleetSchema::PeerRequest& request,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler)
        = 0;

    /*! Calls a node, which need not count as alive. */
    virtual void callNode(const std::string& name, const FleetSchema::PeerRequest& request,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler)
        = 0;
};

/*! Runs a shard that this node owns or is taking over: stores and executes its scheduler's decisions. */
class ShardHost final : private Fleet::SchedulerOutput, private WorkerConnectionHandler {
public:
    /*!
        \param otherShards must outlive the host.
        \param membership this node's membership lease; must outlive the host.
        \param tailLatencyModel must outlive the host.
        \param onClosed called once, from the event loop, after the shard was lost or released.
    */
    ShardHost(NodeContext& context, std::string shard, OtherShards& otherShards,
        const Fleet::MembershipLease& membership, Fleet::TailLatencyModel& tailLatencyModel,
        std::function<void()> onClosed);
    ~ShardHost() override;

    /*!
        Takes over the shard.
        \param former the shard's current row; empty if there is none.
        \param version the row's version; 0 if there is no row.
        \param clock the store's clock, from the answer with the row.
    */
    void takeOver(
        const FleetSchema::ShardRecord& former, std::uint64_t version, const Fleet::StoreClock& clock = {});

    /*! Replaces the list of the shard's workers. \param readAt when the list started to be read. */
    void setWorkers(std::vector<Ports::WorkerInfo> workers, Utils::TimePoint readAt);

    /*!
        Sets whether the operator has evacuated the shard's failure domain. Must be called after each read of
        the operator's requests, and before the shard is taken over unless they never matter.

        \param knownUntil until when starts may rely on this.
    */
    void setEvacuated(bool isEvacuated, Utils::TimePoint knownUntil);

    /*! \return whether the operator has evacuated the shard's failure domain. */
    bool isEvacuated() const { return isEvacuated_; }

    /*! \return whether the shard's jobs are loaded and it accepts requests. */
    bool isServing() const { return isLoaded_ && !isClosed_; }

    /*! \return whether the shard could store a delegated task now, as far as this node knows. */
    bool canHostTasks() const
    {
        return isServing() && !isReleasing_ && writer_.isStoreAnswering() && isOwnershipCertain();
    }

    /*!
        \return whether no other node can have taken the shard over. Otherwise, the shard may have jobs that
       this node does not know.
    */
    bool isOwnershipCertain() const;

    /*! \return a time at which this node still owned the shard. */
    Utils::TimePoint confirmedAt() const { return writer_.confirmedAt(); }

    /*!
        Submits a job.
        \param spec a validated specification.
        \param handler receives the answer once the job is stored or rejected.
    */
    void submit(const FleetSchema::JobSpec& spec, JobAnswerHandler handler);

    /*! Accepts a task that another shard delegates. \param handler called once the task is stored. */
    void acceptDelegatedTask(const FleetSchema::TaskTransfer& transfer, JobAnswerHandler handler);

    /*! Accepts the result of a task that this shard delegated. \param handler called once it is stored. */
    void acceptTaskResult(const FleetSchema::TaskResult& result, JobAnswerHandler handler);

    /*!
        Cancels the tasks of a job that were delegated to this shard, including those whose delegation arrives
        only later.
        \param handler called once the cancellation is stored.
    */
    void cancelHostedTasks(const FleetSchema::JobSpec& job, JobAnswerHandler handler);

    /*!
        Processes the news that another shard holds capacity for its part of a gang.
        \return as for Fleet::ShardScheduler::acceptPartReady(); PEER_UNAVAILABLE if nothing may be started.
    */
    FleetSchema::PeerOutcome acceptPartReady(const FleetSchema::GangPart& part);

    /*!
        Starts the part of a gang for which this shard holds capacity.
        \return as for Fleet::ShardScheduler::acceptPartStart(); PEER_UNAVAILABLE if nothing may be started.
    */
    FleetSchema::PeerOutcome acceptPartStart(const FleetSchema::GangPart& part);

    /*! Cancels a job. \param handler called once the cancellation is stored. */
    void cancel(const std::string& job, JobAnswerHandler handler);

    /*! \return the stored state of a job, or nothing if the shard does not hold the job. */
    std::optional<FleetSchema::JobState> state(const std::string& job) const { return scheduler_.state(job); }

    /*! Gives up the shard once all decisions are stored; onClosed is called afterwards. */
    void release();

    /*! Gives up the shard, because another node has taken it over. */
    void onTakenOver() { close("taken-over"); }

    /*! \return the epoch of this node's ownership. */
    std::uint64_t epoch() const { return writer_.epoch(); }

    /*! What an owner that has given up its shard knows of the attempts there. */
    struct FinalState {
        Fleet::LeaseEnds leaseEnds; //!< Of the workers with open attempts.
        std::vector<FleetSchema::EndedTask> unstoredEnds;
    };

    /*! \return the final state, after the shard was given up; nothing if its jobs were not loaded. */
    const std::optional<FinalState>& finalState() const { return finalState_; }

    /*! Performs time-dependent work; must be called every 100 ms. */
    void tick();

    /*! \return whether attempts of former owners may run on workers that have not reported to this one. */
    bool hasUnconfirmedAttempts() { return !isLoaded_ || scheduler_.countUnconfirmedAttempts() > 0; }

    /*! \return the shard's load as reported to other nodes, computed at most once a tick. */
    const FleetSchema::ShardLoad& load();

    const std::string& shard() const { return shard_; }

private:
    void startAttempt(const Fleet::AttemptStart& start) override;
    void stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt) override;
    void throttleAttempt(
        const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, int percent) override;
    std::string findShardWithCapacity(const FleetSchema::JobSpec& spec, std::uint32_t step,
        Utils::Duration waited, std::span<const std::string> returnedBy) override;
    bool hasShardWithRoom(const FleetSchema::JobSpec& spec, std::uint32_t step) override;
    std::vector<Fleet::GangShare> divideGang(const FleetSchema::JobSpec& spec, std::uint32_t step,
        Utils::Duration waited, std::span<const std::string> returnedBy) override;
    void sendPartReady(const std::string& originShard, const FleetSchema::GangPart& part) override;
    void startPart(const std::string& hostShard, const FleetSchema::GangPart& part) override;
    void delegateTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer) override;
    void cancelDelegatedTasks(const std::string& shard, const FleetSchema::JobSpec& job) override;
    void sendTaskResult(const std::string& originShard, const FleetSchema::TaskResult& result) override;
    void attemptEnded(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        std::string_view how) override;
    void capacityChanged(const Fleet::CapacityChange& change) override;
    void workerCrashed(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        const Fleet::CrashCount& crashes) override;
    void queryOrigin(const std::string& originShard, const std::string& job) override;
    void readOrigin(const std::string& originShard, const std::string& job) override;
    void quarantineChanged(const std::string& worker, Utils::Duration time) override;
    void taskWaiting(const Fleet::WaitReport& report) override;
    void workerLost(const Fleet::WorkerLoss& loss) override;
    void workerRestarted(const Fleet::WorkerRestart& restart) override;
    void workerUnusable(const std::string& worker, std::string_view cause, Utils::Duration time) override;
    void jobEnded(const Fleet::JobSummary& summary) override;
    void answer(std::uint64_t requestId, const Fleet::JobAnswer& answer) override;
    Ports::PollRequest planPoll(const std::string& worker) override;
    void onReport(
        const std::string& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report) override;
    void onPollFailed(const std::string& worker, const Utils::Error& error) override;

    /*! Workers that the platform lists for the shard, as last logged. */
    struct WorkerCount {
        std::size_t listed = 0;
        std::size_t draining = 0;
        std::size_t racks = 0;

        bool operator==(const WorkerCount&) const = default;
    };

    Utils::TimePoint commandRightEnd() const;
    Utils::TimePoint renewalRightEnd() const;
    Utils::TimePoint passRightEnd() const;
    void reportEvacuation();
    bool needsConfirmation() const;
    Utils::TimePoint startRightEnd() const;
    bool isStartPossible() const { return isServing() && !isReleasing_ && isOwnershipCertain(); }
    void callOtherShard(
        const FleetSchema::PeerRequest& request, std::function<void(const FleetSchema::PeerReply&)> onAnswer);
    void callUntilStored(const FleetSchema::PeerRequest& request, std::function<void()> onStored);
    void onOriginState(const std::string& job, FleetSchema::JobState state);
    void onLeaseReport(const FleetSchema::LeaseReport& report);
    void onTookOver(const Fleet::LeaseEnds& statedEnds);
    bool isOwnerGone(const FleetSchema::ShardRecord& former) const;
    Fleet::FormerLeases findFormerLeases(
        const FleetSchema::ShardRecord& former, bool isGone, const Fleet::StoreClock& clock) const;
    void loadJobs(const std::string& fromJob);
    void onJobPage(const Utils::Result<Ports::RowPage>& result);
    void requestRound();
    void runRound();
    void onBatchStored();
    void onBatchRejected();
    void close(const char* reason);
    void applyWorkers();
    void logWorkerCount();
    void runPass(std::string_view name, const std::function<void(Utils::TimePoint)>& pass);
    void connect(const Ports::WorkerInfo& info);
    std::uint64_t tokenFor(const std::string& worker) const;
    void logStartReply(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        const Utils::Result<Ports::CommandReply>& reply);
    void checkFencing(
        const std::string& worker, std::uint64_t token, const Utils::Result<Ports::CommandReply>& reply);
    WorkerConnection* findConnection(const std::string& worker);

    NodeContext& context_;
    std::string shard_;
    OtherShards& otherShards_;
    const Fleet::MembershipLease& membership_;
    std::function<void()> onClosed_;
    Fleet::ShardScheduler scheduler_;
    PassMonitor passMonitor_;
    ShardWriter writer_;
    FleetSchema::ShardRecord formerOwner_; //!< Owner row before the takeover.
    Utils::TimePoint formerRenewalEnd_ {}; //!< Until when former owners may renew leases.
    Utils::TimePoint formerStartEnd_ {}; //!< Until when they may send starts.
    Fleet::JobRowReader rowReader_; //!< Used while the jobs are loaded.
    FormerOwnerInquiry formerOwnerInquiry_;
    OriginReader originReader_;
    std::optional<FinalState> finalState_;
    std::vector<Ports::WorkerInfo> workers_;
    Utils::TimePoint workersReadAt_ {}; //!< When workers_ started to be read.
    WorkerCount workerCount_;
    bool isEvacuated_ = false;
    bool isEmptied_ = false; //!< No attempt has been open since the evacuation began.
    Utils::TimePoint evacuationKnownUntil_ = Utils::TimePoint::max(); //!< As in setEvacuated().
    std::map<std::string, std::unique_ptr<WorkerConnection>> connections_;
    std::map<std::uint64_t, JobAnswerHandler> answerHandlers_;
    std::uint64_t nextRequestId_ = 1;
    Utils::TimePoint nextRoundAllowedAt_ {};
    Utils::TimePoint fencedAt_ {};
    FleetSchema::ShardLoad load_;
    Utils::TimePoint loadComputedAt_ {};
    bool isLoaded_ = false;
    bool isReleasing_ = false;
    bool isReleaseSent_
        = false; //!< The transaction that releases the shard was sent; its outcome may be unknown.
    bool isClosed_ = false;
    Timer roundTimer_;
    Timer loadTimer_;
    Timer closeTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
