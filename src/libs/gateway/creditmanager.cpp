#include "creditmanager.h"

#include "platform/tableservice.h"
#include "requests/vmremovaldetector.h"
#include "utils/identifiers.h"
#include "utils/log/log.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Gateway {

namespace {

constexpr Utils::Duration peerTimeout
    = std::chrono::seconds(2); // A peer unresponsive for longer gets no share in new divisions.

constexpr Utils::Duration absenceTimeout
    = std::chrono::seconds(10); // A VM unresponsive and off the VM list for longer is considered removed.

Utils::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

struct PeerReport {
    Schema::CreditReport report;
    Utils::TimePoint receivedAt {};
};

struct ServiceState {
    explicit ServiceState(Requests::CreditHolder creditHolder)
        : holder(std::move(creditHolder))
    {
    }

    Requests::CreditHolder holder;
    std::map<std::string, PeerReport> peers;
    std::uint32_t demand = 1;
};

} // namespace

class CreditManager::Private {
public:
    Private(ServiceGateway& serviceGateway, EntryVmIdentity entryVmIdentity, std::uint64_t processIncarnation)
        : gateway(serviceGateway)
        , identity(std::move(entryVmIdentity))
        , incarnation(processIncarnation)
    {
    }

    ServiceState& stateOf(const std::string& service);
    void readDivisions(Platform::TableService& table, const std::string& service);
    std::vector<Schema::CreditMember> liveMembers(const ServiceState& state) const;
    void propose(Platform::TableService& table, const std::string& service, const Schema::Row& row);
    bool applyShares(const std::string& service);
    std::string rowKey(const std::string& service) const
    {
        return "credits/" + service + "/" + identity.domain;
    }

    ServiceGateway& gateway;
    EntryVmIdentity identity;
    std::uint64_t incarnation;
    mutable std::mutex mutex;
    std::map<std::string, ServiceState> services;
    Requests::VmRemovalDetector absence { absenceTimeout };
};

ServiceState& CreditManager::Private::stateOf(const std::string& service)
{
    const auto found = services.find(service);
    if (found != services.end())
        return found->second;
    return services.emplace(service, ServiceState(Requests::CreditHolder(identity.name, incarnation, {})))
        .first->second;
}

void CreditManager::Private::readDivisions(Platform::TableService& table, const std::string& service)
{
    const Utils::TimePoint requestTime = now();
    const auto row = table.get(rowKey(service));
    if (!Utils::isOk(row)) {
        Utils::logError("credits-read-failed", Utils::error(row));
        return;
    }
    Schema::CreditDivisions divisions;
    if (!divisions.ParseFromString(Utils::value(row).value()))
        return;
    {
        const std::lock_guard<std::mutex> guard(mutex);
        stateOf(service).holder.onDivisionsRead(divisions, requestTime, now());
    }
    propose(table, service, Utils::value(row));
}

std::vector<Schema::CreditMember> CreditManager::Private::liveMembers(const ServiceState& state) const
{
    std::vector<Schema::CreditMember> members(1);
    members[0].set_name(identity.name);
    members[0].set_incarnation(incarnation);
    members[0].set_weight(state.demand);
    for (const auto& [name, peerReport] : state.peers) {
        if (peerReport.receivedAt + peerTimeout < now())
            continue;
        Schema::CreditMember& member = members.emplace_back();
        member.set_name(name);
        member.set_incarnation(peerReport.report.incarnation());
        member.set_weight(peerReport.report.demand());
    }
    return members;
}

// Does not retry a commit whose reply is lost: the next read shows whether the proposal was committed.
void CreditManager::Private::propose(
    Platform::TableService& table, const std::string& service, const Schema::Row& row)
{
    std::optional<Schema::CreditDivisions> proposal;
    {
        const std::lock_guard<std::mutex> guard(mutex);
        const ServiceState& state = stateOf(service);
        proposal = state.holder.proposeDivisions(liveMembers(state), now());
    }
    if (!proposal)
        return;
    Schema::CommitRequest request;
    request.set_write_id(Utils::makeUniqueId());
    Schema::RowCondition* condition = request.add_conditions();
    condition->set_key(rowKey(service));
    condition->set_version(row.version());
    Schema::RowPut* put = request.add_puts();
    put->set_key(rowKey(service));
    put->set_value(proposal->SerializeAsString());
    const auto reply = table.commit(request);
    if (!Utils::isOk(reply) || !Utils::value(reply).committed())
        return;
    Utils::log(Utils::LogLevel::Info, "credits-divided",
        { { "service", service }, { "epoch", std::to_string(proposal->current().epoch()) },
            { "members", std::to_string(proposal->current().members_size()) } });
}

