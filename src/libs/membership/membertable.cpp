#include "membertable.h"

#include "memberstates.h"

#include <algorithm>
#include <limits>

namespace Membership {

using Internal::MemberEntry;
using Internal::MemberStates;

namespace {

constexpr int maxChangesPerView = 64;
constexpr std::size_t maxSeedsPerHeartbeat = 4;
constexpr double jitter = 0.1;

struct Seed {
    std::string address;
    std::uint32_t port = 0;

    bool operator==(const Seed&) const = default;
};

std::uint32_t ageMs(Utils::TimePoint contactedAt, Utils::TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - contactedAt).count();
    constexpr std::int64_t maxAgeMs = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, maxAgeMs));
}

} // namespace

struct MemberTable::Private {
    Private(const Schema::Member& selfMember, const MembershipOptions& tableOptions,
        std::mt19937_64& randomSource, Utils::TimePoint now)
        : self(selfMember)
        , options(tableOptions)
        , random(randomSource)
        , states(selfMember.name(), selfMember.domain(), tableOptions)
        , beat(selfMember.incarnation())
        , lastCallAt(now)
        , nextHeartbeat(now)
    {
        self.set_state(Schema::MEMBER_ALIVE);
    }

    Utils::Duration withJitter(Utils::Duration duration)
    {
        std::uniform_real_distribution<double> spread(1.0 - jitter, 1.0 + jitter);
        return std::chrono::duration_cast<Utils::Duration>(duration * spread(random));
    }

    std::size_t randomIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }

    bool isPeer(const MemberEntry& entry) const
    {
        return MemberStates::isActive(entry) && entry.member.domain() == self.domain();
    }

    void detectPause(Utils::TimePoint now);
    void readmit(std::uint64_t incarnation);
    std::uint64_t lowestRevision() const;
    void mergeView(const Schema::PeerView& received, Utils::TimePoint now);
    void handleReportAboutSelf(const Schema::Member& reported);
    Schema::PeerView makeView(Utils::TimePoint now, bool withSummaries) const;
    void addChanges(Schema::PeerView& view, Utils::TimePoint now) const;
    void addDomainMembers(Schema::PeerView& view, std::string_view domain, Utils::TimePoint now) const;
    Schema::DomainSummary ownDomainSummary() const;
    Schema::Member memberForPeers(const MemberEntry& entry, Utils::TimePoint now) const;
    Exchange makeExchange(const Schema::Member& member, Utils::TimePoint now, bool withSummaries) const;
    void addDomainPeerExchanges(std::vector<Exchange>& exchanges, Utils::TimePoint now);
    void addHeartbeatExchanges(std::vector<Exchange>& exchanges, Utils::TimePoint now);
    void addRemoteExchanges(std::vector<Exchange>& exchanges, Utils::TimePoint now);
    void addSeedExchanges(std::vector<Exchange>& exchanges, Utils::TimePoint now);
    std::vector<const MemberEntry*> entriesWhere(
        bool (*condition)(const MemberEntry&), std::string_view domain) const;

    Schema::Member self;
    MembershipOptions options;
    std::mt19937_64& random;
    MemberStates states;
    std::uint64_t beat;
    std::vector<Seed> seeds;
    std::vector<std::string> remainingDomains; // Domains still to contact before all are contacted again.
    std::vector<MemberEvent> events;
    Utils::TimePoint lastCallAt;
    Utils::TimePoint nextHeartbeat;
    std::size_t remainingSummaries = 0;
};

// After a pause of at least suspectAfter, peers may have removed this process without its knowledge, so it
// continues with a higher incarnation.
void MemberTable::Private::detectPause(Utils::TimePoint now)
{
    if (now - lastCallAt >= options.suspectAfter) {
        readmit(self.incarnation() + 1);
        states.resetContactTimes(now);
    }
    lastCallAt = now;
}

void MemberTable::Private::readmit(std::uint64_t incarnation)
{
    self.set_incarnation(incarnation);
    events.push_back({ MemberChange::Readmitted, self });
}

