#include "shardownership.h"

#include "fleet/noderecord.h"

#include "utils/log/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval { 100 };
// Delay between the start of a node and its first ownership plan, so that nodes that start together have seen
// each other before they assign shards.
constexpr milliseconds startupDelay { 1800 };
// Time without a successful call after which the store counts as unreachable.
constexpr milliseconds storeTimeout { 2500 };
// Minimum time from an assignment or handover of shards to the next handover for load balancing, so that all
// nodes see the change before the handover is planned.
constexpr milliseconds handoverInterval { 2500 };
// A claim is postponed if the owner row names a live node. After this many claims, that node is assumed to
// have dropped the shard, because it does not report it, and the shard is taken over.
constexpr int maxPostponedClaims = 4;
constexpr milliseconds peerCallTimeout { 1000 };
// Shortest time between two heartbeats while the membership lease has lapsed and the store answers.
constexpr milliseconds heartbeatRetryInterval { 300 };

} // namespace

ShardOwnership::ShardOwnership(
    NodeContext& context, PeerClient& peerClient, Fleet::TailLatencyModel& tailLatencyModel)
    : context_(context)
    , peerClient_(peerClient)
    , tailLatencyModel_(tailLatencyModel)
    , rackDirectory_(context)
    , delegationTargets_(context, chooser_,
          [this](const auto& request, auto handler) { callOwner(request, std::move(handler)); })
    , members_(context.settings.node().name(), milliseconds(context.settings.dispatch().node_timeout_ms()))
    , memberReader_(context, members_,
          [this](const auto& address, const auto& request, auto timeout, auto handler) {
              peerClient_.call(address, request, timeout, std::move(handler));
          },
          { [this](const Ports::Row& row) { onRackMap(row); }, [this] { onMembersUpdated(); },
              [this](const Utils::Error& error) { onMembersFailed(error); } })
    , membership_(milliseconds(context.settings.dispatch().node_timeout_ms()))
    , startedAt_(context.now())
    , heartbeatTimer_(context.io)
    , tickTimer_(context.io)
    , loopMonitor_(context)
{
}

ShardOwnership::~ShardOwnership() = default;

void ShardOwnership::start()
{
    heartbeat();
    tickDueAt_ = context_.now() + tickInterval;
    tickTimer_.start(tickInterval, [this] { tick(); });
}

FleetSchema::NodeRecord ShardOwnership::makeNodeRecord() const
{
    FleetSchema::NodeRecord record;
    record.set_name(context_.settings.node().name());
    record.set_address(context_.settings.endpoints().peers());
    record.set_domain(context_.settings.node().domain());
    record.set_region(context_.settings.node().region());
    record.set_incarnation(context_.incarnation);
    record.set_leaving(isLeaving_);
    record.set_configuration(configurationRevision_);
    record.set_processors(
        context_.settings.dispatch().processor_share() * context_.settings.dispatch().processors());
    for (const auto& [shard, host] : hosts_) {
        if (host->isServing())
            *record.add_shards() = host->load();
    }
    return record;
}

void ShardOwnership::heartbeat()
{
    heartbeatTimer_.start(milliseconds(context_.settings.dispatch().heartbeat_ms()), [this] { heartbeat(); });
    const FleetSchema::NodeRecord own = makeNodeRecord();
    members_.setSelf(own);
    // The row of the former incarnation lists the shards to reclaim, so it is read before it is overwritten.
    if (!hasReclaimedShards_)
        return memberReader_.read(false);
    FleetSchema::NodeRecord row = own;
    if (Fleet::limitPendingCounts(row, maxRowBytes(context_)) > 0)
        context_.metrics.add("geraniumquay_heartbeats_shortened_total");
    Ports::Transaction transaction;
    transaction.puts.push_back({ { nodeTable, {}, nodeKeyPrefix + own.name() }, row.SerializeAsString() });
    heartbeatSentAt_ = context_.now();
    context_.store.commit(transaction,
        [this, weak = std::weak_ptr<bool>(alive_), sentAt = heartbeatSentAt_](
            const Utils::Result<Ports::TransactionOutcome>& result) {
            if (weak.lock())
                onHeartbeatWritten(sentAt, Utils::isOk(result));
        });
}

void ShardOwnership::onHeartbeatWritten(Utils::TimePoint sentAt, bool isWritten)
{
    if (isWritten) {
        membership_.onHeartbeatStored(sentAt);
        heartbeatWrittenAt_ = context_.now();
    } else {
        context_.metrics.add("geraniumquay_heartbeats_failed_total");
    }
    // After this time, nodes that count as alive have sent heartbeats since this one started.
    const bool isSettled = context_.now() - startedAt_ >= 2 * startupDelay;
    memberReader_.read(isWritten && isSettled);
}

