#include "memberstates.h"

#include <xxhash.h>

#include <algorithm>

namespace Membership::Internal {

namespace {

Utils::Duration toldAge(const Schema::Member& told)
{
    return std::chrono::milliseconds(told.age_ms());
}

bool isOut(Schema::MemberState state)
{
    return state == Schema::MEMBER_DEAD || state == Schema::MEMBER_LEFT;
}

} // namespace

MemberStates::MemberStates(std::string selfName, std::string selfDomain, const MembershipOptions& options)
    : selfName_(std::move(selfName))
    , selfDomain_(std::move(selfDomain))
    , options_(options)
{
}

bool MemberStates::isIn(const Entry& entry)
{
    return !isOut(entry.member.state());
}

bool MemberStates::isSuspect(const Entry& entry, Utils::TimePoint now) const
{
    return isIn(entry) && entry.member.domain() == selfDomain_
        && now - entry.lastHeard >= options_.suspectAfter;
}

void MemberStates::hearSender(
    const Schema::Member& sender, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    Schema::Member told = sender;
    told.set_age_ms(0);
    merge(told, now, events);
    const auto found = entries_.find(sender.name());
    if (found == entries_.end() || found->second.member.incarnation() != sender.incarnation())
        return;
    found->second.directHeard = now;
    found->second.nextExchange = now + options_.heartbeat;
}

void MemberStates::merge(const Schema::Member& told, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    const auto found = entries_.find(told.name());
    if (found == entries_.end())
        return insert(told, now, events);
    Entry& entry = found->second;
    if (told.incarnation() < entry.member.incarnation())
        return;
    if (told.incarnation() > entry.member.incarnation())
        return replace(entry, told, now, events);
    if (isOut(told.state())) {
        if (told.state() > entry.member.state())
            remove(entry, told.state(), now, events);
        return;
    }
    if (!isIn(entry))
        return;
    entry.lastHeard = std::max(entry.lastHeard, now - toldAge(told));
    entry.member.set_configuration_revision(
        std::max(entry.member.configuration_revision(), told.configuration_revision()));
}

// A member that is out and unknown is not kept: nothing here depends on it.
void MemberStates::insert(const Schema::Member& told, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    if (isOut(told.state()) || told.name() == selfName_)
        return;
    Entry entry;
    entry.member = told;
    entry.member.set_state(Schema::MEMBER_ALIVE);
    entry.lastHeard = now;
    entry.changedAt = now;
    entry.nextExchange = now;
    entries_[told.name()] = entry;
    if (told.domain() != selfDomain_ && !domains_.contains(told.domain()))
        domains_[told.domain()].lastWord = now;
    markChanged(told, now);
    events.push_back({ MemberChange::Joined, entry.member });
}

void MemberStates::replace(
    Entry& entry, const Schema::Member& told, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    const bool wasIn = isIn(entry);
    if (isOut(told.state()) && wasIn) {
        entry.member.set_incarnation(told.incarnation());
        return remove(entry, told.state(), now, events);
    }
    entry.member = told;
    entry.member.set_state(isOut(told.state()) ? told.state() : Schema::MEMBER_ALIVE);
    entry.lastHeard = now;
    entry.directHeard = {};
    entry.changedAt = now;
    entry.nextExchange = now;
    markChanged(told, now);
    if (!isOut(told.state()))
        events.push_back({ MemberChange::Joined, entry.member });
}

void MemberStates::remove(
    Entry& entry, Schema::MemberState state, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    const bool wasIn = isIn(entry);
    entry.member.set_state(state);
    entry.changedAt = now;
    markChanged(entry.member, now);
    if (wasIn) {
        const bool left = state == Schema::MEMBER_LEFT;
        events.push_back({ left ? MemberChange::Left : MemberChange::Died, entry.member });
    }
}

void MemberStates::markChanged(const Schema::Member& member, Utils::TimePoint now)
{
    if (member.domain() == selfDomain_)
        ownDomainChangedAt_ = now;
    else
        domains_[member.domain()].changedAt = now;
}

Utils::TimePoint MemberStates::changedAt(std::string_view domain) const
{
    if (domain == selfDomain_)
        return ownDomainChangedAt_;
    const auto found = domains_.find(domain);
    return found == domains_.end() ? Utils::TimePoint {} : found->second.changedAt;
}

void MemberStates::mergeDomain(
    const Schema::DomainSummary& told, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    if (told.domain() == selfDomain_)
        return;
    DomainEntry& domain = domains_[told.domain()];
    if (told.beat() <= domain.beat)
        return;
    domain.beat = told.beat();
    domain.lowestRevision = told.lowest_revision();
    domain.lastWord = now;
    if (!domain.lost)
        return;
    domain.lost = false;
    emitForDomain(told.domain(), MemberChange::Reachable, events);
}

void MemberStates::tick(Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    for (auto& [name, entry] : entries_) {
        if (!isIn(entry) || entry.member.domain() != selfDomain_)
            continue;
        if (now - entry.lastHeard >= options_.deadAfter)
            remove(entry, Schema::MEMBER_DEAD, now, events);
    }
    std::erase_if(entries_, [&](const auto& item) {
        return !isIn(item.second) && now - item.second.changedAt >= options_.forgetAfter;
    });
    tickDomains(now, events);
}

void MemberStates::tickDomains(Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    for (auto& [name, domain] : domains_) {
        if (domain.lost || now - domain.lastWord < options_.domainLostAfter)
            continue;
        domain.lost = true;
        emitForDomain(name, MemberChange::Unreachable, events);
    }
}

void MemberStates::emitForDomain(
    std::string_view domain, MemberChange change, std::vector<MemberEvent>& events) const
{
    for (const auto& [name, entry] : entries_) {
        if (isIn(entry) && entry.member.domain() == domain)
            events.push_back({ change, entry.member });
    }
}

void MemberStates::forgiveSilence(Utils::TimePoint now)
{
    for (auto& [name, entry] : entries_)
        entry.lastHeard = now;
    for (auto& [name, domain] : domains_)
        domain.lastWord = now;
}

std::map<std::string_view, std::uint64_t> MemberStates::memberHashes(const Schema::Member& self) const
{
    std::map<std::string_view, std::uint64_t> hashes;
    // A sum does not depend on the order.
    const auto add = [&](const Schema::Member& member) {
        hashes[member.domain()]
            += XXH3_64bits_withSeed(member.name().data(), member.name().size(), member.incarnation());
    };
    for (const auto& [name, entry] : entries_) {
        if (isIn(entry))
            add(entry.member);
    }
    if (!isOut(self.state()))
        add(self);
    return hashes;
}

} // namespace Membership::Internal
