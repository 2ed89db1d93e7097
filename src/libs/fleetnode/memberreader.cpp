#include "memberreader.h"

#include "fleet/relaychoice.h"
#include "utils/log/log.h"

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Added to the interval of the relay's reads, after which it answers. A read that follows a missed answer
// then comes soon enough not to count as an interruption of the view.
constexpr milliseconds relayTimeoutMargin { 350 };
// Time for which a node reads the rows itself after a relay did not answer. Trying other relays at once would
// leave it without a view if several nodes were lost together.
constexpr milliseconds relayAvoidance { 5000 };

} // namespace

MemberReader::MemberReader(
    NodeContext& context, Fleet::MemberView& members, PeerCaller callPeer, Events events)
    : context_(context)
    , members_(members)
    , callPeer_(std::move(callPeer))
    , events_(std::move(events))
{
}

void MemberReader::read(bool mayUseRelay)
{
    mayUseRelay_ = mayUseRelay;
    if (isReading_)
        return;
    isReading_ = true;
    if (!askRelay())
        readStore();
}

void MemberReader::readStore()
{
    readsStore_ = true;
    rows_.clear();
    readPage({});
}

void MemberReader::readPage(const std::string& from)
{
    Ports::RowRange range;
    range.table = nodeTable;
    range.from = from;
    context_.store.read(
        range, [this, weak = std::weak_ptr<bool>(alive_), from](const Utils::Result<Ports::RowPage>& result) {
            if (weak.lock())
                onPage(from, result);
        });
}

void MemberReader::onPage(const std::string& from, const Utils::Result<Ports::RowPage>& result)
{
    if (!Utils::isOk(result))
        return onReadFailed(Utils::error(result));
    const Ports::RowPage& page = Utils::value(result);
    if (page.hasMore && (page.rows.empty() || page.rows.back().name.key < from)) {
        return onReadFailed({ Utils::ErrorCode::InvalidArgument, "members.read", {},
            "the page does not lead to the next one" });
    }
    // A row may change between two pages, so only the version of the first page holds for all of them.
    if (rows_.empty())
        storeVersion_ = page.version;
    rows_.insert(rows_.end(), page.rows.begin(), page.rows.end());
    if (page.hasMore)
        return readPage(page.rows.back().name.key + '\0');
    onRows();
}

void MemberReader::onReadFailed(const Utils::Error& error)
{
    isReading_ = false;
    answerWaiting(false);
    events_.onFailed(error);
}

void MemberReader::onRows()
{
    isReading_ = false;
    std::vector<Fleet::MemberRow> rows;
    for (const Ports::Row& row : rows_) {
        if (row.name.key == rackMapKey) {
            rackMap_ = row;
            continue;
        }
        Fleet::MemberRow member;
        member.version = row.version;
        if (member.record.ParseFromString(row.value))
            rows.push_back(std::move(member));
        else
            Utils::log(Utils::LogLevel::Error, "member-record-damaged", { { "node", row.name.key } });
    }
    storeReadAt_ = context_.now();
    rows_.clear();
    members_.update(rows, storeReadAt_, storeVersion_);
    answerWaiting(true);
    if (rackMap_.version > 0)
        events_.onRackMap(rackMap_);
    events_.onUpdated();
}

bool MemberReader::askRelay()
{
    if (!mayUseRelay_ || context_.now() < relaysAvoidedUntil_)
        return false;
    const std::vector<const FleetSchema::NodeRecord*> alive = members_.aliveNodes();
    const FleetSchema::NodeRecord* const relay = Fleet::chooseRelay(members_.self(), alive);
    if (!relay)
        return false;
    readsStore_ = false;
    answerWaiting(false);
    FleetSchema::PeerRequest request;
    FleetSchema::MembersRequest& members = *request.mutable_members();
    members.set_relay(members_.relayedView().relay);
    members.set_revision(members_.relayedView().revision);
    members.set_map_version(rackMap_.version);
    const Utils::Duration timeout
        = milliseconds(context_.settings.dispatch().heartbeat_ms()) + relayTimeoutMargin;
    callPeer_(relay->address(), request, timeout,
        [this, weak = std::weak_ptr<bool>(alive_), name = relay->name()](
            const Utils::Result<FleetSchema::PeerReply>& result) {
            if (weak.lock())
                onRelayReply(name, result);
        });
    return true;
}

void MemberReader::onRelayReply(const std::string& relay, const Utils::Result<FleetSchema::PeerReply>& result)
{
    if (Utils::isOk(result) && applyReply(Utils::value(result).members())) {
        // The relay answers after its next read. Otherwise the next read follows the next heartbeat.
        isReading_ = askRelay();
        return events_.onUpdated();
    }
    context_.metrics.add("geraniumquay_member_relay_failures_total");
    Utils::log(Utils::LogLevel::Warning, "member-relay-lost",
        { { "relay", relay },
            { "error", Utils::isOk(result) ? "no usable answer" : Utils::error(result).toString() } });
    relaysAvoidedUntil_ = context_.now() + relayAvoidance;
    readStore();
}

bool MemberReader::applyReply(const FleetSchema::MembersReply& reply)
{
    // A relay that was paused before it answered may send an old view.
    const milliseconds maxAge(context_.settings.dispatch().heartbeat_ms());
    if (milliseconds(reply.age_ms()) > maxAge || !members_.applyRelayed(reply, context_.now()))
        return false;
    context_.metrics.add("geraniumquay_member_relay_replies_total");
    if (!reply.rack_map().empty()) {
        rackMap_.value = reply.rack_map();
        rackMap_.version = reply.map_version();
        events_.onRackMap(rackMap_);
    }
    return true;
}

void MemberReader::serve(const FleetSchema::MembersRequest& request,
    const std::function<void(const FleetSchema::PeerReply&)>& handler)
{
    // Two nodes that use each other as a relay would wait for each other.
    if (!readsStore_)
        return handler({});
    waitingRequests_.push_back({ request, handler });
}

void MemberReader::answerWaiting(bool hasRead)
{
    const std::vector<WaitingRequest> requests = std::exchange(waitingRequests_, {});
    for (const WaitingRequest& waiting : requests)
        waiting.handler(hasRead ? makeReply(waiting.request) : FleetSchema::PeerReply());
}

FleetSchema::PeerReply MemberReader::makeReply(const FleetSchema::MembersRequest& request) const
{
    FleetSchema::PeerReply reply;
    FleetSchema::MembersReply& members = *reply.mutable_members();
    members = members_.changesSince(request.relay() == context_.incarnation ? request.revision() : 0);
    members.set_relay(context_.incarnation);
    members.set_age_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(context_.now() - storeReadAt_).count()));
    if (request.map_version() < rackMap_.version) {
        members.set_rack_map(rackMap_.value);
        members.set_map_version(rackMap_.version);
    }
    return reply;
}

} // namespace FleetNode
