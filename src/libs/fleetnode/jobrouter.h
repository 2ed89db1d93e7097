#pragma once

#include "jobindex.h"
#include "nodecontext.h"
#include "peerclient.h"
#include "timer.h"

#include "fleet/shardchoice.h"

#include <fleet.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace FleetNode {

/*! What the router needs to know of the shards. */
class ShardDirectory {
public:
    virtual ~ShardDirectory() = default;

    /*! \param shard a shard. \return address of its owner; empty if none is known or this node owns it. */
    virtual std::string ownerAddress(const std::string& shard) const = 0;

    /*! Serves a call on a shard of this node. \param request the call. \param handler receives the reply,
       NOT_OWNER if this node does not own the shard. */
    virtual void serve(
        const FleetSchema::PeerRequest& request, std::function<void(const FleetSchema::PeerReply&)> handler)
        = 0;

    /*! \return whether the store was reached lately. */
    virtual bool isStoreReachable() const = 0;

    /*! Chooses the shard of a new job. \param spec the job. \return the shard, or why there is none. */
    virtual Fleet::ShardChoice chooseShard(const FleetSchema::JobSpec& spec) = 0;

    /*! Takes in whether the owner of a shard served a call. \param shard the shard. \param hasAnswered
     * whether it did. */
    virtual void setOwnerResponsive(const std::string& shard, bool isResponsive) = 0;
};

/*! Brings submissions, queries and cancellations to the owner of the job's shard. */
class JobRouter {
public:
    using ResponseHandler = std::function<void(const Ports::CallerResponse&)>;

    /*!
        \param context what the node shares.
        \param directory knows the shards' owners; must outlive the router.
    */
    JobRouter(NodeContext& context, ShardDirectory& directory);

    /*! Submits a job. \param spec the job. \param until when the caller stops waiting. \param handler the
     * answer. */
    void submit(const FleetSchema::JobSpec& spec, Utils::TimePoint deadline, ResponseHandler handler);

    /*! Asks for a job's state. \param job its identifier. \param until,handler as for submit(). */
    void query(const std::string& job, Utils::TimePoint deadline, ResponseHandler handler);

    /*! Cancels a job. \param job its identifier. \param until,handler as for submit(). */
    void cancel(const std::string& job, Utils::TimePoint deadline, ResponseHandler handler);

    /*! Calls a node; see PeerLinks::call(). */
    PeerClient& peerClient() { return peerClient_; }

private:
    struct Call {
        FleetSchema::PeerRequest request;
        Utils::TimePoint deadline {};
        ResponseHandler handler;
        bool mayHaveBeenProcessed = false; //!< An earlier try got no answer.
        bool isRequestInFlight = false; //!< The owner was called and has not answered.
        bool isHoldExpired = false; //!< It waits on only if an owner may have seen it.
        bool isAnswered = false; //!< The caller has its answer.
        std::unique_ptr<Timer> timer;
        std::unique_ptr<Timer> holdTimer; //!< Ends the wait of a submission.
    };

    using CallPointer = std::shared_ptr<Call>;

    void findShardAndForward(const CallPointer& call, const std::string& job);
    void forwardToOwner(const CallPointer& call);
    void onReply(const CallPointer& call, const Utils::Result<FleetSchema::PeerReply>& result);
    void onOwnerReply(const CallPointer& call, const FleetSchema::PeerReply& reply);
    void retryLater(const CallPointer& call);
    void giveUp(const CallPointer& call);
    void answerFromStore(const CallPointer& call);
    void answer(const CallPointer& call, const Ports::CallerResponse& answer);
    CallPointer makeCall(Utils::TimePoint deadline, ResponseHandler handler);

    NodeContext& context_;
    ShardDirectory& directory_;
    JobIndex index_;
    PeerClient peerClient_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
