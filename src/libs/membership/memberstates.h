#pragma once

#include "memberevent.h"
#include "membershipoptions.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Membership::Internal {

/*! What is known of one other member. */
struct MemberEntry {
    Schema::Member member;
    Utils::TimePoint lastDirectContact; //!< Last exchange with it; epoch if never.
    Utils::TimePoint lastContact; //!< Last word, direct or told by a peer that had direct word.
    Utils::TimePoint changedAt; //!< Last change of incarnation or state.
    Utils::TimePoint nextExchangeAt;
    Utils::TimePoint lastExchangeStartedAt; //!< Start of the last exchange from here.
};

/*! What is known of one other failure domain. */
struct DomainEntry {
    std::uint64_t beat = 0;
    std::uint64_t lowestRevision = 0;
    Utils::TimePoint lastBeatAt; //!< When a higher beat was last seen.
    Utils::TimePoint changedAt; //!< Last change of the list of its members.
    bool lost = false;
};

/*!
    The other members and their states: merges what peers tell and lets time pass.

    For one incarnation a member goes from alive to dead or left and never back. Suspicion and
    unreachability are derived from times and are never told to others.
*/
class MemberStates {
public:
    MemberStates(std::string selfName, std::string selfDomain, const MembershipOptions& options);

    /*! Takes direct word: a view that \a sender itself sent. */
    void mergeSender(const Schema::Member& sender, Utils::TimePoint now, std::vector<MemberEvent>& events);

    /*! Takes what a peer tells of another member; Member::age_ms counts as evidence that it is alive. */
    void merge(const Schema::Member& reported, Utils::TimePoint now, std::vector<MemberEvent>& events);

    /*! Takes what a peer tells of another domain. */
    void mergeDomain(
        const Schema::DomainSummary& reported, Utils::TimePoint now, std::vector<MemberEvent>& events);

    /*! Lets time pass: suspicion, removal, lost domains, forgotten members. */
    void tick(Utils::TimePoint now, std::vector<MemberEvent>& events);

    /*! Forgets all silence up to \a now, after a pause of this process. */
    void resetContactTimes(Utils::TimePoint now);

    /*! \return for each domain with alive members a hash over them, including \a self. */
    std::map<std::string_view, std::uint64_t> memberHashes(const Schema::Member& self) const;

    /*! \return true if silence of this member of the own domain counts as suspicion. */
    bool isSuspect(const MemberEntry& entry, Utils::TimePoint now) const;

    /*! \return true if the member has neither died nor left. */
    static bool isActive(const MemberEntry& entry);

    /*! \return all members by name; the caller may set their exchange times. */
    std::map<std::string, MemberEntry, std::less<>>& entries() { return entries_; }
    const std::map<std::string, MemberEntry, std::less<>>& entries() const { return entries_; }

    /*! \return the known domains, without the own one. */
    std::map<std::string, DomainEntry, std::less<>>& domains() { return domains_; }
    const std::map<std::string, DomainEntry, std::less<>>& domains() const { return domains_; }

    /*! \return when the list of the members of a domain last changed. */
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
