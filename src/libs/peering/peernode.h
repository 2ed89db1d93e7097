#pragma once

#include "membership/memberevent.h"
#include "utils/clock.h"
#include "utils/result.h"

#include <peer.pb.h>
#include <policy.pb.h>
#include <requests.pb.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Schema {
class SecuritySettings;
}

namespace Peering {

/*! What a peer node asks its process; the functions are called on threads of the peer node. */
struct PeerHandlers {
    std::function<Schema::AcceptedConfiguration()>
        currentConfiguration; //!< The configuration in force; revision 0 if none.
    std::function<void(const Schema::AcceptedConfiguration&)>
        configurationOffered; //!< Takes a newer configuration from a peer.
    std::function<Schema::BurnSamples()>
        burnSamples; //!< What this process counted for the burn report; may be empty.
    std::function<Schema::CreditReports()>
        creditReports; //!< State of this process's slot credits; may be empty.
    std::function<void(const Schema::CreditReports&, Utils::TimePoint)>
        creditsReported; //!< Takes a peer's state and when it was asked for, TimePoint::min() if it was not.
    std::function<void(const Membership::MemberEvent&)>
        memberChanged; //!< A member's state changed; may be empty.
};

/*!
    This process among its peers: a gRPC server, the exchanges with other members, and the spreading of
    configurations. Safe for use from several threads.
*/
class PeerNode {
public:
    /*!
        \param self this process; its port may be 0, then the system chooses.
        \param security files for mutual TLS.
        \param handlers what to ask the process.
    */
    PeerNode(Schema::Member self, const Schema::SecuritySettings& security, PeerHandlers handlers);
    ~PeerNode();
    PeerNode(const PeerNode&) = delete;
    PeerNode& operator=(const PeerNode&) = delete;

    /*! Starts to listen and to exchange. \return an error if the address cannot be taken. */
    Utils::Status start();

    /*! Names a peer to try. \param address its IP number. \param port its gRPC port. */
    void addSeed(const std::string& address, std::uint32_t port);

    /*! Tells the revision in force to peers. \param revision the revision. */
    void setConfigurationRevision(std::uint64_t revision);

    /*! \return the port listened on, once started. */
    std::uint32_t port() const;

    /*! \return all members as known here. */
    std::vector<Schema::Member> members() const;

    /*! \param count how many readers a domain has. \return whether this process is one of them. */
    bool isAmongFirst(std::size_t count) const;

    /*! Fetches the burn samples of all living entry daemons; blocks. \return the samples, one message a
     * member. */
    std::vector<Schema::BurnSamples> fetchBurnSamples();

    /*! Exchanges the state of slot credits with the entry daemons of the own domain; does not block. */
    void exchangeCredits();

    /*! Tells the peers that this process leaves and stops exchanging. */
    void leave();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Peering
