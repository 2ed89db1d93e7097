#include "ownership.h"

#include "utils/log/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval { 100 };
// All nodes of a first start have been seen by then.
constexpr milliseconds settleTime { 1800 };
// Without a successful read for so long the store counts as out of reach.
constexpr milliseconds storeSilence { 2500 };
// Time between handovers for balance, so that each is seen by all before the next is planned.
constexpr milliseconds handoverInterval { 2500 };
// After so many plans a live owner that does not list the shard counts as having dropped it.
constexpr int mostPostponements = 4;
constexpr milliseconds handoverTimeout { 1000 };

} // namespace

Ownership::Ownership(NodeContext& context, PeerLinks& peers, Fleet::TailLatencyModel& tailModel)
    : context_(context)
    , peers_(peers)
    , tailModel_(tailModel)
    , racks_(context)
    , members_(context.settings.node().name(), milliseconds(context.settings.dispatch().node_timeout_ms()))
    , startedAt_(context.now())
    , heartbeatTimer_(context.io)
    , tickTimer_(context.io)
{
}

Ownership::~Ownership() = default;

void Ownership::start()
{
    heartbeat();
    tickTimer_.start(tickInterval, [this] { tick(); });
}

FleetSchema::NodeRecord Ownership::record() const
{
    FleetSchema::NodeRecord record;
    record.set_name(context_.settings.node().name());
    record.set_address(context_.settings.endpoints().peers());
    record.set_domain(context_.settings.node().domain());
    record.set_region(context_.settings.node().region());
    record.set_incarnation(context_.incarnation);
    record.set_leaving(isLeaving_);
    record.set_configuration(revision_);
    record.set_processors(
        context_.settings.dispatch().processor_share() * context_.settings.dispatch().processors());
    for (const auto& [shard, host] : hosts_) {
        if (host->isServing())
            *record.add_shards() = host->load();
    }
    return record;
}

void Ownership::heartbeat()
{
    heartbeatTimer_.start(milliseconds(context_.settings.dispatch().heartbeat_ms()), [this] { heartbeat(); });
    const FleetSchema::NodeRecord own = record();
    members_.setSelf(own);
    // The row of a former incarnation tells what to reclaim, so it is read before it is replaced.
    if (!isReclaimed_)
        return readMembers();
    Ports::Transaction transaction;
    transaction.puts.push_back({ { nodeTable, {}, nodeKeyPrefix + own.name() }, own.SerializeAsString() });
    context_.store.commit(transaction,
        [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<Ports::TransactionOutcome>& result) {
            if (!weak.lock())
                return;
            if (!Utils::isOk(result))
                context_.metrics.add("geraniumquay_heartbeats_failed_total");
            readMembers();
        });
}

void Ownership::readMembers()
{
    Ports::RowRange range;
    range.table = nodeTable;
    context_.store.read(
        range, [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<Ports::RowPage>& result) {
            if (weak.lock())
                onMembers(result);
        });
}

void Ownership::onMembers(const Utils::Result<Ports::RowPage>& result)
{
    if (!Utils::isOk(result)) {
        if (!isStoreLost_)
            Utils::logError("store-lost", Utils::error(result));
        isStoreLost_ = true;
        return;
    }
    if (isStoreLost_)
        Utils::log(Utils::LogLevel::Info, "store-regained", {});
    isStoreLost_ = false;
    std::vector<Fleet::MemberRow> rows;
    for (const Ports::Row& row : Utils::value(result).rows) {
        if (row.name.key == rackMapKey) {
            if (racks_.setRow(row))
                passWorkers();
            continue;
        }
        Fleet::MemberRow member;
        member.version = row.version;
        if (member.record.ParseFromString(row.value))
            rows.push_back(std::move(member));
        else
            Utils::log(Utils::LogLevel::Error, "member-record-damaged", { { "node", row.name.key } });
    }
    membersReadAt_ = context_.now();
    members_.update(rows, membersReadAt_);
    noteHolders();
    if (!isReclaimed_)
        reclaim();
    plan();
}

void Ownership::reclaim()
{
    isReclaimed_ = true;
    FleetSchema::NodeRecord former;
    if (members_.lastRecord(context_.settings.node().name(), former)) {
        for (const FleetSchema::ShardLoad& load : former.shards())
            claim(load.shard());
    }
    heartbeat();
}

void Ownership::noteHolders()
{
    for (auto& [shard, holder] : members_.shardOwners())
        holders_[shard] = holder;
    chooser_.update(holders_);
}

std::vector<Fleet::ShardInfo> Ownership::shardPlaces() const
{
    std::map<std::string, std::string> owners;
    for (const auto& [shard, workers] : racks_.workersByShard())
        owners[shard];
    for (const auto& [shard, holder] : holders_)
        owners[shard];
    for (const auto& [shard, holder] : members_.shardOwners())
        owners[shard] = holder.node;
    for (const auto& [shard, host] : hosts_)
        owners[shard] = context_.settings.node().name();
    std::vector<Fleet::ShardInfo> places;
    places.reserve(owners.size());
    for (const auto& [shard, owner] : owners)
        places.push_back({ shard, racks_.domainOf(shard), owner });
    return places;
}