bool CreditManager::Private::applyShares(const std::string& service)
{
    const auto backends = gateway.localBackends(service);
    std::map<std::string, std::uint32_t> shares;
    Utils::TimePoint expiry;
    std::uint64_t epoch = 0;
    {
        const std::lock_guard<std::mutex> guard(mutex);
        const Requests::CreditHolder& holder = stateOf(service).holder;
        expiry = holder.expiry();
        epoch = holder.adoptedEpoch();
        for (const Requests::Backend& backend : backends)
            shares[backend.name] = holder.share(backend.name, backend.slots, now());
    }
    for (const auto& [backend, share] : shares)
        gateway.setCredits(service, backend, share, expiry);
    const Requests::RequestCounters counters = gateway.counters(service);
    const bool withinShares = std::ranges::all_of(counters.backends, [&](const auto& entry) {
        const auto share = shares.find(entry.first);
        return share == shares.end() || entry.second.running <= share->second;
    });
    std::uint32_t demand = 1;
    for (const auto& [name, classCounters] : counters.classes)
        demand += classCounters.running + classCounters.queued;
    const std::lock_guard<std::mutex> guard(mutex);
    ServiceState& state = stateOf(service);
    state.demand = (3 * state.demand + demand) / 4 + 1;
    if (epoch == state.holder.adoptedEpoch())
        state.holder.setWithinShares(withinShares);
    const bool holdsSlots = std::ranges::any_of(shares, [](const auto& entry) { return entry.second > 0; });
    return state.holder.adoptedEpoch() > 0 && (shares.empty() || holdsSlots);
}

CreditManager::CreditManager(ServiceGateway& gateway, EntryVmIdentity identity, std::uint64_t incarnation)
    : d_(std::make_unique<Private>(gateway, std::move(identity), incarnation))
{
}

CreditManager::~CreditManager() = default;

void CreditManager::synchronize(Platform::TableService& table)
{
    for (const std::string& service : d_->gateway.services())
        d_->readDivisions(table, service);
}

bool CreditManager::applyShares()
{
    bool complete = true;
    for (const std::string& service : d_->gateway.services())
        complete = d_->applyShares(service) && complete;
    return complete;
}

Schema::CreditReports CreditManager::reports() const
{
    const std::lock_guard<std::mutex> guard(d_->mutex);
    Schema::CreditReports reports;
    for (const auto& [service, state] : d_->services) {
        Schema::CreditReport& report = *reports.add_reports();
        report.set_service(service);
        report.set_domain(d_->identity.domain);
        report.set_name(d_->identity.name);
        report.set_incarnation(d_->incarnation);
        report.set_adopted_epoch(state.holder.adoptedEpoch());
        report.set_settled_epoch(state.holder.settledEpoch());
        report.set_demand(state.demand);
    }
    return reports;
}

void CreditManager::handlePeerReports(const Schema::CreditReports& reports, Utils::TimePoint requestTime)
{
    const std::lock_guard<std::mutex> guard(d_->mutex);
    for (const Schema::CreditReport& report : reports.reports()) {
        const auto found = d_->services.find(report.service());
        if (found == d_->services.end() || report.domain() != d_->identity.domain
            || report.name() == d_->identity.name)
            continue;
        found->second.holder.onPeerReport(report, requestTime, now());
        d_->absence.onContact(report.name(), now());
        PeerReport& peerReport = found->second.peers[report.name()];
        if (report.incarnation() >= peerReport.report.incarnation())
            peerReport = { report, now() };
    }
}

void CreditManager::handleVmList(const std::set<std::string>& entryNames)
{
    const std::lock_guard<std::mutex> guard(d_->mutex);
    d_->absence.onVmList(entryNames);
    for (auto& [service, state] : d_->services) {
        for (const std::string& name : d_->absence.removedVms(state.holder.otherMembers(), now()))
            state.holder.onVmRemoved(name, now());
    }
}

} // namespace Gateway
