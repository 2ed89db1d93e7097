// Calls of other nodes to ShardOwnership.

#include "shardownership.h"

#include "utils/log/log.h"

namespace FleetNode {

void ShardOwnership::serve(
    const FleetSchema::PeerRequest& request, std::function<void(const FleetSchema::PeerReply&)> handler)
{
    if (request.has_heartbeat() || request.has_take_over()) {
        if (request.has_take_over())
            claim(request.shard());
        else
            members_.updateRecord(request.heartbeat());
        updateShardOwners();
        return handler({});
    }
    if (request.has_members())
        return memberReader_.serve(request.members(), handler);
    const auto host = hosts_.find(request.shard());
    FleetSchema::PeerReply reply;
    if (host == hosts_.end() || !host->second->isServing()) {
        reply.set_outcome(FleetSchema::PEER_NOT_OWNER);
        return handler(reply);
    }
    if (request.has_host_check()) {
        const bool canHost
            = host->second->canHostTasks() && isStoreReachable() && !isStoreLost_ && !isLeaving_;
        reply.set_outcome(canHost ? FleetSchema::PEER_OK : FleetSchema::PEER_UNAVAILABLE);
        return handler(reply);
    }
    dispatchToHost(*host->second, request, handler);
}

void ShardOwnership::dispatchToHost(ShardHost& host, const FleetSchema::PeerRequest& request,
    const std::function<void(const FleetSchema::PeerReply&)>& handler)
{
    const auto onAnswer = [handler](const Fleet::JobAnswer& answer) {
        FleetSchema::PeerReply reply;
        reply.set_outcome(answer.outcome);
        reply.set_state(answer.state);
        reply.set_retry_after_ms(answer.retryAfterMs);
        handler(reply);
    };
    if (request.has_submit())
        return host.submit(request.submit(), onAnswer);
    if (request.has_adopt() || request.has_cancel_part()) {
        const std::string fault
            = Fleet::validateJobSpec(request.has_adopt() ? request.adopt().job() : request.cancel_part());
        if (fault.empty() && request.has_adopt())
            return host.acceptDelegatedTask(request.adopt(), onAnswer);
        if (fault.empty())
            return host.cancelHostedTasks(request.cancel_part(), onAnswer);
        Utils::log(Utils::LogLevel::Error, "lent-task-damaged", { { "fault", fault } });
        return onAnswer({ FleetSchema::PEER_UNDECIDED, FleetSchema::JOB_QUEUED, 0 });
    }
    if (request.has_result())
        return host.acceptTaskResult(request.result(), onAnswer);
    if (request.has_cancel())
        return host.cancel(request.cancel(), onAnswer);
    FleetSchema::PeerReply reply;
    const auto state = host.state(request.query());
    reply.set_outcome(state ? FleetSchema::PEER_OK : FleetSchema::PEER_UNKNOWN_JOB);
    reply.set_state(state.value_or(FleetSchema::JOB_QUEUED));
    handler(reply);
}

} // namespace FleetNode