std::uint64_t MemberTable::Private::lowestRevision() const
{
    std::uint64_t lowest = self.configuration_revision();
    for (const auto& [name, entry] : states.entries()) {
        if (isPeer(entry))
            lowest = std::min(lowest, entry.member.configuration_revision());
    }
    return lowest;
}

void MemberTable::Private::handleReportAboutSelf(const Schema::Member& reported)
{
    if (self.state() == Schema::MEMBER_LEFT || reported.incarnation() < self.incarnation())
        return;
    const bool removed = reported.state() == Schema::MEMBER_DEAD || reported.state() == Schema::MEMBER_LEFT;
    if (removed || reported.incarnation() > self.incarnation())
        readmit(reported.incarnation() + 1);
}

void MemberTable::Private::mergeView(const Schema::PeerView& received, Utils::TimePoint now)
{
    if (received.sender().name() != self.name())
        states.mergeSender(received.sender(), now, events);
    for (const Schema::Member& member : received.members()) {
        if (member.name() == self.name())
            handleReportAboutSelf(member);
        else if (member.name() != received.sender().name())
            states.merge(member, now, events);
    }
    for (const Schema::DomainSummary& summary : received.domains()) {
        if (summary.domain() == self.domain())
            beat = std::max(beat, summary.beat());
        else
            states.mergeDomain(summary, now, events);
    }
}

Schema::Member MemberTable::Private::memberForPeers(const MemberEntry& entry, Utils::TimePoint now) const
{
    Schema::Member member = entry.member;
    // Only direct contact is evidence; forwarding reports of peers would make a dead member look alive.
    member.set_age_ms(ageMs(entry.lastDirectContact, now));
    return member;
}

void MemberTable::Private::addChanges(Schema::PeerView& view, Utils::TimePoint now) const
{
    for (const auto& [name, entry] : states.entries()) {
        if (view.members_size() >= maxChangesPerView)
            return;
        if (now - entry.changedAt < options.spreadDuration || states.isSuspect(entry, now))
            *view.add_members() = memberForPeers(entry, now);
    }
}

void MemberTable::Private::addDomainMembers(
    Schema::PeerView& view, std::string_view domain, Utils::TimePoint now) const
{
    for (const auto& [name, entry] : states.entries()) {
        if (entry.member.domain() == domain)
            *view.add_members() = memberForPeers(entry, now);
    }
}

Schema::DomainSummary MemberTable::Private::ownDomainSummary() const
{
    Schema::DomainSummary own;
    own.set_domain(self.domain());
    own.set_beat(beat);
    own.set_lowest_revision(lowestRevision());
    return own;
}

Schema::PeerView MemberTable::Private::makeView(Utils::TimePoint now, bool withSummaries) const
{
    Schema::PeerView view;
    *view.mutable_sender() = self;
    addChanges(view, now);
    if (!withSummaries)
        return view;
    auto hashes = states.memberHashes(self);
    *view.add_domains() = ownDomainSummary();
    view.mutable_domains(0)->set_members_hash(hashes[self.domain()]);
    for (const auto& [name, domain] : states.domains()) {
        Schema::DomainSummary* summary = view.add_domains();
        summary->set_domain(name);
        summary->set_beat(domain.beat);
        summary->set_members_hash(hashes[name]);
        summary->set_lowest_revision(domain.lowestRevision);
    }
    return view;
}

Exchange MemberTable::Private::makeExchange(
    const Schema::Member& member, Utils::TimePoint now, bool withSummaries) const
{
    return { member.name(), member.address(), member.port(), makeView(now, withSummaries) };
}

void MemberTable::Private::addDomainPeerExchanges(std::vector<Exchange>& exchanges, Utils::TimePoint now)
{
    for (auto& [name, entry] : states.entries()) {
        if (!isPeer(entry))
            continue;
        const bool probeDue
            = states.isSuspect(entry, now) && now - entry.lastExchangeStartedAt >= options.probeInterval;
        if (!probeDue && now < entry.nextExchangeAt)
            continue;
        entry.nextExchangeAt = now + withJitter(options.heartbeatInterval);
        entry.lastExchangeStartedAt = now;
        const bool withSummaries = remainingSummaries > 0;
        remainingSummaries -= withSummaries ? 1 : 0;
        exchanges.push_back(makeExchange(entry.member, now, withSummaries));
    }
}

