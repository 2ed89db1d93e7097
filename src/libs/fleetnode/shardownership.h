#pragma once

#include "jobrouter.h"
#include "nodecontext.h"
#include "rackdirectory.h"
#include "shardhost.h"
#include "timer.h"

#include "fleet/memberview.h"
#include "fleet/ownershipplan.h"
#include "fleet/shardchoice.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace FleetNode {

/*!
    Which shards this node owns, and who owns the others.

    Nodes tell each other by heartbeat rows in the store that they are alive and what they own; changes of
   ownership are also told directly.
*/
class ShardOwnership final : public ShardDirectory, private OtherShards {
public:
    /*! \param context what the node shares. \param peers calls other nodes; must outlive this. */
    ShardOwnership(NodeContext& context, PeerClient& peerClient, Fleet::TailModel& tailLatencyModel);
    ~ShardOwnership() override;

    /*! Starts heartbeats. */
    void start();

    /*! Takes in the list of workers. \param workers all that are listed. */
    void setWorkers(const std::vector<Ports::WorkerInfo>& workers);

    /*! \return whether this node decides by the list of workers, so that it must be current. */
    bool needsWorkerList() const;

    /*! Sets what asks for a current list of workers. \param ask called when a shard is claimed without one.
     */
    void setWorkerListRequester(std::function<void()> requestWorkerList)
    {
        requestWorkerList_ = std::move(requestWorkerList);
    }

    /*! Gives all shards to other nodes. \param done called once when this node owns none. */
    void leave(std::function<void()> done);

    /*! Serves a call of another node. \param request the call. \param handler receives the reply. */
    void serve(const FleetSchema::PeerRequest& request,
        std::function<void(const FleetSchema::PeerReply&)> handler) override;

    std::string ownerAddress(const std::string& shard) const override;
    Fleet::ShardChoice chooseShard(const FleetSchema::JobSpec& spec) override;
    void setOwnerResponsive(const std::string& shard, bool isResponsive) override
    {
        chooser_.noteOwner(shard, isResponsive);
    }

    /*! \param queue identity of a queue. \return accepted jobs without a start in all shards. */
    std::uint64_t pendingJobs(const std::string& queue) const;

    /*! \return whether the store was reached lately. */
    bool isStoreReachable() const override;

    /*! Sets the revision told in heartbeats. \param revision of the configuration in force. */
    void setConfigurationRevision(std::uint64_t revision) { configurationRevision_ = revision; }

private:
    std::string findShardWithCapacity(
        const std::string& shard, const FleetSchema::JobSpec& spec, std::uint32_t step) override;
    void callOwner(const FleetSchema::PeerRequest& request,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler) override;
    void heartbeat();
    void readMembers();
    void onMembers(const Utils::Result<Ports::RowPage>& result);
    void reclaimFormerShards();
    void passWorkersToHosts();
    bool maintainsRackMap() const;
    void planOwnership();
    void claim(const std::string& shard);
    void onShardRow(const std::string& shard, const Utils::Result<Ports::RowPage>& result);
    void release(const std::string& shard, const std::string& successor);
    void onHostClosed(const std::string& shard);
    void requestTakeOver(const std::string& shard, const std::string& successor);
    void announceOwnership();
    void updateShardOwners();
    void tick();
    FleetSchema::NodeRecord makeNodeRecord() const;
    std::vector<Fleet::ShardPlace> shardInfos() const;
    std::vector<Fleet::NodePlace> nodeInfos() const;
    void dispatchToHost(ShardHost& host, const FleetSchema::PeerRequest& request,
        const std::function<void(const FleetSchema::PeerReply&)>& handler);

    NodeContext& context_;
    PeerClient& peerClient_;
    Fleet::TailModel& tailLatencyModel_;
    RackDirectory rackDirectory_;
    Fleet::MemberView members_;
    Fleet::ShardChooser chooser_;
    std::map<std::string, std::unique_ptr<ShardHost>> hosts_;
    std::map<std::string, std::string> regionOfDomain_;
    std::map<std::string, Fleet::ShardHolder>
        shardOwners_; //!< Latest known owner of each shard, dead ones included.
    std::set<std::string> claimsInProgress_; //!< Shards whose rows are being read.
    std::map<std::string, int> postponedClaims_; //!< How often a claim found a live owner in the row.
    std::map<std::string, std::string> successors_; //!< Of shards being released.
    Utils::TimePoint startedAt_ {};
    Utils::TimePoint membersReadAt_ {};
    Utils::TimePoint handoverAllowedAt_ {};
    std::uint64_t configurationRevision_ = 0;
    bool hasReclaimedShards_ = false;
    bool isLeaving_ = false;
    bool isStoreLost_ = false;
    bool isWorkerListCurrent_ = false; //!< The list was read since this node last began to need it.
    std::function<void()> requestWorkerList_;
    std::function<void()> onLeft_;
    Timer heartbeatTimer_;
    Timer tickTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
