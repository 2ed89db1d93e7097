#pragma once

#include "utils/clock.h"

#include <requests.pb.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace Requests {

/*! Limits of credits; they must be the same on all entry VMs. */
struct CreditParameters {
    Utils::Duration lifetime
        = std::chrono::seconds(3); //!< Credits expire this long after their last confirmation was requested.
    double clockRateMargin = 0.1; //!< Maximum relative difference between clock rates.
    Utils::Duration maxAttemptDuration
        = std::chrono::seconds(10); //!< Work started under a credit ends within this time after its start.
    Utils::Duration rebalanceInterval
        = std::chrono::seconds(10); //!< Minimum time between divisions that only change weights.
};

/*!
    The slots of one service's backend servers that this entry VM may use.

    The division of a failure domain's slots is stored in one row of the table, together with the previous
    division. A process uses the smaller of its shares in both until the previous division is closed: until
    each of its members has reported that nothing beyond its new share is in progress, or until the credits of
    that member must have expired and its work must have ended.

    Credits are confirmed by reading the row, or by peers: by a majority of the division's members, including
    this one, that have not adopted a later division. The time until the credits of a member must have expired
    starts when so many members of the previous division have adopted the current one that no such majority
    remains.
*/
class CreditHolder {
public:
    /*!
        \param name name of this entry VM.
        \param incarnation start time of this process in microseconds of Unix time.
    */
    CreditHolder(std::string name, std::uint64_t incarnation, CreditParameters parameters);

    /*!
        Adopts the content of the row if its epoch is higher than adoptedEpoch(). Confirms the credits unless
        its epoch is lower.
        \param divisions content of the row; without a current division if the row does not exist.
        \param sentAt when the read was sent.
    */
    void onDivisionsRead(
        const Schema::CreditDivisions& divisions, Utils::TimePoint sentAt, Utils::TimePoint now);

    /*!
        Updates the state of a peer from its report, which may confirm the credits.
        \param sentAt when this process requested the report.
    */
    void onPeerReport(const Schema::CreditReport& report, Utils::TimePoint sentAt, Utils::TimePoint now);

    /*! Counts the members on the removed VM \a name as having adopted the current division. */
    void onVmRemoved(std::string_view name, Utils::TimePoint now);

    /*!
        Updates settledEpoch().
        \param isWithinShares true if no more requests than share() are in progress at each backend server.
    */
    void setWithinShares(bool isWithinShares);

    /*!
        \param slots all slots of the backend server.
        \return the number of slots of a backend server that this process may use; 0 after expiry().
    */
    std::uint32_t share(std::string_view backend, std::uint32_t slots, Utils::TimePoint now) const;

    /*! \return when the credits expire unless they are confirmed before. */
    Utils::TimePoint expiry() const;

    /*! \return the names of the other VMs in the current and the previous division. */
    std::vector<std::string> otherMembers() const;

    /*! \return the epoch of the division in use; 0 if there is none. */
    std::uint64_t adoptedEpoch() const { return divisions_.current().epoch(); }

    /*! \return the highest epoch whose shares are not exceeded by work in progress. */
    std::uint64_t settledEpoch() const { return settledEpoch_; }

    /*! \return true if the previous division no longer limits the shares. */
    bool isPreviousClosed(Utils::TimePoint now) const;

    /*!
        \param members the live members; includes this one unless it is about to stop.
        \return the new content of the row if a change is due; nothing if no change is due or none is safe
                yet.
    */
    std::optional<Schema::CreditDivisions> proposeDivisions(
        std::span<const Schema::CreditMember> members, Utils::TimePoint now) const;

private:
    struct Peer {
        std::uint64_t adoptedEpoch = 0;
        std::uint64_t settledEpoch = 0;
        Utils::TimePoint sentAt {};
        std::uint64_t confirmedEpoch = 0; // Adopted epoch in the report that was requested at sentAt.
    };

    static std::string memberKey(const Schema::CreditMember& member);
    bool isSelf(const Schema::CreditMember& member) const;
    bool hasAdopted(const Schema::CreditMember& member) const;
    bool hasSettled(const Schema::CreditMember& member) const;
    void updatePreviousMajority(Utils::TimePoint now);
    Utils::TimePoint peersConfirmedAt() const;
    bool weightsDiffer(std::span<const Schema::CreditMember> members) const;

    std::string name_;
    std::uint64_t incarnation_;
    CreditParameters parameters_;
    Schema::CreditDivisions divisions_;
    Utils::TimePoint currentDivisionSeenAt_ {}; // When the current division was first seen.
    Utils::TimePoint tableConfirmedAt_ = Utils::TimePoint::min();
    std::optional<Utils::TimePoint>
        previousMajorityLostAt_; // When the previous division could no longer be confirmed by a majority.
    std::map<std::string, Peer> peers_;
    std::set<std::string, std::less<>> removedMembers_;
    std::uint64_t settledEpoch_ = 0;
};

} // namespace Requests
