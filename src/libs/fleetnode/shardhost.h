#pragma once

#include "nodecontext.h"
#include "shardwriter.h"
#include "timer.h"
#include "workerconnection.h"

#include "fleet/shardorders.h"
#include "fleet/shardscheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace FleetNode {

/*! Receives the answer to a submission, query or cancellation. */
using JobAnswerHandler = std::function<void(const Fleet::JobAnswer&)>;

/*! What a shard's host needs to know of the other shards. */
class OtherShards {
public:
    virtual ~OtherShards() = default;

    /*! \param shard the asking shard. \param spec a job. \param step one of its steps. \return another shard
       with room for a task of the step; empty if none is known. */
    virtual std::string findShardWithCapacity(
        const std::string& shard, const FleetSchema::JobSpec& spec, std::uint32_t step)
        = 0;

    /*! Calls the owner of a shard. \param request the call. \param handler receives the reply or error. */
    virtual void callOwner(const FleetSchema::PeerRequest& request,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler)
        = 0;
};

/*! A shard that this node owns or is taking over: carries out what its scheduler decides. */
class ShardHost final : private Fleet::ShardOrders, private WorkerConnectionHandler {
public:
    /*!
        \param context what the node shares.
        \param shard the shard.
        \param neighbours the other shards; must outlive the host.
        \param tailLatencyModel what the node knows of interference; must outlive the host.
        \param onEnded called once, from the event loop, when the shard was lost or given up.
    */
    ShardHost(NodeContext& context, std::string shard, OtherShards& otherShards,
        Fleet::TailModel& tailLatencyModel, std::function<void()> onClosed);
    ~ShardHost() override;

    /*!
        Takes the shard over.
        \param former its row as read.
        \param version the row's version; 0 if there is none.
    */
    void takeOver(const FleetSchema::ShardRecord& former, std::uint64_t version);

    /*! Takes in the shard's workers. \param workers all that are listed. */
    void setWorkers(std::vector<Ports::WorkerInfo> workers);

    /*! \return whether the shard's jobs are loaded and it takes requests. */
    bool isServing() const { return isLoaded_ && !isClosed_; }

    /*! Submits a job. \param spec checked specification. \param handler receives the answer. */
    void submit(const FleetSchema::JobSpec& spec, JobAnswerHandler handler);

    /*! Takes over a task that another shard lends. \param transfer the task. \param handler receives the
     * answer. */
    void acceptDelegatedTask(const FleetSchema::TaskTransfer& transfer, JobAnswerHandler handler);

    /*! Cancels what the shard was or is yet to be lent of a job. \param job the job. \param handler receives
     * the answer. */
    void cancelHostedTasks(const FleetSchema::JobSpec& job, JobAnswerHandler handler);

    /*! Cancels a job. \param job its identifier. \param handler receives the answer. */
    void cancel(const std::string& job, JobAnswerHandler handler);

    /*! \param job its identifier. \return its state, or nothing if the shard does not hold it. */
    std::optional<FleetSchema::JobState> state(const std::string& job) const { return scheduler_.state(job); }

    /*! Gives the shard up once what is decided is stored; onEnded follows. */
    void release();

    /*! Carries out what depends on time; to be called every tickInterval. */
    void tick();

    /*! \return the load for other nodes. */
    FleetSchema::ShardLoad load() const;

    /*! \return the shard. */
    const std::string& shard() const { return shard_; }

private:
    void startAttempt(const Fleet::AttemptStart& start) override;
    void stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt) override;
    void throttleAttempt(
        const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, int percent) override;
    std::string findShardWithRoom(const FleetSchema::JobSpec& spec, std::uint32_t step) override;
    void lendTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer) override;
    void cancelLent(const std::string& shard, const FleetSchema::JobSpec& job) override;
    void attemptEnded(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        std::string_view how) override;
    void jobEnded(const Fleet::JobSummary& summary) override;
    void answer(std::uint64_t requestId, const Fleet::JobAnswer& answer) override;
    Ports::PollRequest planPoll(const std::string& worker) override;
    void onReport(
        const std::string& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report) override;
    void onPollFailed(const std::string& worker, const Utils::Error& error) override;

    void callOtherShard(const FleetSchema::PeerRequest& request, std::function<void()> onStored);
    void loadJobs(const std::string& fromJob);
    void onJobPage(const Utils::Result<Ports::RowPage>& result);
    void requestRound();
    void runRound();
    void onBatchStored();
    void close(const char* reason);
    void applyWorkers();
    void checkFencing(const Utils::Result<Ports::CommandReply>& reply);
    WorkerConnection* findConnection(const std::string& worker);

    NodeContext& context_;
    std::string shard_;
    OtherShards& otherShards_;
    std::function<void()> onClosed_;
    Fleet::ShardScheduler scheduler_;
    ShardWriter writer_;
    std::vector<Ports::WorkerInfo> workers_;
    std::map<std::string, std::unique_ptr<WorkerConnection>> connections_;
    std::map<std::uint64_t, JobAnswerHandler> answerHandlers_;
    std::uint64_t nextRequestId_ = 1;
    Utils::TimePoint nextRoundAllowedAt_ {};
    Utils::TimePoint fencedAt_ {};
    bool isLoaded_ = false;
    bool isReleasing_ = false;
    bool isClosed_ = false;
    Timer roundTimer_;
    Timer loadTimer_;
    Timer closeTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
