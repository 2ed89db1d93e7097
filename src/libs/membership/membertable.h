#pragma once

#include "memberevent.h"
#include "membershipoptions.h"

#include <peer.pb.h>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/*! A view to be sent to one peer through Peers.Exchange. */
struct Exchange {
    std::string name; //!< Empty if only the address is known.
    std::string address;
    std::uint32_t port = 0;
    Schema::PeerView view;
};

/*!
    The members of the system as this process knows them. Does no I/O and is not safe for threads.

    Members of one failure domain exchange with each other once a heartbeat (full mesh); each member
    also exchanges with a fixed number of members of other domains, so its traffic does not grow with
    their number. A member silent for long is suspected, probed more often and asked about, then
    removed for its incarnation. A process that was paused or removed comes back under a higher
    incarnation, so that nothing granted to it before is valid. Nothing that must be agreed upon is
    decided by this table.
*/
class MemberTable {
public:
    /*!
        \param self this process; its incarnation must be higher than those of earlier processes of the
               same name, for example the milliseconds since 1970 at its start.
        \param options times and link counts.
        \param random source of random numbers; must outlive the table.
        \param now the current time.
    */
    MemberTable(const Schema::Member& self, const MembershipOptions& options, std::mt19937_64& random,
        Utils::TimePoint now);
    ~MemberTable();

    /*!
        Names a peer to try, from the settings or the VM list. Known ones are ignored.
        \param address its IP number.
        \param port its gRPC port.
    */
    void addSeed(const std::string& address, std::uint32_t port);

    /*! \param revision configuration revision in force here, told to peers with the next exchange. */
    void setConfigurationRevision(std::uint64_t revision);

    /*!
        Lets time pass and says whom to exchange with; call it about every 100 ms. Answers go to
        handleReply(), failed exchanges need no call.
        \param now the current time.
        \return the exchanges to start now.
    */
    std::vector<Exchange> dueExchanges(Utils::TimePoint now);

    /*!
        Takes a view that a peer sent.
        \param received the peer's view.
        \param now the current time.
        \return the answer.
    */
    Schema::PeerView handleExchange(const Schema::PeerView& received, Utils::TimePoint now);

    /*!
        Takes the answer to an exchange.
        \param received the peer's view.
        \param now the current time.
    */
    void handleReply(const Schema::PeerView& received, Utils::TimePoint now);

    /*!
        Leaves as planned; dueExchanges() returns nothing from now on.
        \param now the current time.
        \return the exchanges that tell the peers; answers may be ignored.
    */
    std::vector<Exchange> leave(Utils::TimePoint now);

    /*! \return the state changes since the last call, in order. */
    std::vector<MemberEvent> takeEvents();

    /*! \return this process. */
    const Schema::Member& self() const;

    /*!
        All members including this process, with suspicion and unreachability.
        \param now the current time.
        \return the members by name; those that died or left stay in the list for some minutes.
    */
    std::vector<Schema::Member> members(Utils::TimePoint now) const;

    /*! \return what is known of each other domain, and of the own one as it is told to peers. */
    std::vector<Schema::DomainSummary> domainSummaries() const;

    /*!
        Whether this process is among the first members of its role and domain by name; used to choose the
        few that poll the table. Several members may believe so at once.
        \param count how many are chosen.
        \return true if this process is chosen.
    */
    bool isAmongFirst(std::size_t count) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Membership
