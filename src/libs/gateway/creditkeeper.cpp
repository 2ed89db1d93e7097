#include "creditkeeper.h"

#include "platform/tableservice.h"
#include "requests/vmremovaldetector.h"
#include "utils/identifiers.h"
#include "utils/log/log.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Gateway {

namespace {

constexpr Utils::Duration memberSilence
    = std::chrono::seconds(2); // Then a peer gets no share in a new division.

constexpr Utils::Duration goneAfter = std::chrono::seconds(10); // Missing from the VM list and silent.

Utils::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

struct Heard {
    Schema::CreditReport report;
    Utils::TimePoint at {};
};

struct ServiceState {
    explicit ServiceState(Requests::CreditHolder creditHolder)
        : holder(std::move(creditHolder))
    {
    }

    Requests::CreditHolder holder;
    std::map<std::string, Heard> peers;
    std::uint32_t demand = 1;
};

} // namespace

class CreditKeeper::Private {
public:
    Private(ServiceGateway& serviceGateway, EntryPlace entryPlace, std::uint64_t start)
        : gateway(serviceGateway)
        , place(std::move(entryPlace))
        , incarnation(start)
    {
    }

    ServiceState& state(const std::string& service);
    void read(Platform::TableService& table, const std::string& service);
    std::vector<Schema::CreditMember> liveMembers(const ServiceState& state) const;
    void propose(Platform::TableService& table, const std::string& service, const Schema::Row& row);
    bool apply(const std::string& service);
    std::string rowName(const std::string& service) const
    {
        return "credits/" + service + "/" + place.domain;
    }

    ServiceGateway& gateway;
    EntryPlace place;
    std::uint64_t incarnation;
    mutable std::mutex mutex;
    std::map<std::string, ServiceState> services;
    Requests::VmRemovalDetector absence { goneAfter };
};

ServiceState& CreditKeeper::Private::state(const std::string& service)
{
    const auto found = services.find(service);
    if (found != services.end())
        return found->second;
    return services.emplace(service, ServiceState(Requests::CreditHolder(place.name, incarnation, {})))
        .first->second;
}

void CreditKeeper::Private::read(Platform::TableService& table, const std::string& service)
{
    const Utils::TimePoint sent = now();
    const auto row = table.get(rowName(service));
    if (!Utils::isOk(row)) {
        Utils::logError("credits-read-failed", Utils::error(row));
        return;
    }
    Schema::CreditDivisions divisions;
    if (!divisions.ParseFromString(Utils::value(row).value()))
        return;
    {
        const std::lock_guard<std::mutex> guard(mutex);
        state(service).holder.onDivisionsRead(divisions, sent, now());
    }
    propose(table, service, Utils::value(row));
}

std::vector<Schema::CreditMember> CreditKeeper::Private::liveMembers(const ServiceState& state) const
{
    std::vector<Schema::CreditMember> members(1);
    members[0].set_name(place.name);
    members[0].set_incarnation(incarnation);
    members[0].set_weight(state.demand);
    for (const auto& [name, heard] : state.peers) {
        if (heard.at + memberSilence < now())
            continue;
        Schema::CreditMember& member = members.emplace_back();
        member.set_name(name);
        member.set_incarnation(heard.report.incarnation());
        member.set_weight(heard.report.demand());
    }
    return members;
}

// A lost answer needs no care: the next read shows what stands.
void CreditKeeper::Private::propose(
    Platform::TableService& table, const std::string& service, const Schema::Row& row)
{
    std::optional<Schema::CreditDivisions> proposal;
    {
        const std::lock_guard<std::mutex> guard(mutex);
        const ServiceState& one = state(service);
        proposal = one.holder.proposeDivisions(liveMembers(one), now());
    }
    if (!proposal)
        return;
    Schema::CommitRequest request;
    request.set_write_id(Utils::makeUniqueId());
    Schema::RowCondition* condition = request.add_conditions();
    condition->set_key(rowName(service));
    condition->set_version(row.version());
    Schema::RowPut* put = request.add_puts();
    put->set_key(rowName(service));
    put->set_value(proposal->SerializeAsString());
    const auto reply = table.commit(request);
    if (!Utils::isOk(reply) || !Utils::value(reply).committed())
        return;
    Utils::log(Utils::LogLevel::Info, "credits-divided",
        { { "service", service }, { "epoch", std::to_string(proposal->current().epoch()) },
            { "members", std::to_string(proposal->current().members_size()) } });
}

