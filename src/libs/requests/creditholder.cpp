#include "creditholder.h"

#include "slotdivision.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace Requests {

namespace {

constexpr double rebalanceThreshold = 0.25; // Change of a member's share of the weights.

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

void CreditHolder::divisionsRead(
    const Schema::CreditDivisions& divisions, Utils::TimePoint sent, Utils::TimePoint now)
{
    if (divisions.current().epoch() < adoptedEpoch())
        return;
    tableEvidence_ = std::max(tableEvidence_, sent);
    if (divisions.current().epoch() == adoptedEpoch())
        return;
    divisions_ = divisions;
    learned_ = now;
    tableEvidence_ = sent;
    quorumAt_.reset();
    updateQuorum(now);
}

void CreditHolder::peerReported(
    const Schema::CreditReport& report, Utils::TimePoint sent, Utils::TimePoint now)
{
    Schema::CreditMember member;
    member.set_name(report.name());
    member.set_incarnation(report.incarnation());
    Peer& peer = peers_[memberKey(member)];
    peer.adopted = std::max(peer.adopted, report.adopted_epoch());
    peer.settled = std::max(peer.settled, report.settled_epoch());
    if (sent >= peer.sent) {
        peer.sent = sent;
        peer.confirmedEpoch = report.adopted_epoch();
    }
    updateQuorum(now);
}

void CreditHolder::vmGone(std::string_view name, Utils::TimePoint now)
{
    for (const auto* division : { &divisions_.previous(), &divisions_.current() }) {
        for (const Schema::CreditMember& member : division->members()) {
            if (member.name() == name && !isSelf(member))
                gone_.insert(memberKey(member));
        }
    }
    updateQuorum(now);
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

void CreditHolder::setSettled(bool withinShares)
{
    if (withinShares)
        settledEpoch_ = adoptedEpoch();
}

std::uint32_t CreditHolder::share(std::string_view backend, std::uint32_t slots, Utils::TimePoint now) const
{
    if (expiry() <= now)
        return 0;
    const std::uint32_t current = slotShare(divisions_.current(), name_, incarnation_, backend, slots);
    if (previousClosed(now))
        return current;
    return std::min(current, slotShare(divisions_.previous(), name_, incarnation_, backend, slots));
}

Utils::TimePoint CreditHolder::expiry() const
{
    const Utils::TimePoint evidence = std::max(tableEvidence_, quorumEvidence());
    if (evidence == Utils::TimePoint::min() || evidence == Utils::TimePoint::max())
        return evidence;
    return evidence + parameters_.lifetime;
}

bool CreditHolder::previousClosed(Utils::TimePoint now) const
{
    const auto& members = divisions_.previous().members();
    if (std::ranges::all_of(members, [this](const auto& member) { return hasSettled(member); }))
        return true;
    if (!quorumAt_)
        return false;
    const Utils::Duration lapse
        = scaled(parameters_.lifetime + parameters_.longestAttempt, 1 + parameters_.clockMargin);
    return now >= *quorumAt_ + lapse;
}

std::optional<Schema::CreditDivisions> CreditHolder::propose(
    std::span<const Schema::CreditMember> members, Utils::TimePoint now) const
{
    if (members.empty() || !previousClosed(now))
        return {};
    std::set<std::string> wanted;
    std::set<std::string> current;
    for (const Schema::CreditMember& member : members)
        wanted.insert(memberKey(member));
    for (const Schema::CreditMember& member : divisions_.current().members())
        current.insert(memberKey(member));
    const bool mayRebalance = now >= learned_ + parameters_.rebalanceInterval;
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
    if (isSelf(member) || gone_.contains(memberKey(member)))
        return true;
    // A later process of the same VM proves that the one before it has ended.
    for (const Schema::CreditMember& other : divisions_.current().members()) {
        if (other.name() == member.name() && other.incarnation() > member.incarnation())
            return true;
    }
    const auto peer = peers_.find(memberKey(member));
    return peer != peers_.end() && peer->second.adopted >= adoptedEpoch();
}

bool CreditHolder::hasSettled(const Schema::CreditMember& member) const
{
    if (isSelf(member))
        return settledEpoch_ >= adoptedEpoch();
    const auto peer = peers_.find(memberKey(member));
    return peer != peers_.end() && peer->second.settled >= adoptedEpoch();
}

void CreditHolder::updateQuorum(Utils::TimePoint now)
{
    if (quorumAt_)
        return;
    const auto& members = divisions_.previous().members();
    const auto adopted
        = std::ranges::count_if(members, [this](const auto& member) { return hasAdopted(member); });
    if (2 * adopted >= members.size())
        quorumAt_ = now;
}

Utils::TimePoint CreditHolder::quorumEvidence() const
{
    const auto& members = divisions_.current().members();
    std::vector<Utils::TimePoint> confirmations;
    for (const Schema::CreditMember& member : members) {
        const auto peer = peers_.find(memberKey(member));
        if (isSelf(member))
            confirmations.push_back(Utils::TimePoint::max());
        else if (peer != peers_.end() && peer->second.confirmedEpoch == adoptedEpoch())
            confirmations.push_back(peer->second.sent);
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
