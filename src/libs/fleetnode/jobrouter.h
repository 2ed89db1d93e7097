#pragma once

#include "jobindex.h"
#include "nodecontext.h"
#include "peerclient.h"
#include "timer.h"

#include "fleet/shardchooser.h"

#include <fleet.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace FleetNode {

/*! The router's view of the shards and their owners. */
class ShardDirectory {
public:
    virtual ~ShardDirectory() = default;

    /*! \return address of the shard's owner; empty if none is known or this node owns the shard. */
    virtual std::string ownerAddress(const std::string& shard) const = 0;

    /*!
        Serves a request to a shard of this node.
        \param handler receives PEER_NOT_OWNER if this node does not own the shard.
    */
    virtual void serve(
        const FleetSchema::PeerRequest& request, std::function<void(const FleetSchema::PeerReply&)> handler)
        = 0;

    /*! \return whether a recent read from the store succeeded. */
    virtual bool isStoreReachable() const = 0;

    /*! Chooses the shard of a new job. \return the shard, or the reason why none can take the job. */
    virtual Fleet::ShardChoice chooseShard(const FleetSchema::JobSpec& spec) = 0;

    /*! Records whether the owner of a shard served the last request. */
    virtual void setOwnerResponsive(const std::string& shard, bool isResponsive) = 0;
};

/*! Routes submissions, queries and cancellations to the owner of the job's shard. */
class JobRouter {
public:
    using ResponseHandler = std::function<void(const Ports::CallerResponse&)>;

    /*! \param directory must outlive the router. */
    JobRouter(NodeContext& context, ShardDirectory& directory);

    /*! Submits a job. \param deadline time at which the caller stops waiting. */
    void submit(const FleetSchema::JobSpec& spec, Utils::TimePoint deadline, ResponseHandler handler);

    /*! Queries a job's state; parameters as for submit(). */
    void query(const std::string& job, Utils::TimePoint deadline, ResponseHandler handler);

    /*! Cancels a job; parameters as for submit(). */
    void cancel(const std::string& job, Utils::TimePoint deadline, ResponseHandler handler);

    /*! \return the client that the router calls other nodes with. */
    PeerClient& peerClient() { return peerClient_; }

private:
    struct Call {
        FleetSchema::PeerRequest request;
        Utils::TimePoint deadline {};
        ResponseHandler handler;
        bool mayHaveBeenProcessed = false; //!< An earlier request got no reply or an undecided one.
        bool isRequestInFlight = false; //!< The owner was called and has not replied yet.
        bool isHoldExpired = false; //!< From now on, retries only if mayHaveBeenProcessed is true.
        bool isAnswered = false; //!< The caller was answered.
        std::unique_ptr<Timer> timer;
        std::unique_ptr<Timer> holdTimer; //!< Limits how long a submission waits for an owner.
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
