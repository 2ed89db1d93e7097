#pragma once

#include "memberevent.h"
#include "membershipoptions.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Membership::Internal {

/*! What this process knows about another member. */
struct MemberEntry {
    Schema::Member member;
    Utils::TimePoint lastDirectContact; //!< Last exchange with the member; the clock's epoch if none.
    Utils::TimePoint
        lastContact; //!< Last contact of the member with this process, or with a peer that reported it.
    Utils::TimePoint changedAt; //!< Last change of incarnation or state.
    Utils::TimePoint nextExchangeAt;
    Utils::TimePoint lastExchangeStartedAt; //!< Start of the last exchange from this process.
};

/*! What this process knows about another failure domain. */
struct DomainEntry {
    std::uint64_t beat = 0;
    std::uint64_t lowestRevision = 0;
    Utils::TimePoint lastBeatAt; //!< When a higher beat was last received.
    Utils::TimePoint changedAt; //!< Last change of its list of members.
    bool lost = false;
};

/*!
    States of the other members: merges reports of peers and applies timeouts.

    Within one incarnation a member changes from alive to dead or left, and never back. Suspicion and
    unreachability are derived from the times of contact and are never sent to peers.
*/
class MemberStates {
public:
    MemberStates(std::string selfName, std::string selfDomain, const MembershipOptions& options);

    /*! Merges the state of a member that sent a view itself; counts as direct contact. */
    void mergeSender(const Schema::Member& sender, Utils::TimePoint now, std::vector<MemberEvent>& events);

    /*! Merges a peer's report of another member; Member::age_ms is the age of that peer's last contact. */
    void merge(const Schema::Member& reported, Utils::TimePoint now, std::vector<MemberEvent>& events);

    /*! Merges a peer's report of another domain. */
    void mergeDomain(
        const Schema::DomainSummary& reported, Utils::TimePoint now, std::vector<MemberEvent>& events);

    /*! Applies timeouts: removes members, marks domains as lost and forgets removed members. */
    void tick(Utils::TimePoint now, std::vector<MemberEvent>& events);

    /*! Sets all times of contact to \a now: after a pause of this process, missing contact proves nothing. */
    void resetContactTimes(Utils::TimePoint now);

    /*! \return for each domain a hash over its active members, including \a self. */
    std::map<std::string_view, std::uint64_t> memberHashes(const Schema::Member& self) const;

    /*! \return whether the member is active, in the own domain, and without contact for suspectAfter. */
    bool isSuspect(const MemberEntry& entry, Utils::TimePoint now) const;

    /*! \return whether the member has neither died nor left. */
    static bool isActive(const MemberEntry& entry);

    /*! \return the other members by name; the caller may set their exchange times. */
    std::map<std::string, MemberEntry, std::less<>>& entries() { return entries_; }
    const std::map<std::string, MemberEntry, std::less<>>& entries() const { return entries_; }

    /*! \return the known domains except the own one, by name. */
    std::map<std::string, DomainEntry, std::less<>>& domains() { return domains_; }
    const std::map<std::string, DomainEntry, std::less<>>& domains() const { return domains_; }

    /*! \return when the list of members of a domain last changed; the clock's epoch for an unknown domain. */
    Utils::TimePoint changedAt(std::string_view domain) const;

private:
    void insert(const Schema::Member& reported, Utils::TimePoint now, std::vector<MemberEvent>& events);
    void replace(MemberEntry& entry, const Schema::Member& reported, Utils::TimePoint now,
        std::vector<MemberEvent>& events);
    void markInactive(MemberEntry& entry, Schema::MemberState state, Utils::TimePoint now,
        std::vector<MemberEvent>& events);
    void markChanged(const Schema::Member& member, Utils::TimePoint now);
    void checkDomains(Utils::TimePoint now, std::vector<MemberEvent>& events);
    void emitDomainEvents(
        std::string_view domain, MemberChange change, std::vector<MemberEvent>& events) const;

    std::string selfName_;
    std::string selfDomain_;
    MembershipOptions options_;
    std::map<std::string, MemberEntry, std::less<>> entries_;
    std::map<std::string, DomainEntry, std::less<>> domains_;
    Utils::TimePoint ownDomainChangedAt_ {};
};

} // namespace Membership::Internal