void ShardOwnership::onMembersFailed(const Utils::Error& error)
{
    if (!isStoreLost_)
        Utils::logError("store-lost", error);
    isStoreLost_ = true;
}

void ShardOwnership::onRackMap(const Ports::Row& row)
{
    if (rackDirectory_.setMapRow(row))
        passWorkersToHosts();
}

void ShardOwnership::onMembersUpdated()
{
    if (isStoreLost_)
        Utils::log(Utils::LogLevel::Info, "store-regained", {});
    isStoreLost_ = false;
    updateShardOwners();
    if (!hasReclaimedShards_)
        reclaimFormerShards();
    planOwnership();
}

void ShardOwnership::reclaimFormerShards()
{
    hasReclaimedShards_ = true;
    FleetSchema::NodeRecord former;
    if (members_.lastRecord(context_.settings.node().name(), former)) {
        for (const FleetSchema::ShardLoad& load : former.shards())
            claim(load.shard());
    }
    heartbeat();
}

void ShardOwnership::updateShardOwners()
{
    for (auto& [shard, ownerInfo] : members_.shardOwners())
        shardOwners_[shard] = ownerInfo;
    chooser_.update(shardOwners_);
}

std::vector<Fleet::ShardInfo> ShardOwnership::shardInfos() const
{
    std::map<std::string, std::string> owners;
    for (const std::string& shard : rackDirectory_.shards())
        owners[shard];
    for (const auto& [shard, ownerInfo] : shardOwners_)
        owners[shard];
    for (const auto& [shard, ownerInfo] : members_.shardOwners())
        owners[shard] = ownerInfo.node;
    for (const auto& [shard, host] : hosts_)
        owners[shard] = context_.settings.node().name();
    std::vector<Fleet::ShardInfo> infos;
    infos.reserve(owners.size());
    for (const auto& [shard, owner] : owners) {
        const auto host = hosts_.find(shard);
        const bool isUnconfirmed = host != hosts_.end() && host->second->hasUnconfirmedAttempts();
        infos.push_back({ shard, rackDirectory_.domainOf(shard), owner, isUnconfirmed });
    }
    return infos;
}

std::vector<Fleet::NodeInfo> ShardOwnership::nodeInfos() const
{
    std::vector<Fleet::NodeInfo> infos;
    for (const FleetSchema::NodeRecord* node : members_.aliveNodes())
        infos.push_back(
            { node->name(), node->domain(), node->region(), node->leaving(), node->processors() });
    return infos;
}

void ShardOwnership::planOwnership()
{
    for (const FleetSchema::NodeRecord* node : members_.aliveNodes())
        regionOfDomain_[node->domain()] = node->region();
    const std::string& self = context_.settings.node().name();
    if (isLeaving_ || context_.now() - startedAt_ < startupDelay)
        return;
    requireWorkerList();
    if (maintainsRackMap() && isWorkerListCurrent_)
        rackDirectory_.addUnmappedRacks();
    const std::vector<Fleet::ShardInfo> shards = shardInfos();
    const std::vector<Fleet::NodeInfo> nodes = nodeInfos();
    const auto moves = Fleet::planOrphanAssignments(shards, nodes, regionOfDomain_);
    for (const Fleet::ShardAssignment& move : moves) {
        if (move.node == self)
            claim(move.shard);
    }
    if (!moves.empty())
        handoverAllowedAt_ = context_.now() + handoverInterval;
    if (context_.now() < handoverAllowedAt_)
        return;
    for (const Fleet::ShardAssignment& move : Fleet::planHandovers(self, shards, nodes, regionOfDomain_)) {
        handoverAllowedAt_ = context_.now() + handoverInterval;
        release(move.shard, move.node);
    }
}

void ShardOwnership::claim(const std::string& shard)
{
    if (hosts_.contains(shard) || claimsInProgress_.contains(shard))
        return;
    if (!needsWorkerList()) {
        isWorkerListCurrent_ = false;
        requestWorkerList_();
    }
    claimsInProgress_.insert(shard);
    Ports::RowRange range;
    range.table = shardTable;
    range.partition = shard;
    context_.store.read(range,
        [this, weak = std::weak_ptr<bool>(alive_), shard, sentAt = context_.now()](
            const Utils::Result<Ports::RowPage>& result) {
            if (weak.lock())
                onShardRow(shard, sentAt, result);
        });
}

