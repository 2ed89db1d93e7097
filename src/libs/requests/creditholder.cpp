#include "creditholder.h"

#include "slotdivision.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace Requests {

namespace {

constexpr double rebalanceThreshold
    = 0.25; // Relative change of a member's weight share above which a division is due.

Utils::Duration scaled(Utils::Duration duration, double factor)
{
    return std::chrono::duration_cast<Utils::Duration>(duration * factor);
}

} // namespace

CreditHolder::CreditHolder(std::string name, std::uint64_t incarnation, CreditParameters parameters)
    : name_(std::move(name))
    , incarnation_(incarnation)
    , parameters_(parameters)
{
}

void CreditHolder::onDivisionsRead(
    const Schema::CreditDivisions& divisions, Utils::TimePoint sentAt, Utils::TimePoint now)
{
    if (divisions.current().epoch() < adoptedEpoch())
        return;
    tableConfirmedAt_ = std::max(tableConfirmedAt_, sentAt);
    if (divisions.current().epoch() == adoptedEpoch())
        return;
    divisions_ = divisions;
    currentDivisionSeenAt_ = now;
    tableConfirmedAt_ = sentAt;
    previousMajorityLostAt_.reset();
    updatePreviousMajority(now);
}

void CreditHolder::onPeerReport(
    const Schema::CreditReport& report, Utils::TimePoint sentAt, Utils::TimePoint now)
{
    Schema::CreditMember member;
    member.set_name(report.name());
    member.set_incarnation(report.incarnation());
    Peer& peer = peers_[memberKey(member)];
    peer.adoptedEpoch = std::max(peer.adoptedEpoch, report.adopted_epoch());
    peer.settledEpoch = std::max(peer.settledEpoch, report.settled_epoch());
    if (sentAt >= peer.sentAt) {
        peer.sentAt = sentAt;
        peer.confirmedEpoch = report.adopted_epoch();
    }
    updatePreviousMajority(now);
}

void CreditHolder::onVmRemoved(std::string_view name, Utils::TimePoint now)
{
    for (const auto* division : { &divisions_.previous(), &divisions_.current() }) {
        for (const Schema::CreditMember& member : division->members()) {
            if (member.name() == name && !isSelf(member))
                removedMembers_.insert(memberKey(member));
        }
    }
    updatePreviousMajority(now);
}

std::vector<std::string> CreditHolder::otherMembers() const
{
    std::vector<std::string> names;
    for (const auto* division : { &divisions_.previous(), &divisions_.current() }) {
        for (const Schema::CreditMember& member : division->members()) {
            if (!isSelf(member))
                names.push_back(member.name());
        }
    }
    return names;
}

void CreditHolder::setWithinShares(bool isWithinShares)
{
    if (isWithinShares)
        settledEpoch_ = adoptedEpoch();
}

std::uint32_t CreditHolder::share(std::string_view backend, std::uint32_t slots, Utils::TimePoint now) const
{
    if (expiry() <= now)
        return 0;
    const std::uint32_t current = slotShare(divisions_.current(), name_, incarnation_, backend, slots);
    if (isPreviousClosed(now))
        return current;
    return std::min(current, slotShare(divisions_.previous(), name_, incarnation_, backend, slots));
}

Utils::TimePoint CreditHolder::expiry() const
{
    const Utils::TimePoint confirmedAt = std::max(tableConfirmedAt_, peersConfirmedAt());
    if (confirmedAt == Utils::TimePoint::min() || confirmedAt == Utils::TimePoint::max())
        return confirmedAt;
    return confirmedAt + parameters_.lifetime;
}

bool CreditHolder::isPreviousClosed(Utils::TimePoint now) const
{
    const auto& members = divisions_.previous().members();
    if (std::ranges::all_of(members, [this](const auto& member) { return hasSettled(member); }))
        return true;
    if (!previousMajorityLostAt_)
        return false;
    const Utils::Duration closeDelay
        = scaled(parameters_.lifetime + parameters_.maxAttemptDuration, 1 + parameters_.clockRateMargin);
    return now >= *previousMajorityLostAt_ + closeDelay;
}

