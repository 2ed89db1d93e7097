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

/*! Bounds of credits; the same on all entry VMs. */
struct CreditParameters {
    Utils::Duration lifetime
        = std::chrono::seconds(3); //!< Credits lapse so long after the last confirmation was asked for.
    double clockRateMargin = 0.1; //!< Greatest difference of clock rates, as a share.
    Utils::Duration maxAttemptDuration
        = std::chrono::seconds(10); //!< Work started under a credit ends within it.
    Utils::Duration rebalanceInterval
        = std::chrono::seconds(10); //!< Between divisions that only change weights.
};

/*!
    The slots of one service's backend servers that this entry VM may use.

    The division of a failure domain's slots stands in one row of the table, with the division before it. A
   process uses the smaller of its shares in both until the previous one is closed: until each member of it
   has told that nothing beyond its new share is in progress, or its credits have surely lapsed and its work
   has ended.

    Credits are confirmed by a read of the row, or by peers: a majority of the division's members, this one
    included, that have adopted no later division. A member's lapse is counted from when so many members of
   the previous division have adopted the current one that no such majority remains.
*/
class CreditHolder {
public:
    /*!
        \param name this entry VM.
        \param incarnation start of this process in microseconds of Unix time.
        \param parameters bounds.
    */
    CreditHolder(std::string name, std::uint64_t incarnation, CreditParameters parameters);

    /*!
        The row was read or written.
        \param divisions its content; without a current division if it does not exist.
        \param sent when the read was sent.
        \param now the current time.
    */
    void onDivisionsRead(
        const Schema::CreditDivisions& divisions, Utils::TimePoint sentAt, Utils::TimePoint now);

    /*!
        A peer told its state.
        \param report what it told.
        \param sent when this process asked for it.
        \param now the current time.
    */
    void onPeerReport(const Schema::CreditReport& report, Utils::TimePoint sentAt, Utils::TimePoint now);

    /*!
        The platform says that a VM is gone.
        \param name of the VM.
        \param now the current time.
    */
    void onVmRemoved(std::string_view name, Utils::TimePoint now);

    /*!
        Tells whether work in progress is within the current shares.
        \param withinShares true if for each backend server no more runs than share().
    */
    void setWithinShares(bool isWithinShares);

    /*!
        Slots this process may use of a backend server.
        \param backend its name.
        \param slots all slots of it.
        \param now the current time.
        \return number of slots; 0 after expiry().
    */
    std::uint32_t share(std::string_view backend, std::uint32_t slots, Utils::TimePoint now) const;

    /*! \return when the credits lapse if nothing confirms them before. */
    Utils::TimePoint expiry() const;

    /*! \return names of the other VMs in the current and the previous division. */
    std::vector<std::string> otherMembers() const;

    /*! \return the epoch of the division in use, 0 if none. */
    std::uint64_t adoptedEpoch() const { return divisions_.current().epoch(); }

    /*! \return the greatest epoch beyond whose shares nothing is in progress. */
    std::uint64_t settledEpoch() const { return settledEpoch_; }

    /*! \return true if the previous division no longer counts. */
    bool isPreviousClosed(Utils::TimePoint now) const;

    /*!
        The divisions this process would write, if a change is due.
        \param members the live members, this one included unless it leaves.
        \param now the current time.
        \return new content of the row; nothing if no change is due or none is safe yet.
    */
    std::optional<Schema::CreditDivisions> proposeDivisions(
        std::span<const Schema::CreditMember> members, Utils::TimePoint now) const;

private:
    struct Peer {
        std::uint64_t adoptedEpoch = 0;
        std::uint64_t settledEpoch = 0;
        Utils::TimePoint sentAt {};
        std::uint64_t confirmedEpoch = 0; // Epoch told in the report asked for at `sent`.
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
    Utils::TimePoint currentSeenAt_ {}; // When the current division was first seen.
    Utils::TimePoint tableConfirmedAt_ = Utils::TimePoint::min();
    std::optional<Utils::TimePoint>
        previousMajorityLostAt_; // When enough members had left the previous division.
    std::map<std::string, Peer> peers_;
    std::set<std::string, std::less<>> removedMembers_;
    std::uint64_t settledEpoch_ = 0;
};

} // namespace Requests