std::vector<Fleet::NodeInfo> Ownership::nodePlaces() const
{
    std::vector<Fleet::NodeInfo> places;
    for (const FleetSchema::NodeRecord* node : members_.aliveNodes())
        places.push_back(
            { node->name(), node->domain(), node->region(), node->leaving(), node->processors() });
    return places;
}

void Ownership::plan()
{
    for (const FleetSchema::NodeRecord* node : members_.aliveNodes())
        regionOfDomain_[node->domain()] = node->region();
    const std::string& self = context_.settings.node().name();
    if (isLeaving_ || context_.now() - startedAt_ < settleTime)
        return;
    if (isRackPlanner())
        racks_.extend();
    const std::vector<Fleet::ShardInfo> shards = shardPlaces();
    const std::vector<Fleet::NodeInfo> nodes = nodePlaces();
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

void Ownership::claim(const std::string& shard)
{
    if (hosts_.contains(shard) || claiming_.contains(shard))
        return;
    if (!needsWorkers()) {
        areWorkersCurrent_ = false;
        askForWorkers_();
    }
    claiming_.insert(shard);
    Ports::RowRange range;
    range.table = shardTable;
    range.partition = shard;
    context_.store.read(range,
        [this, weak = std::weak_ptr<bool>(alive_), shard](const Utils::Result<Ports::RowPage>& result) {
            if (weak.lock())
                onShardRow(shard, result);
        });
}

void Ownership::onShardRow(const std::string& shard, const Utils::Result<Ports::RowPage>& result)
{
    claiming_.erase(shard);
    if (!Utils::isOk(result)) {
        Utils::logError("shard-claim-failed", Utils::error(result));
        return;
    }
    FleetSchema::ShardRecord former;
    std::uint64_t version = 0;
    for (const Ports::Row& row : Utils::value(result).rows) {
        if (row.name.key != shardKey)
            continue;
        version = row.version;
        if (!former.ParseFromString(row.value))
            Utils::log(Utils::LogLevel::Error, "shard-record-damaged", { { "shard", shard } });
    }
    const bool hasLiveOwner = !former.owner().empty() && former.owner() != context_.settings.node().name()
        && members_.isAlive(former.owner());
    if (isLeaving_ || hosts_.contains(shard) || (hasLiveOwner && ++postponed_[shard] < mostPostponements))
        return;
    postponed_.erase(shard);
    auto host = std::make_unique<ShardHost>(
        context_, shard, static_cast<ShardNeighbours&>(*this), tailModel_, [this, shard] { onEnded(shard); });
    // By an old list a task may be started on a worker that has left.
    if (areWorkersCurrent_)
        host->setWorkers(racks_.workersOf(shard));
    host->takeOver(former, version);
    hosts_[shard] = std::move(host);
}

void Ownership::setWorkers(const std::vector<Ports::WorkerInfo>& workers)
{
    racks_.setWorkers(workers);
    areWorkersCurrent_ = true;
    passWorkers();
}

bool Ownership::needsWorkers() const
{
    return !hosts_.empty() || !claiming_.empty() || isRackPlanner();
}

// One node is enough to extend the map of racks.
bool Ownership::isRackPlanner() const
{
    const std::vector<const FleetSchema::NodeRecord*> alive = members_.aliveNodes();
    return alive.empty() || alive.front()->name() == context_.settings.node().name();
}

void Ownership::passWorkers()
{
    if (!areWorkersCurrent_)
        return;
    for (const auto& [shard, host] : hosts_)
        host->setWorkers(racks_.workersOf(shard));
}

void Ownership::release(const std::string& shard, const std::string& successor)
{
    const auto host = hosts_.find(shard);
    if (host == hosts_.end() || successors_.contains(shard))
        return;
    Utils::log(Utils::LogLevel::Info, "shard-handover", { { "shard", shard }, { "successor", successor } });
    successors_[shard] = successor;
    host->second->release();
}

void Ownership::onEnded(const std::string& shard)
{
    hosts_.erase(shard);
    const auto successor = successors_.find(shard);
    if (successor != successors_.end()) {
        handTo(shard, successor->second);
        successors_.erase(shard);
    }
    announce();
    if (isLeaving_ && hosts_.empty() && onLeft_) {
        const auto onLeft = std::move(onLeft_);
        onLeft_ = nullptr;
        onLeft();
    }
}

void Ownership::handTo(const std::string& shard, const std::string& successor)
{
    for (const FleetSchema::NodeRecord* node : members_.aliveNodes()) {
        if (node->name() != successor)
            continue;
        FleetSchema::PeerRequest request;
        request.set_shard(shard);
        *request.mutable_take_over() = record();
        peers_.call(node->address(), request, handoverTimeout,
            [shard](const Utils::Result<FleetSchema::PeerReply>& result) {
                // The shard is found without an owner at the next plan.
                if (!Utils::isOk(result))
                    Utils::logError("handover-unanswered", Utils::error(result));
            });
    }
}

// Tells the other nodes of a change of ownership without waiting for their next look at the store.
void Ownership::announce()
{
    const FleetSchema::NodeRecord own = record();
    members_.setSelf(own);
    noteHolders();
    FleetSchema::PeerRequest request;
    *request.mutable_heartbeat() = own;
    for (const FleetSchema::NodeRecord* node : members_.aliveNodes()) {
        if (node->name() != own.name())
            peers_.call(node->address(), request, handoverTimeout, [](const auto&) {});
    }
}

void Ownership::leave(std::function<void()> done)
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
    members_.setSelf(record());
    std::map<std::string, std::string> chosen;
    for (const Fleet::ShardAssignment& move :
        Fleet::planHandovers(context_.settings.node().name(), shardPlaces(), nodePlaces(), regionOfDomain_)) {
        chosen[move.shard] = move.node;
    }
    std::vector<std::string> shards;
    for (const auto& [shard, host] : hosts_)
        shards.push_back(shard);
    for (const std::string& shard : shards)
        release(shard, chosen[shard]);
}

