#pragma once

#include "delegationtargets.h"
#include "jobrouter.h"
#include "loopmonitor.h"
#include "memberreader.h"
#include "nodecontext.h"
#include "rackdirectory.h"
#include "shardhost.h"
#include "timer.h"

#include "fleet/memberview.h"
#include "fleet/ownershipplan.h"
#include "fleet/shardchooser.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace FleetNode {

/*!
    Claims and releases shards for this node and tracks the owners of all other shards.

    Nodes publish by heartbeat rows in the store that they are alive and which shards they own. Changes of
    ownership are also sent to the other nodes directly.
*/
class ShardOwnership final : public ShardDirectory, private OtherShards {
public:
    /*! All arguments must outlive the object. */
    ShardOwnership(NodeContext& context, PeerClient& peerClient, Fleet::TailLatencyModel& tailLatencyModel);
    ~ShardOwnership() override;

    /*! Starts heartbeats and, with them, claiming shards. */
    void start();

    /*! Replaces the list of workers. \param readAt when the list started to be read. */
    void setWorkers(const std::vector<Ports::WorkerInfo>& workers, Utils::TimePoint readAt);

    /*! \return whether this node needs a current list of workers, for its shards, claims or the rack map. */
    bool needsWorkerList() const;

    /*! \return whether this node owns or claims a shard. */
    bool ownsShards() const { return !hosts_.empty() || !claimsInProgress_.empty(); }

    /*! Sets the function that reads the list of workers now and, while it is needed, periodically. */
    void setWorkerListRequester(std::function<void()> requestWorkerList)
    {
        requestWorkerList_ = std::move(requestWorkerList);
    }

    /*! The operator's evacuations as this node knows them. */
    struct Evacuations {
        const std::set<std::string>& domains;
        Utils::TimePoint knownUntil {}; //!< Until when starts may rely on them.
    };

    /*! Sets the function that tells the evacuations; without it, there are none. */
    void setEvacuationSource(std::function<Evacuations()> source) { evacuationSource_ = std::move(source); }

    /*! Must be called when the evacuations have changed. */
    void applyEvacuations();

    /*! \return the failure domains of all known nodes and workers. */
    std::set<std::string> knownDomains() const;

    /*! Hands all shards over to other nodes. \param done called once when this node owns no shard. */
    void leave(std::function<void()> done);

    /*! Serves a request of another node or of this one. */
    void serve(const FleetSchema::PeerRequest& request,
        std::function<void(const FleetSchema::PeerReply&)> handler) override;

    std::string ownerAddress(const std::string& shard) const override;
    Fleet::ShardChoice chooseShard(const FleetSchema::JobSpec& spec) override;
    void setOwnerResponsive(const std::string& shard, bool isResponsive) override
    {
        chooser_.setOwnerResponsive(shard, isResponsive);
    }

    /*! \return number of accepted jobs of a queue without a started task, over all shards. */
    std::uint64_t pendingJobs(const std::string& queue) const;

    /*! \return whether this node has recently reached the store. */
    bool isStoreReachable() const override;

    /*! Sets the revision of the configuration in force, which heartbeats report. */
    void setConfigurationRevision(std::uint64_t revision) { configurationRevision_ = revision; }

private:
    std::string findShardWithCapacity(const std::string& shard, const FleetSchema::JobSpec& spec,
        std::uint32_t step, Utils::Duration waited, std::span<const std::string> returnedBy) override;
    bool hasShardWithRoom(
        const std::string& shard, const FleetSchema::JobSpec& spec, std::uint32_t step) override;
    std::vector<Fleet::GangShare> divideGang(const std::string& shard, const FleetSchema::JobSpec& spec,
        std::uint32_t step, Utils::Duration waited, std::span<const std::string> returnedBy) override;
    void callOwner(const FleetSchema::PeerRequest& request,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler) override;
    void callNode(const std::string& name, const FleetSchema::PeerRequest& request,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler) override;
    FleetSchema::LeaseReport reportLeases(const std::string& shard, const FleetSchema::LeaseInquiry& inquiry);
    void heartbeat();
    void onHeartbeatWritten(Utils::TimePoint sentAt, bool isWritten);
    void onRackMap(const Ports::Row& row);
    void onMembersUpdated();
    void onMembersFailed(const Utils::Error& error);
    void reclaimFormerShards();
    void passWorkersToHosts();
    /*! Requests a current list of workers if one is needed and none is being kept up to date. */
    void requireWorkerList();
    bool maintainsRackMap() const;
    void planOwnership();
    void claim(const std::string& shard);
    void onShardRow(
        const std::string& shard, Utils::TimePoint sentAt, const Utils::Result<Ports::RowPage>& result);
    void release(const std::string& shard, const std::string& successor);
    void onHostClosed(const std::string& shard);
    void requestTakeOver(const std::string& shard, const std::string& successor);
    void announceOwnership();
    void updateShardOwners();
    void requestOwnersUpdate();
    void tick();
    FleetSchema::NodeRecord makeNodeRecord() const;
    std::vector<Fleet::ShardInfo> shardInfos() const;
    std::vector<Fleet::NodeInfo> nodeInfos() const;
    void dispatchToHost(ShardHost& host, const FleetSchema::PeerRequest& request,
        const std::function<void(const FleetSchema::PeerReply&)>& handler);

    /*! A shard that this node has given up, for the next owner. */
    struct GivenUpShard {
        std::uint64_t epoch = 0;
        ShardHost::FinalState state;
    };

    NodeContext& context_;
    PeerClient& peerClient_;
    Fleet::TailLatencyModel& tailLatencyModel_;
    RackDirectory rackDirectory_;
    Fleet::ShardChooser chooser_;
    DelegationTargets delegationTargets_;
    Fleet::MemberView members_;
    MemberReader memberReader_;
    Fleet::MembershipLease membership_;
    std::map<std::string, std::unique_ptr<ShardHost>> hosts_;
    std::map<std::string, GivenUpShard>
        givenUpShards_; //!< Last ownership of each shard in which jobs were loaded.
    std::map<std::string, std::string> regionOfDomain_;
    std::map<std::string, Fleet::ShardOwnerInfo>
        shardOwners_; //!< Last known owner of each shard, including dead ones.
    std::set<std::string> claimsInProgress_; //!< Shards whose owner rows are being read.
    std::map<std::string, int> postponedClaims_; //!< Number of claims that found a live owner, by shard.
    std::map<std::string, std::string> successors_; //!< Planned next owners of the shards being released.
    Utils::TimePoint startedAt_ {};
    Utils::TimePoint heartbeatSentAt_ {}; //!< When the latest heartbeat was sent.
    Utils::TimePoint heartbeatWrittenAt_ {}; //!< When the store last acknowledged a heartbeat.
    Utils::TimePoint workersReadAt_ {}; //!< When the latest list of workers started to be read.
    Utils::TimePoint handoverAllowedAt_ {};
    std::uint64_t configurationRevision_ = 0;
    bool hasReclaimedShards_ = false;
    bool isLeaving_ = false;
    bool isStoreLost_ = false;
    bool isOwnersUpdateRequested_ = false;
    bool isWorkerListCurrent_ = false; //!< The list was read after this node last started to need it.
    std::function<void()> requestWorkerList_;
    std::function<Evacuations()> evacuationSource_; //!< Empty: there are none.
    std::function<void()> onLeft_;
    Timer heartbeatTimer_;
    Timer tickTimer_;
    Utils::TimePoint tickDueAt_ {};
    LoopMonitor loopMonitor_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
