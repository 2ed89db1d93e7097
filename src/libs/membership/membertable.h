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

/*! A view to send to a peer with the RPC Peers.Exchange. */
struct Exchange {
    std::string name; //!< Name of the peer; empty if only its address is known.
    std::string address;
    std::uint32_t port = 0;
    Schema::PeerView view;
};

/*!
    The members of the system as known to this process. Does no I/O and is not thread-safe.

    All members of a failure domain exchange views with each other in each heartbeat (full mesh). Each
    member also exchanges views with a fixed number of members of other domains, so its traffic does not
    grow with the number of domains. A member without contact is first suspected, probed more often and
    reported to peers, and then its incarnation is removed. A process that was paused or removed returns
    with a higher incarnation, which voids everything granted to it before. The table makes no decision
    that requires agreement between members.
*/
class MemberTable {
public:
    /*!
        \param self this process; its incarnation must be higher than that of any earlier process of the
               same name, for example the time of its start in milliseconds since 1970.
        \param random source of random numbers; must outlive the table.
    */
    MemberTable(const Schema::Member& self, const MembershipOptions& options, std::mt19937_64& random,
        Utils::TimePoint now);
    ~MemberTable();

    /*!
        Adds the address of a peer to contact, from the settings or the VM list. Known addresses are ignored.
        \param address IP address of the peer.
        \param port gRPC port of the peer.
    */
    void addSeed(const std::string& address, std::uint32_t port);

    /*! Sets the configuration revision that is in force in this process; the next exchanges report it. */
    void setConfigurationRevision(std::uint64_t revision);

    /*!
        Applies timeouts and determines the exchanges that are due. Must be called about every 100 ms. Pass
        replies to handleReply(); failed exchanges need no call.
        \return the exchanges to start now.
    */
    std::vector<Exchange> dueExchanges(Utils::TimePoint now);

    /*!
        Handles an exchange that a peer started.
        \return the view to send as the reply.
    */
    Schema::PeerView handleExchange(const Schema::PeerView& received, Utils::TimePoint now);

    /*! Handles the reply to an exchange that this process started. */
    void handleReply(const Schema::PeerView& received, Utils::TimePoint now);

    /*!
        Leaves as planned; dueExchanges() returns nothing from now on.
        \return the exchanges that notify the peers; their replies may be ignored.
    */
    std::vector<Exchange> leave(Utils::TimePoint now);

    /*! Removes and returns the state changes since the last call, in order. */
    std::vector<MemberEvent> takeEvents();

    /*! \return this process as a member, with its current incarnation. */
    const Schema::Member& self() const;

    /*!
        Lists all members including this process; suspect and unreachable members are marked as such.
        \return the members sorted by name, including those that died or left within the last ten minutes.
    */
    std::vector<Schema::Member> members(Utils::TimePoint now) const;

    /*! \return the summaries of all known domains, including the own one, as sent to peers. */
    std::vector<Schema::DomainSummary> domainSummaries() const;

    /*!
        Whether this process is among the first members of its role and domain by name. This selects the few
        members that poll the table. As members may have different views, more than \a count may be selected.
    */
    bool isAmongFirst(std::size_t count) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Membership