void ShardOwnership::onShardRow(
    const std::string& shard, Utils::TimePoint sentAt, const Utils::Result<Ports::RowPage>& result)
{
    claimsInProgress_.erase(shard);
    if (!Utils::isOk(result)) {
        Utils::logError("shard-claim-failed", Utils::error(result));
        return requireWorkerList();
    }
    FleetSchema::ShardRecord former;
    std::uint64_t version = 0;
    for (const Ports::Row& row : Utils::value(result).rows) {
        if (row.name.key != shardOwnerKey)
            continue;
        version = row.version;
        if (!former.ParseFromString(row.value))
            Utils::log(Utils::LogLevel::Error, "shard-record-damaged", { { "shard", shard } });
    }
    const bool hasLiveOwner = !former.owner().empty() && former.owner() != context_.settings.node().name()
        && members_.isAlive(former.owner());
    if (isLeaving_ || hosts_.contains(shard)
        || (hasLiveOwner && ++postponedClaims_[shard] < maxPostponedClaims))
        return requireWorkerList();
    postponedClaims_.erase(shard);
    auto host = std::make_unique<ShardHost>(context_, shard, static_cast<OtherShards&>(*this), membership_,
        tailLatencyModel_, [this, shard] { onHostClosed(shard); });
    // With an outdated list, a task could be started on a worker that no longer exists.
    if (isWorkerListCurrent_)
        host->setWorkers(rackDirectory_.workersOf(shard), workersReadAt_);
    Fleet::StoreClock clock;
    clock.onAnswer(Utils::value(result).storeMs, sentAt, context_.now());
    host->takeOver(former, version, clock);
    hosts_[shard] = std::move(host);
    applyEvacuations();
}

void ShardOwnership::setWorkers(const std::vector<Ports::WorkerInfo>& workers, Utils::TimePoint readAt)
{
    workersReadAt_ = readAt;
    rackDirectory_.setWorkers(workers, readAt);
    // A list that is not needed is not read again.
    isWorkerListCurrent_ = needsWorkerList();
    passWorkersToHosts();
}

void ShardOwnership::requireWorkerList()
{
    if (!needsWorkerList())
        isWorkerListCurrent_ = false;
    else if (!isWorkerListCurrent_)
        requestWorkerList_();
}

bool ShardOwnership::needsWorkerList() const
{
    return ownsShards() || maintainsRackMap();
}

// Only one node maintains the rack map: the first by name of those that are alive.
bool ShardOwnership::maintainsRackMap() const
{
    const std::vector<const FleetSchema::NodeRecord*> alive = members_.aliveNodes();
    return alive.empty() || alive.front()->name() == context_.settings.node().name();
}

void ShardOwnership::passWorkersToHosts()
{
    if (!isWorkerListCurrent_)
        return;
    for (const auto& [shard, host] : hosts_)
        host->setWorkers(rackDirectory_.workersOf(shard), workersReadAt_);
}

void ShardOwnership::release(const std::string& shard, const std::string& successor)
{
    const auto host = hosts_.find(shard);
    if (host == hosts_.end() || successors_.contains(shard))
        return;
    Utils::log(Utils::LogLevel::Info, "shard-handover", { { "shard", shard }, { "successor", successor } });
    successors_[shard] = successor;
    host->second->release();
}

void ShardOwnership::onHostClosed(const std::string& shard)
{
    if (const auto host = hosts_.find(shard); host != hosts_.end()) {
        if (const auto& state = host->second->finalState())
            givenUpShards_[shard] = { host->second->epoch(), *state };
        hosts_.erase(host);
    }
    requireWorkerList();
    const auto successor = successors_.find(shard);
    if (successor != successors_.end()) {
        requestTakeOver(shard, successor->second);
        successors_.erase(shard);
    }
    announceOwnership();
    if (isLeaving_ && hosts_.empty() && onLeft_) {
        const auto onLeft = std::move(onLeft_);
        onLeft_ = nullptr;
        onLeft();
    }
}

void ShardOwnership::requestTakeOver(const std::string& shard, const std::string& successor)
{
    for (const FleetSchema::NodeRecord* node : members_.aliveNodes()) {
        if (node->name() != successor)
            continue;
        FleetSchema::PeerRequest request;
        request.set_shard(shard);
        *request.mutable_take_over() = makeNodeRecord();
        peerClient_.call(node->address(), request, peerCallTimeout,
            [shard](const Utils::Result<FleetSchema::PeerReply>& result) {
                // The next ownership plan finds the shard without an owner.
                if (!Utils::isOk(result))
                    Utils::logError("handover-unanswered", Utils::error(result));
            });
    }
}

// Sends changes of ownership to the other nodes directly, before they next read the store.
void ShardOwnership::announceOwnership()
{
    const FleetSchema::NodeRecord own = makeNodeRecord();
    members_.setSelf(own);
    updateShardOwners();
    FleetSchema::PeerRequest request;
    *request.mutable_heartbeat() = own;
    for (const FleetSchema::NodeRecord* node : members_.aliveNodes()) {
        if (node->name() != own.name())
            peerClient_.call(node->address(), request, peerCallTimeout, [](const auto&) {});
    }
}