std::optional<Schema::CreditDivisions> CreditHolder::proposeDivisions(
    std::span<const Schema::CreditMember> members, Utils::TimePoint now) const
{
    if (members.empty() || !isPreviousClosed(now))
        return {};
    std::set<std::string> wanted;
    std::set<std::string> current;
    for (const Schema::CreditMember& member : members)
        wanted.insert(memberKey(member));
    for (const Schema::CreditMember& member : divisions_.current().members())
        current.insert(memberKey(member));
    const bool mayRebalance = now >= currentDivisionSeenAt_ + parameters_.rebalanceInterval;
    if (wanted == current && !(mayRebalance && weightsDiffer(members)))
        return {};
    Schema::CreditDivisions next;
    *next.mutable_previous() = divisions_.current();
    next.mutable_current()->set_epoch(adoptedEpoch() + 1);
    for (const Schema::CreditMember& member : members)
        *next.mutable_current()->add_members() = member;
    return next;
}

std::string CreditHolder::memberKey(const Schema::CreditMember& member)
{
    return member.name() + "/" + std::to_string(member.incarnation());
}

bool CreditHolder::isSelf(const Schema::CreditMember& member) const
{
    return member.name() == name_ && member.incarnation() == incarnation_;
}

bool CreditHolder::hasAdopted(const Schema::CreditMember& member) const
{
    if (isSelf(member) || removedMembers_.contains(memberKey(member)))
        return true;
    // A later process of the same VM proves that the process of this member has ended.
    for (const Schema::CreditMember& other : divisions_.current().members()) {
        if (other.name() == member.name() && other.incarnation() > member.incarnation())
            return true;
    }
    const auto peer = peers_.find(memberKey(member));
    return peer != peers_.end() && peer->second.adoptedEpoch >= adoptedEpoch();
}

bool CreditHolder::hasSettled(const Schema::CreditMember& member) const
{
    if (isSelf(member))
        return settledEpoch_ >= adoptedEpoch();
    const auto peer = peers_.find(memberKey(member));
    return peer != peers_.end() && peer->second.settledEpoch >= adoptedEpoch();
}

void CreditHolder::updatePreviousMajority(Utils::TimePoint now)
{
    if (previousMajorityLostAt_)
        return;
    const auto& members = divisions_.previous().members();
    const auto adoptedCount
        = std::ranges::count_if(members, [this](const auto& member) { return hasAdopted(member); });
    if (2 * adoptedCount >= members.size())
        previousMajorityLostAt_ = now;
}

Utils::TimePoint CreditHolder::peersConfirmedAt() const
{
    const auto& members = divisions_.current().members();
    std::vector<Utils::TimePoint> confirmations;
    for (const Schema::CreditMember& member : members) {
        const auto peer = peers_.find(memberKey(member));
        if (isSelf(member))
            confirmations.push_back(Utils::TimePoint::max());
        else if (peer != peers_.end() && peer->second.confirmedEpoch == adoptedEpoch())
            confirmations.push_back(peer->second.sentAt);
    }
    const std::size_t majority = static_cast<std::size_t>(members.size()) / 2 + 1;
    if (confirmations.size() < majority || members.empty())
        return Utils::TimePoint::min();
    std::ranges::sort(confirmations, std::greater<> {});
    return confirmations[majority - 1];
}

bool CreditHolder::weightsDiffer(std::span<const Schema::CreditMember> members) const
{
    const auto total = [](const auto& list) {
        double sum = 0;
        for (const Schema::CreditMember& member : list)
            sum += std::max(1U, member.weight());
        return sum;
    };
    const double wantedTotal = total(members);
    const double currentTotal = total(divisions_.current().members());
    for (const Schema::CreditMember& member : members) {
        for (const Schema::CreditMember& other : divisions_.current().members()) {
            if (memberKey(member) != memberKey(other))
                continue;
            const double wanted = std::max(1U, member.weight()) / wantedTotal;
            const double current = std::max(1U, other.weight()) / currentTotal;
            if (std::abs(wanted - current) > rebalanceThreshold * current)
                return true;
        }
    }
    return false;
}

} // namespace Requests
