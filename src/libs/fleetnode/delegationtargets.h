#pragma once

#include "nodecontext.h"

#include "fleet/gangshare.h"

#include <fleet.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Fleet {
class ShardChooser;
}

namespace FleetNode {

/*!
    Finds shards that delegated tasks can be handed to.

    A delegation is final: until the owner of the host shard has stored the task, no shard can run it. Loads
   are reported about once a second, so the owner is asked first whether it can store tasks.
*/
class DelegationTargets {
public:
    using ReplyHandler = std::function<void(const Utils::Result<FleetSchema::PeerReply>&)>;
    /*! Calls the owner of the shard that the request names; the handler runs later, not inside the call. */
    using OwnerCaller = std::function<void(const FleetSchema::PeerRequest&, ReplyHandler)>;

    /*! \param chooser must outlive the object. */
    DelegationTargets(NodeContext& context, Fleet::ShardChooser& chooser, OwnerCaller callOwner);

    /*!
        Finds a shard for one task and counts the task as delegated to it. Arguments are as for
        Fleet::ShardChooser::findForTask().

        \return the shard; empty if none has capacity, or its owner has not confirmed yet that it can store
            tasks. In the latter case the owner is asked, and a call shortly afterwards may succeed.
    */
    std::string find(const std::string& originShard, const FleetSchema::JobSpec& spec, std::uint32_t step,
        Utils::Duration waited, std::size_t assigningNodes, std::span<const std::string> returnedBy = {});

    /*!
        Divides a gang and counts its members as delegated. Arguments are as for find().

        \return as for Fleet::SchedulerOutput::divideGang(); also empty if owners have not confirmed yet that
            they can store tasks. They are asked, and a call shortly afterwards may succeed.
    */
    std::vector<Fleet::GangShare> divide(const std::string& originShard, const FleetSchema::JobSpec& spec,
        std::uint32_t step, Utils::Duration waited, std::size_t assigningNodes,
        std::span<const std::string> returnedBy);

private:
    bool isConfirmed(const std::string& shard);
    void checkOwner(const std::string& shard);

    NodeContext& context_;
    Fleet::ShardChooser& chooser_;
    OwnerCaller callOwner_;
    std::map<std::string, Utils::TimePoint> confirmedAt_; //!< When the owner of a shard last confirmed.
    std::set<std::string> checksInProgress_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