void ShardOwnership::leave(std::function<void()> done)
{
    isLeaving_ = true;
    onLeft_ = std::move(done);
    heartbeat();
    if (hosts_.empty()) {
        boost::asio::post(context_.io, [this] {
            if (onLeft_)
                onLeft_();
            onLeft_ = nullptr;
        });
        return;
    }
    members_.setSelf(makeNodeRecord());
    std::map<std::string, std::string> chosen;
    for (const Fleet::ShardAssignment& move :
        Fleet::planHandovers(context_.settings.node().name(), shardInfos(), nodeInfos(), regionOfDomain_)) {
        chosen[move.shard] = move.node;
    }
    std::vector<std::string> shards;
    for (const auto& [shard, host] : hosts_)
        shards.push_back(shard);
    for (const std::string& shard : shards)
        release(shard, chosen[shard]);
}

void ShardOwnership::tick()
{
    loopMonitor_.onTick(tickDueAt_, context_.now() - heartbeatSentAt_);
    tickDueAt_ = context_.now() + tickInterval;
    tickTimer_.start(tickInterval, [this] { tick(); });
    applyEvacuations();
    bool hasNewShards = false;
    bool isStoreBack = false;
    for (const auto& [shard, host] : hosts_) {
        isStoreBack = isStoreBack || host->confirmedAt() > membership_.end();
        const bool isNew = host->isServing() && shardOwners_[shard].node != context_.settings.node().name();
        hasNewShards = hasNewShards || isNew;
        host->tick();
    }
    if (hasNewShards)
        announceOwnership();
    // After an outage of the store, starts wait for a heartbeat.
    const bool isRenewalDue = isStoreBack && context_.now() - heartbeatSentAt_ > heartbeatRetryInterval;
    if (hasNewShards || isRenewalDue)
        heartbeat();
}

std::string ShardOwnership::ownerAddress(const std::string& shard) const
{
    if (hosts_.contains(shard))
        return {};
    const auto ownerInfo = shardOwners_.find(shard);
    if (ownerInfo == shardOwners_.end() || ownerInfo->second.node == context_.settings.node().name())
        return {};
    return ownerInfo->second.address;
}

Fleet::ShardChoice ShardOwnership::chooseShard(const FleetSchema::JobSpec& spec)
{
    return chooser_.choose(spec, members_.aliveNodes().size());
}

std::string ShardOwnership::findShardWithCapacity(const std::string& shard, const FleetSchema::JobSpec& spec,
    std::uint32_t step, Utils::Duration waited, std::span<const std::string> returnedBy)
{
    return delegationTargets_.find(shard, spec, step, waited, members_.aliveNodes().size(), returnedBy);
}

std::vector<Fleet::GangShare> ShardOwnership::divideGang(const std::string& shard,
    const FleetSchema::JobSpec& spec, std::uint32_t step, Utils::Duration waited,
    std::span<const std::string> returnedBy)
{
    return delegationTargets_.divide(shard, spec, step, waited, members_.aliveNodes().size(), returnedBy);
}

void ShardOwnership::callOwner(const FleetSchema::PeerRequest& request,
    std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler)
{
    const std::string address = ownerAddress(request.shard());
    if (!address.empty())
        return peerClient_.call(address, request, peerCallTimeout, std::move(handler));
    // Deferred, because the requesting shard may be in the middle of a scheduling pass.
    boost::asio::post(context_.io, [this, request, handler = std::move(handler)] {
        serve(request, [handler](const FleetSchema::PeerReply& reply) { handler(reply); });
    });
}

void ShardOwnership::callNode(const std::string& name, const FleetSchema::PeerRequest& request,
    std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler)
{
    FleetSchema::NodeRecord node;
    if (members_.lastRecord(name, node))
        return peerClient_.call(node.address(), request, peerCallTimeout, std::move(handler));
    boost::asio::post(context_.io, [name, handler = std::move(handler)] {
        handler(Utils::Error { Utils::ErrorCode::Unavailable, "peer.call", name, "the node is unknown" });
    });
}

std::uint64_t ShardOwnership::pendingJobs(const std::string& queue) const
{
    std::uint64_t sum = 0;
    for (const auto& [shard, ownerInfo] : shardOwners_) {
        const auto host = hosts_.find(shard);
        const bool isOwn = host != hosts_.end() && host->second->isServing();
        const FleetSchema::ShardLoad& load = isOwn ? host->second->load() : ownerInfo.load;
        const auto found = load.pending().find(queue);
        if (found != load.pending().end())
            sum += found->second;
    }
    return sum;
}

bool ShardOwnership::isStoreReachable() const
{
    const Utils::TimePoint answeredAt = std::max(heartbeatWrittenAt_, memberReader_.storeReadAt());
    return answeredAt != Utils::TimePoint {} && context_.now() - answeredAt < storeTimeout;
}

} // namespace FleetNode
