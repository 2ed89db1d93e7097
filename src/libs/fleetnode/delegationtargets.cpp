#include "delegationtargets.h"

#include "fleet/shardchooser.h"

#include <algorithm>

namespace FleetNode {

namespace {

// Longer than the interval in which the scheduler of a shard retries a delegation.
constexpr std::chrono::milliseconds confirmationLifetime { 400 };

} // namespace

DelegationTargets::DelegationTargets(
    NodeContext& context, Fleet::ShardChooser& chooser, OwnerCaller callOwner)
    : context_(context)
    , chooser_(chooser)
    , callOwner_(std::move(callOwner))
{
}

std::string DelegationTargets::find(const std::string& originShard, const FleetSchema::JobSpec& spec,
    std::uint32_t step, Utils::Duration waited, std::size_t assigningNodes,
    std::span<const std::string> returnedBy)
{
    std::string shard = chooser_.findForTask(originShard, spec, step, waited, assigningNodes, returnedBy);
    if (shard.empty())
        return shard;
    if (!isConfirmed(shard))
        return {};
    chooser_.countDelegation(shard, spec, step);
    return shard;
}

std::vector<Fleet::GangShare> DelegationTargets::divide(const std::string& originShard,
    const FleetSchema::JobSpec& spec, std::uint32_t step, Utils::Duration waited, std::size_t assigningNodes,
    std::span<const std::string> returnedBy)
{
    // It may only wait for the confirmation of its owner.
    const std::string single
        = chooser_.findForTask(originShard, spec, step, waited, assigningNodes, returnedBy);
    if (!single.empty() && std::find(returnedBy.begin(), returnedBy.end(), single) == returnedBy.end())
        return {};
    // As in findForTask(), few shards have gangs to divide.
    std::vector<Fleet::GangShare> shares = chooser_.divideGang(spec, step, 1);
    bool areConfirmed = true;
    for (const Fleet::GangShare& share : shares)
        areConfirmed = (share.shard == originShard || isConfirmed(share.shard)) && areConfirmed;
    if (!areConfirmed)
        return {};
    for (const Fleet::GangShare& share : shares) {
        for (std::uint32_t number = 0; number < share.count; ++number)
            chooser_.countDelegation(share.shard, spec, step);
    }
    return shares;
}

// Asks the owner unless it has confirmed lately that it can store tasks.
bool DelegationTargets::isConfirmed(const std::string& shard)
{
    const auto confirmed = confirmedAt_.find(shard);
    if (confirmed != confirmedAt_.end() && context_.now() - confirmed->second <= confirmationLifetime)
        return true;
    checkOwner(shard);
    return false;
}

void DelegationTargets::checkOwner(const std::string& shard)
{
    if (!checksInProgress_.insert(shard).second)
        return;
    FleetSchema::PeerRequest request;
    request.set_shard(shard);
    request.set_host_check(true);
    callOwner_(request,
        [this, weak = std::weak_ptr<bool>(alive_), shard](
            const Utils::Result<FleetSchema::PeerReply>& result) {
            if (!weak.lock())
                return;
            checksInProgress_.erase(shard);
            const bool canHost
                = Utils::isOk(result) && Utils::value(result).outcome() == FleetSchema::PEER_OK;
            if (canHost)
                confirmedAt_[shard] = context_.now();
            else
                confirmedAt_.erase(shard);
            chooser_.setOwnerResponsive(shard, canHost);
        });
}

} // namespace FleetNode