std::vector<const MemberEntry*> MemberTable::Private::entriesWhere(
    bool (*condition)(const MemberEntry&), std::string_view domain) const
{
    std::vector<const MemberEntry*> found;
    for (const auto& [name, entry] : states.entries()) {
        if (entry.member.domain() == domain && condition(entry))
            found.push_back(&entry);
    }
    return found;
}

void MemberTable::Private::addRemoteExchanges(std::vector<Exchange>& exchanges, Utils::TimePoint now)
{
    if (remainingDomains.empty()) {
        for (const auto& [name, domain] : states.domains())
            remainingDomains.push_back(name);
        std::shuffle(remainingDomains.begin(), remainingDomains.end(), random);
    }
    for (std::size_t i = 0; i < options.remotePeersPerHeartbeat && !remainingDomains.empty(); ++i) {
        const auto candidates = entriesWhere(&MemberStates::isActive, remainingDomains.back());
        remainingDomains.pop_back();
        if (!candidates.empty())
            exchanges.push_back(makeExchange(candidates[randomIndex(candidates.size())]->member, now, true));
    }
}

void MemberTable::Private::addSeedExchanges(std::vector<Exchange>& exchanges, Utils::TimePoint now)
{
    std::vector<const Seed*> unknown;
    for (const Seed& seed : seeds) {
        const bool isKnown
            = std::any_of(states.entries().begin(), states.entries().end(), [&](const auto& item) {
                  return MemberStates::isActive(item.second) && item.second.member.address() == seed.address
                      && item.second.member.port() == seed.port;
              });
        if (!isKnown && !(seed.address == self.address() && seed.port == self.port()))
            unknown.push_back(&seed);
    }
    std::shuffle(unknown.begin(), unknown.end(), random);
    if (unknown.size() > maxSeedsPerHeartbeat)
        unknown.resize(maxSeedsPerHeartbeat);
    for (const Seed* seed : unknown)
        exchanges.push_back({ {}, seed->address, seed->port, makeView(now, true) });
}

// Adds the exchanges of a heartbeat: with other domains, with seeds, and with one member of the own domain
// that counts as dead.
void MemberTable::Private::addHeartbeatExchanges(std::vector<Exchange>& exchanges, Utils::TimePoint now)
{
    if (now < nextHeartbeat)
        return;
    nextHeartbeat = now + withJitter(options.heartbeatInterval);
    ++beat;
    remainingSummaries = options.summaryPeersPerHeartbeat;
    addRemoteExchanges(exchanges, now);
    addSeedExchanges(exchanges, now);
    const auto isDead = [](const MemberEntry& entry) { return entry.member.state() == Schema::MEMBER_DEAD; };
    const auto dead = entriesWhere(isDead, self.domain());
    if (dead.empty())
        return;
    const MemberEntry& chosen = *dead[randomIndex(dead.size())];
    exchanges.push_back(makeExchange(chosen.member, now, true));
    // A member that is in fact alive must learn that it was removed, even long after peers stopped sending
    // the change.
    *exchanges.back().view.add_members() = chosen.member;
}

MemberTable::MemberTable(const Schema::Member& self, const MembershipOptions& options,
    std::mt19937_64& random, Utils::TimePoint now)
    : d_(std::make_unique<Private>(self, options, random, now))
{
}

MemberTable::~MemberTable() = default;

void MemberTable::addSeed(const std::string& address, std::uint32_t port)
{
    const Seed seed { address, port };
    if (std::find(d_->seeds.begin(), d_->seeds.end(), seed) == d_->seeds.end())
        d_->seeds.push_back(seed);
}

void MemberTable::setConfigurationRevision(std::uint64_t revision)
{
    d_->self.set_configuration_revision(std::max(revision, d_->self.configuration_revision()));
}