bool CreditKeeper::Private::apply(const std::string& service)
{
    const auto backends = gateway.ownBackends(service);
    std::map<std::string, std::uint32_t> shares;
    Utils::TimePoint expiry;
    std::uint64_t epoch = 0;
    {
        const std::lock_guard<std::mutex> guard(mutex);
        const Requests::CreditHolder& holder = state(service).holder;
        expiry = holder.expiry();
        epoch = holder.adoptedEpoch();
        for (const Requests::Backend& backend : backends)
            shares[backend.name] = holder.share(backend.name, backend.slots, now());
    }
    for (const auto& [backend, share] : shares)
        gateway.setCredits(service, backend, share, expiry);
    const Requests::RequestCounters counters = gateway.counters(service);
    const bool withinShares = std::ranges::all_of(counters.backends, [&](const auto& item) {
        const auto share = shares.find(item.first);
        return share == shares.end() || item.second.running <= share->second;
    });
    std::uint32_t demand = 1;
    for (const auto& [name, one] : counters.classes)
        demand += one.running + one.queued;
    const std::lock_guard<std::mutex> guard(mutex);
    ServiceState& one = state(service);
    one.demand = (3 * one.demand + demand) / 4 + 1;
    if (epoch == one.holder.adoptedEpoch())
        one.holder.setWithinShares(withinShares);
    const bool holdsSlots = std::ranges::any_of(shares, [](const auto& item) { return item.second > 0; });
    return one.holder.adoptedEpoch() > 0 && (shares.empty() || holdsSlots);
}

CreditKeeper::CreditKeeper(ServiceGateway& gateway, EntryPlace place, std::uint64_t incarnation)
    : d_(std::make_unique<Private>(gateway, std::move(place), incarnation))
{
}

CreditKeeper::~CreditKeeper() = default;

void CreditKeeper::readTable(Platform::TableService& table)
{
    for (const std::string& service : d_->gateway.services())
        d_->read(table, service);
}

bool CreditKeeper::apply()
{
    bool complete = true;
    for (const std::string& service : d_->gateway.services())
        complete = d_->apply(service) && complete;
    return complete;
}

Schema::CreditReports CreditKeeper::reports() const
{
    const std::lock_guard<std::mutex> guard(d_->mutex);
    Schema::CreditReports reports;
    for (const auto& [service, state] : d_->services) {
        Schema::CreditReport& report = *reports.add_reports();
        report.set_service(service);
        report.set_domain(d_->place.domain);
        report.set_name(d_->place.name);
        report.set_incarnation(d_->incarnation);
        report.set_adopted_epoch(state.holder.adoptedEpoch());
        report.set_settled_epoch(state.holder.settledEpoch());
        report.set_demand(state.demand);
    }
    return reports;
}

void CreditKeeper::take(const Schema::CreditReports& reports, Utils::TimePoint asked)
{
    const std::lock_guard<std::mutex> guard(d_->mutex);
    for (const Schema::CreditReport& report : reports.reports()) {
        const auto found = d_->services.find(report.service());
        if (found == d_->services.end() || report.domain() != d_->place.domain
            || report.name() == d_->place.name)
            continue;
        found->second.holder.onPeerReport(report, asked, now());
        d_->absence.onContact(report.name(), now());
        Heard& heard = found->second.peers[report.name()];
        if (report.incarnation() >= heard.report.incarnation())
            heard = { report, now() };
    }
}

void CreditKeeper::vmsListed(const std::set<std::string>& entryNames)
{
    const std::lock_guard<std::mutex> guard(d_->mutex);
    d_->absence.onVmList(entryNames);
    for (auto& [service, state] : d_->services) {
        for (const std::string& name : d_->absence.removedVms(state.holder.otherMembers(), now()))
            state.holder.onVmRemoved(name, now());
    }
}

} // namespace Gateway
