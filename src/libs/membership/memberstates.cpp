#include "memberstates.h"

#include <xxhash.h>

#include <algorithm>

namespace Membership::Internal {

namespace {

Utils::Duration reportedAge(const Schema::Member& reported)
{
    return std::chrono::milliseconds(reported.age_ms());
}

bool isDeadOrLeft(Schema::MemberState state)
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

bool MemberStates::isActive(const MemberEntry& entry)
{
    return !isDeadOrLeft(entry.member.state());
}

bool MemberStates::isSuspect(const MemberEntry& entry, Utils::TimePoint now) const
{
    return isActive(entry) && entry.member.domain() == selfDomain_
        && now - entry.lastContact >= options_.suspectAfter;
}

void MemberStates::mergeSender(
    const Schema::Member& sender, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    Schema::Member reported = sender;
    reported.set_age_ms(0);
    merge(reported, now, events);
    const auto found = entries_.find(sender.name());
    if (found == entries_.end() || found->second.member.incarnation() != sender.incarnation())
        return;
    found->second.lastDirectContact = now;
    found->second.nextExchangeAt = now + options_.heartbeatInterval;
}

void MemberStates::merge(
    const Schema::Member& reported, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    const auto found = entries_.find(reported.name());
    if (found == entries_.end())
        return insert(reported, now, events);
    MemberEntry& entry = found->second;
    if (reported.incarnation() < entry.member.incarnation())
        return;
    if (reported.incarnation() > entry.member.incarnation())
        return replace(entry, reported, now, events);
    if (isDeadOrLeft(reported.state())) {
        if (reported.state() > entry.member.state())
            markInactive(entry, reported.state(), now, events);
        return;
    }
    if (!isActive(entry))
        return;
    entry.lastContact = std::max(entry.lastContact, now - reportedAge(reported));
    entry.member.set_configuration_revision(
        std::max(entry.member.configuration_revision(), reported.configuration_revision()));
}

// An unknown member that has died or left is ignored, because nothing depends on it.
void MemberStates::insert(
    const Schema::Member& reported, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    if (isDeadOrLeft(reported.state()) || reported.name() == selfName_)
        return;
    MemberEntry entry;
    entry.member = reported;
    entry.member.set_state(Schema::MEMBER_ALIVE);
    entry.lastContact = now;
    entry.changedAt = now;
    entry.nextExchangeAt = now;
    entries_[reported.name()] = entry;
    if (reported.domain() != selfDomain_ && !domains_.contains(reported.domain()))
        domains_[reported.domain()].lastBeatAt = now;
    markChanged(reported, now);
    events.push_back({ MemberChange::Joined, entry.member });
}

void MemberStates::replace(MemberEntry& entry, const Schema::Member& reported, Utils::TimePoint now,
    std::vector<MemberEvent>& events)
{
    const bool wasActive = isActive(entry);
    if (isDeadOrLeft(reported.state()) && wasActive) {
        entry.member.set_incarnation(reported.incarnation());
        return markInactive(entry, reported.state(), now, events);
    }
    entry.member = reported;
    entry.member.set_state(isDeadOrLeft(reported.state()) ? reported.state() : Schema::MEMBER_ALIVE);
    entry.lastContact = now;
    entry.lastDirectContact = {};
    entry.changedAt = now;
    entry.nextExchangeAt = now;
    markChanged(reported, now);
    if (!isDeadOrLeft(reported.state()))
        events.push_back({ MemberChange::Joined, entry.member });
}

void MemberStates::markInactive(
    MemberEntry& entry, Schema::MemberState state, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    const bool wasActive = isActive(entry);
    entry.member.set_state(state);
    entry.changedAt = now;
    markChanged(entry.member, now);
    if (wasActive) {
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
    const Schema::DomainSummary& reported, Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    if (reported.domain() == selfDomain_)
        return;
    DomainEntry& domain = domains_[reported.domain()];
    if (reported.beat() <= domain.beat)
        return;
    domain.beat = reported.beat();
    domain.lowestRevision = reported.lowest_revision();
    domain.lastBeatAt = now;
    if (!domain.lost)
        return;
    domain.lost = false;
    emitDomainEvents(reported.domain(), MemberChange::Reachable, events);
}

void MemberStates::tick(Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    for (auto& [name, entry] : entries_) {
        if (!isActive(entry) || entry.member.domain() != selfDomain_)
            continue;
        if (now - entry.lastContact >= options_.deadAfter)
            markInactive(entry, Schema::MEMBER_DEAD, now, events);
    }
    std::erase_if(entries_, [&](const auto& item) {
        return !isActive(item.second) && now - item.second.changedAt >= options_.forgetAfter;
    });
    checkDomains(now, events);
}

void MemberStates::checkDomains(Utils::TimePoint now, std::vector<MemberEvent>& events)
{
    for (auto& [name, domain] : domains_) {
        if (domain.lost || now - domain.lastBeatAt < options_.domainLostAfter)
            continue;
        domain.lost = true;
        emitDomainEvents(name, MemberChange::Unreachable, events);
    }
}

void MemberStates::emitDomainEvents(
    std::string_view domain, MemberChange change, std::vector<MemberEvent>& events) const
{
    for (const auto& [name, entry] : entries_) {
        if (isActive(entry) && entry.member.domain() == domain)
            events.push_back({ change, entry.member });
    }
}

void MemberStates::resetContactTimes(Utils::TimePoint now)
{
    for (auto& [name, entry] : entries_)
        entry.lastContact = now;
    for (auto& [name, domain] : domains_)
        domain.lastBeatAt = now;
}

std::map<std::string_view, std::uint64_t> MemberStates::memberHashes(const Schema::Member& self) const
{
    std::map<std::string_view, std::uint64_t> hashes;
    // A sum does not depend on the order of the members.
    const auto add = [&](const Schema::Member& member) {
        hashes[member.domain()]
            += XXH3_64bits_withSeed(member.name().data(), member.name().size(), member.incarnation());
    };
    for (const auto& [name, entry] : entries_) {
        if (isActive(entry))
            add(entry.member);
    }
    if (!isDeadOrLeft(self.state()))
        add(self);
    return hashes;
}

} // namespace Membership::Internal