std::vector<Exchange> MemberTable::dueExchanges(Utils::TimePoint now)
{
    if (d_->self.state() == Schema::MEMBER_LEFT)
        return {};
    d_->detectPause(now);
    d_->states.tick(now, d_->events);
    std::vector<Exchange> exchanges;
    d_->addHeartbeatExchanges(exchanges, now);
    d_->addDomainPeerExchanges(exchanges, now);
    return exchanges;
}

Schema::PeerView MemberTable::handleExchange(const Schema::PeerView& received, Utils::TimePoint now)
{
    d_->detectPause(now);
    const auto knownSender = d_->states.entries().find(received.sender().name());
    const bool isNewcomer = knownSender == d_->states.entries().end()
        || knownSender->second.member.incarnation() < received.sender().incarnation();
    d_->mergeView(received, now);
    Schema::PeerView view = d_->makeView(now, !received.domains().empty());
    // A sender that was removed must learn of its removal.
    if (const auto sender = d_->states.entries().find(received.sender().name());
        sender != d_->states.entries().end() && !MemberStates::isActive(sender->second))
        *view.add_members() = sender->second.member;
    if (isNewcomer) {
        d_->addDomainMembers(view, d_->self.domain(), now);
        for (const auto& [name, domain] : d_->states.domains())
            d_->addDomainMembers(view, name, now);
        return view;
    }
    auto hashes = d_->states.memberHashes(d_->self);
    for (const Schema::DomainSummary& summary : received.domains()) {
        const bool isStable = now - d_->states.changedAt(summary.domain()) >= d_->options.repairDelay;
        if (isStable && summary.members_hash() != hashes[summary.domain()])
            d_->addDomainMembers(view, summary.domain(), now);
    }
    return view;
}

void MemberTable::handleReply(const Schema::PeerView& received, Utils::TimePoint now)
{
    d_->detectPause(now);
    d_->mergeView(received, now);
}

std::vector<Exchange> MemberTable::leave(Utils::TimePoint now)
{
    d_->self.set_state(Schema::MEMBER_LEFT);
    std::vector<Exchange> exchanges;
    for (const auto& [name, entry] : d_->states.entries()) {
        if (d_->isPeer(entry))
            exchanges.push_back(d_->makeExchange(entry.member, now, false));
    }
    d_->addRemoteExchanges(exchanges, now);
    return exchanges;
}

std::vector<MemberEvent> MemberTable::takeEvents()
{
    return std::exchange(d_->events, {});
}

const Schema::Member& MemberTable::self() const
{
    return d_->self;
}

std::vector<Schema::Member> MemberTable::members(Utils::TimePoint now) const
{
    std::map<std::string_view, Schema::Member> membersByName { { d_->self.name(), d_->self } };
    for (const auto& [name, entry] : d_->states.entries()) {
        Schema::Member member = d_->memberForPeers(entry, now);
        member.set_age_ms(ageMs(entry.lastContact, now));
        const auto domain = d_->states.domains().find(member.domain());
        if (d_->states.isSuspect(entry, now))
            member.set_state(Schema::MEMBER_SUSPECT);
        if (MemberStates::isActive(entry) && domain != d_->states.domains().end() && domain->second.lost)
            member.set_state(Schema::MEMBER_UNREACHABLE);
        membersByName[name] = member;
    }
    std::vector<Schema::Member> members;
    members.reserve(membersByName.size());
    for (auto& [name, member] : membersByName)
        members.push_back(std::move(member));
    return members;
}

std::vector<Schema::DomainSummary> MemberTable::domainSummaries() const
{
    const Schema::PeerView view = d_->makeView({}, true);
    return { view.domains().begin(), view.domains().end() };
}

bool MemberTable::isAmongFirst(std::size_t count) const
{
    const auto isBefore = [&](const auto& item) {
        return d_->isPeer(item.second) && item.second.member.role() == d_->self.role()
            && item.first < d_->self.name();
    };
    const auto before = std::count_if(d_->states.entries().begin(), d_->states.entries().end(), isBefore);
    return static_cast<std::size_t>(before) < count;
}

} // namespace Membership
