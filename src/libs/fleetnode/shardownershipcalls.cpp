// Calls of other nodes to ShardOwnership.

#include "shardownership.h"

#include "utils/log/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace FleetNode {

void ShardOwnership::serve(
    const FleetSchema::PeerRequest& request, std::function<void(const FleetSchema::PeerReply&)> handler)
{
    if (request.has_heartbeat() || request.has_take_over()) {
        if (request.has_take_over())
            claim(request.shard());
        else
            members_.updateRecord(request.heartbeat());
        requestOwnersUpdate();
        return handler({});
    }
    if (request.has_members())
        return memberReader_.serve(request.members(), handler);
    FleetSchema::PeerReply reply;
    if (request.has_lease_inquiry()) {
        *reply.mutable_leases() = reportLeases(request.shard(), request.lease_inquiry());
        return handler(reply);
    }
    const auto host = hosts_.find(request.shard());
    if (host == hosts_.end() || !host->second->isServing()) {
        reply.set_outcome(FleetSchema::PEER_NOT_OWNER);
        return handler(reply);
    }
    if (request.has_host_check()) {
        const bool canHost = host->second->canHostTasks() && isStoreReachable() && !isStoreLost_
            && !isLeaving_ && !host->second->isEvacuated();
        reply.set_outcome(canHost ? FleetSchema::PEER_OK : FleetSchema::PEER_UNAVAILABLE);
        return handler(reply);
    }
    dispatchToHost(*host->second, request, handler);
}

// When a node is lost, all others announce the shards that they take over, at about the same time. An update
// examines all nodes and shards, so it follows the calls that have arrived together.
void ShardOwnership::requestOwnersUpdate()
{
    if (std::exchange(isOwnersUpdateRequested_, true))
        return;
    boost::asio::post(context_.io, [this, weak = std::weak_ptr<bool>(alive_)] {
        if (!weak.lock())
            return;
        isOwnersUpdateRequested_ = false;
        updateShardOwners();
    });
}

FleetSchema::LeaseReport ShardOwnership::reportLeases(
    const std::string& shard, const FleetSchema::LeaseInquiry& inquiry)
{
    FleetSchema::LeaseReport report;
    if (inquiry.owner() != context_.settings.node().name())
        return report;
    if (inquiry.incarnation() != context_.incarnation) {
        report.set_has_process_ended(true);
        return report;
    }
    if (const auto host = hosts_.find(shard);
        host != hosts_.end() && host->second->epoch() == inquiry.epoch()) {
        host->second->onTakenOver();
        if (const auto& state = host->second->finalState())
            givenUpShards_[shard] = { inquiry.epoch(), *state };
    }
    const auto givenUp = givenUpShards_.find(shard);
    if (givenUp == givenUpShards_.end() || givenUp->second.epoch != inquiry.epoch())
        return report;
    const ShardHost::FinalState& state = givenUp->second.state;
    report.set_is_known(true);
    for (const FleetSchema::EndedTask& end : state.unstoredEnds)
        *report.add_ended() = end;
    for (const auto& [worker, end] : state.leaseEnds) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(end - context_.now());
        (*report.mutable_remaining_ms())[worker]
            = static_cast<std::uint32_t>(std::max<std::int64_t>(0, remaining.count()));
    }
    return report;
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
    if (request.has_part_ready())
        return onAnswer({ host.acceptPartReady(request.part_ready()), FleetSchema::JOB_QUEUED, 0 });
    if (request.has_part_start())
        return onAnswer({ host.acceptPartStart(request.part_start()), FleetSchema::JOB_QUEUED, 0 });
    if (request.has_cancel())
        return host.cancel(request.cancel(), onAnswer);
    FleetSchema::PeerReply reply;
    const auto state = host.state(request.query());
    // A successor may have accepted the job.
    const auto unknown
        = host.isOwnershipCertain() ? FleetSchema::PEER_UNKNOWN_JOB : FleetSchema::PEER_NOT_OWNER;
    reply.set_outcome(state ? FleetSchema::PEER_OK : unknown);
    reply.set_state(state.value_or(FleetSchema::JOB_QUEUED));
    handler(reply);
}

} // namespace FleetNode