void Ownership::tick()
{
    tickTimer_.start(tickInterval, [this] { tick(); });
    bool isChanged = false;
    for (const auto& [shard, host] : hosts_) {
        const bool isNew = host->isServing() && holders_[shard].node != context_.settings.node().name();
        isChanged = isChanged || isNew;
        host->tick();
    }
    if (isChanged) {
        announce();
        heartbeat();
    }
}

std::string Ownership::ownerAddress(const std::string& shard) const
{
    if (hosts_.contains(shard))
        return {};
    const auto holder = holders_.find(shard);
    if (holder == holders_.end() || holder->second.node == context_.settings.node().name())
        return {};
    return holder->second.address;
}

Fleet::ShardChoice Ownership::chooseShard(const FleetSchema::JobSpec& spec)
{
    return chooser_.choose(spec, members_.aliveNodes().size());
}

std::string Ownership::findShardWithRoom(
    const std::string& shard, const FleetSchema::JobSpec& spec, std::uint32_t step)
{
    return chooser_.chooseForTask(shard, spec, step);
}

void Ownership::callOwner(const FleetSchema::PeerRequest& request,
    std::function<void(const Utils::Result<FleetSchema::PeerReply>&)> handler)
{
    const std::string address = ownerAddress(request.shard());
    if (!address.empty())
        return peers_.call(address, request, handoverTimeout, std::move(handler));
    // Not from inside the call: the asking shard may be in the middle of a decision.
    boost::asio::post(context_.io, [this, request, handler = std::move(handler)] {
        serve(request, [handler](const FleetSchema::PeerReply& reply) { handler(reply); });
    });
}

std::uint64_t Ownership::pending(const std::string& queue) const
{
    std::uint64_t sum = 0;
    for (const auto& [shard, holder] : holders_) {
        const auto host = hosts_.find(shard);
        const bool isOwn = host != hosts_.end() && host->second->isServing();
        const FleetSchema::ShardLoad load = isOwn ? host->second->load() : holder.load;
        const auto found = load.pending().find(queue);
        if (found != load.pending().end())
            sum += found->second;
    }
    return sum;
}

bool Ownership::isStoreReachable() const
{
    return membersReadAt_ != Utils::TimePoint {} && context_.now() - membersReadAt_ < storeSilence;
}

void Ownership::serve(
    const FleetSchema::PeerRequest& request, std::function<void(const FleetSchema::PeerReply&)> handler)
{
    if (request.has_heartbeat() || request.has_take_over()) {
        if (request.has_take_over())
            claim(request.shard());
        else
            members_.updateRecord(request.heartbeat());
        noteHolders();
        return handler({});
    }
    const auto host = hosts_.find(request.shard());
    if (host == hosts_.end() || !host->second->isServing()) {
        FleetSchema::PeerReply reply;
        reply.set_outcome(FleetSchema::PEER_NOT_OWNER);
        return handler(reply);
    }
    serveOwn(*host->second, request, handler);
}

void Ownership::serveOwn(ShardHost& host, const FleetSchema::PeerRequest& request,
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
            return host.adopt(request.adopt(), onAnswer);
        if (fault.empty())
            return host.cancelPart(request.cancel_part(), onAnswer);
        Utils::log(Utils::LogLevel::Error, "lent-task-damaged", { { "fault", fault } });
        return onAnswer({ FleetSchema::PEER_UNDECIDED, FleetSchema::JOB_QUEUED, 0 });
    }
    if (request.has_cancel())
        return host.cancel(request.cancel(), onAnswer);
    FleetSchema::PeerReply reply;
    const auto state = host.state(request.query());
    reply.set_outcome(state ? FleetSchema::PEER_OK : FleetSchema::PEER_UNKNOWN_JOB);
    reply.set_state(state.value_or(FleetSchema::JOB_QUEUED));
    handler(reply);
}

} // namespace FleetNode
