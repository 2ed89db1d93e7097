// Calls of EmulatedOwner about gangs that are divided among several shards.

#include "emulatedfleet.h"
#include "emulatedowner.h"

#include <algorithm>

namespace Emulate {

std::vector<Fleet::GangShare> EmulatedOwner::divideGang(const FleetSchema::JobSpec& spec, std::uint32_t step,
    Utils::Duration waited, std::span<const std::string> returnedBy)
{
    Fleet::ShardChooser& chooser = fleet_.node(node_).chooser;
    const std::string single = chooser.findForTask(
        EmulatedFleet::shardName(shard_), spec, step, waited, fleet_.countAliveNodes(), returnedBy);
    if (!single.empty() && std::find(returnedBy.begin(), returnedBy.end(), single) == returnedBy.end())
        return {};
    std::vector<Fleet::GangShare> shares = chooser.divideGang(spec, step, 1);
    trace({ spec.id(), 0, step, 0 }, "gang divided among " + std::to_string(shares.size()) + " shards");
    return shares;
}

void EmulatedOwner::sendPartReady(const std::string& originShard, const FleetSchema::GangPart& part)
{
    trace({ part.job(), part.occurrence(), part.step(), 0 },
        "part is ready, transfer " + std::to_string(part.transfer()));
    fleet_.callShard(
        node_, originShard,
        [part](EmulatedOwner& owner, const AnswerHandler& handler) { owner.acceptPartReady(part, handler); },
        [weak = weak_from_this(), part](const Fleet::JobAnswer& answer) {
            if (const auto self = weak.lock())
                self->runLater(0, [owner = self.get(), part, outcome = answer.outcome] {
                    owner->scheduler_->onPartReadyAnswered(part, outcome, owner->fleet_.time().now());
                });
        });
}

void EmulatedOwner::startPart(const std::string& hostShard, const FleetSchema::GangPart& part)
{
    trace({ part.job(), part.occurrence(), part.step(), 0 },
        "start of the part called at " + hostShard + ", transfer " + std::to_string(part.transfer()));
    fleet_.callShard(
        node_, hostShard,
        [part](EmulatedOwner& owner, const AnswerHandler& handler) { owner.acceptPartStart(part, handler); },
        [weak = weak_from_this(), part](const Fleet::JobAnswer& answer) {
            if (const auto self = weak.lock())
                self->runLater(0, [owner = self.get(), part, outcome = answer.outcome] {
                    owner->scheduler_->onPartStartAnswered(part, outcome);
                });
        });
}

void EmulatedOwner::acceptPartReady(const FleetSchema::GangPart& part, const AnswerHandler& handler)
{
    handler({ isReleasing_ ? FleetSchema::PEER_UNAVAILABLE
                           : scheduler_->acceptPartReady(part, fleet_.time().now()),
        FleetSchema::JOB_QUEUED, 0 });
}

void EmulatedOwner::acceptPartStart(const FleetSchema::GangPart& part, const AnswerHandler& handler)
{
    handler({ isReleasing_ ? FleetSchema::PEER_UNAVAILABLE
                           : scheduler_->acceptPartStart(part, fleet_.time().now()),
        FleetSchema::JOB_QUEUED, 0 });
}

} // namespace Emulate
