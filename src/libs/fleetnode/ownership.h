#pragma once

#include "jobrouter.h"
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
#include <set>
#include <string>
#include <vector>

namespace FleetNode {

/*!
    Which shards this node owns, and who owns the others.

    Nodes tell each other by heartbeat rows in the store that they are alive and what they own; changes of
   ownership are also told directly.
*/
class Ownership final : public ShardDirectory, private ShardNeighbours {
public:
    /*! \param context what the node shares. \param peers calls other nodes; must outlive this. */
    Ownership(NodeContext& context, PeerLinks& peers, Fleet::TailLatencyModel& tailModel);
    ~Ownership() override;

    /*! Starts heartbeats. */
    void start();

    /*! Takes in the list of workers. \param workers all that are listed. */
    void setWorkers(const std::vector<Ports::WorkerInfo>& workers);

    /*! \return whether this node decides by the list of workers, so that it must be current. */
    bool needsWorkers() const;

    /*! Sets what asks for a current list of workers. \param ask called when a shard is claimed without one.
     */
    void setWorkersWanted(std::function<void()> ask) { askForWorkers_ = std::move(ask); }

    /*! Gives all shards to other nodes. \param done called once when this node owns none. */
    void leave(std::function<void()> done);

    /*! Serves a call of another node. \param request the call. \param handler receives the reply. */
    void serve(const FleetSchema::PeerRequest& request,
        std::function<void(const FleetSchema::PeerReply&)> handler) override;

    std::string ownerAddress(const std::string& shard) const override;
    Fleet::ShardChoice chooseShard(const FleetSchema::JobSpec& spec) override;
    void noteOwner(const std::string& shard, bool hasAnswered) override
    {
        chooser_.setOwnerResponsive(shard, hasAnswered);
    }

    /*! \param queue identity of a queue. \return accepted jobs without a start in all shards. */
    std::uint64_t pending(const std::string& queue) const;

    /*! \return whether the store was reached lately. */
    bool isStoreReachable() const override;

    /*! Sets the revision told in heartbeats. \param revision of the configuration in force. */
    void setConfigurationRevision(std::uint64_t revision) { revision_ = revision; }

private:
    std::string findShardWithRoom(
        const std::string& shard, const FleetSchema::JobSpec& spec, std::uint32_t step) override;
    void callOwner(const FleetSchema::PeerRequest& request,
        std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler) override;
    void heartbeat();
    void readMembers();
    void onMembers(const Utils::Result<Ports::RowPage>& result);
    void reclaim();
    void passWorkers();
    bool isRackPlanner() const;
    void plan();
    void claim(const std::string& shard);
    void onShardRow(const std::string& shard, const Utils::Result<Ports::RowPage>& result);
    void release(const std::string& shard, const std::string& successor);
    void onEnded(const std::string& shard);
    void handTo(const std::string& shard, const std::string& successor);
    void announce();
    void noteHolders();
    void tick();
    FleetSchema::NodeRecord record() const;
    std::vector<Fleet::ShardInfo> shardPlaces() const;
    std::vector<Fleet::NodeInfo> nodePlaces() const;
    void serveOwn(ShardHost& host, const FleetSchema::PeerRequest& request,
        const std::function<void(const FleetSchema::PeerReply&)>& handler);

    NodeContext& context_;
    PeerLinks& peers_;
    Fleet::TailLatencyModel& tailModel_;
    RackDirectory racks_;
    Fleet::MemberView members_;
    Fleet::ShardChooser chooser_;
    std::map<std::string, std::unique_ptr<ShardHost>> hosts_;
    std::map<std::string, std::string> regionOfDomain_;
    std::map<std::string, Fleet::ShardOwnerInfo>
        holders_; //!< Latest known owner of each shard, dead ones included.
    std::set<std::string> claiming_; //!< Shards whose rows are being read.
    std::map<std::string, int> postponed_; //!< How often a claim found a live owner in the row.
    std::map<std::string, std::string> successors_; //!< Of shards being released.
    Utils::TimePoint startedAt_ {};
    Utils::TimePoint membersReadAt_ {};
    Utils::TimePoint handoverAllowedAt_ {};
    std::uint64_t revision_ = 0;
    bool isReclaimed_ = false;
    bool isLeaving_ = false;
    bool isStoreLost_ = false;
    bool areWorkersCurrent_ = false; //!< The list was read since this node last began to need it.
    std::function<void()> askForWorkers_;
    std::function<void()> onLeft_;
    Timer heartbeatTimer_;
    Timer tickTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
