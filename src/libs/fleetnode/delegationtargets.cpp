#include "delegationtargets.h"

#include "fleet/shardchooser.h"

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
    const auto confirmed = confirmedAt_.find(shard);
    if (confirmed == confirmedAt_.end() || context_.now() - confirmed->second > confirmationLifetime) {
        checkOwner(shard);
        return {};
    }
    chooser_.countDelegation(shard, spec, step);
    return shard;
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
