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

/*! Callbacks of a PeerNode into its process; called on threads of the peer node. */
struct PeerHandlers {
    std::function<Schema::AcceptedConfiguration()>
        currentConfiguration; //!< Returns the configuration in force; its revision is 0 if there is none.
    std::function<void(const Schema::AcceptedConfiguration&)>
        configurationOffered; //!< Receives a newer configuration from a peer.
    std::function<Schema::BurnSamples()>
        burnSamples; //!< Optional; returns this process's counts for the burn report.
    std::function<Schema::CreditReports()>
        creditReports; //!< Optional; returns the state of this process's slot credits.
    std::function<void(const Schema::CreditReports&, Utils::TimePoint)>
        creditsReported; //!< Receives a peer's state of slot credits, and the time when it was requested or
                         //!< TimePoint::min() if it was not; must be set if creditReports is set.
    std::function<void(const Membership::MemberEvent&)>
        memberChanged; //!< Optional; receives changes of a member's state.
};

/*!
    Connects this process to its peers: runs a gRPC server, exchanges views with other members and distributes
    configurations. Thread-safe.
*/
class PeerNode {
public:
    /*!
        \param self this process; with port 0 the system chooses a free port.
        \param security key, certificate and authority files for mutual TLS.
    */
    PeerNode(Schema::Member self, const Schema::SecuritySettings& security, PeerHandlers handlers);
    ~PeerNode();
    PeerNode(const PeerNode&) = delete;
    PeerNode& operator=(const PeerNode&) = delete;

    /*! Starts to listen and to exchange views. \return an error if the address cannot be bound. */
    Utils::Status start();

    /*! Adds the address of a peer to contact. \param address its IP address. \param port its gRPC port. */
    void addSeed(const std::string& address, std::uint32_t port);

    /*! Sets the configuration revision in force, which is reported to peers. */
    void setConfigurationRevision(std::uint64_t revision);

    /*! \return the port that the server listens on; valid after start(). */
    std::uint32_t port() const;

    /*! \return all members known to this process. */
    std::vector<Schema::Member> members() const;

    /*! \return whether this process is among the first \a count members of its role and domain. */
    bool isAmongFirst(std::size_t count) const;

    /*! Fetches the burn samples of all alive entry daemons; blocks. \return one message per daemon. */
    std::vector<Schema::BurnSamples> fetchBurnSamples();

    /*!
        Exchanges the state of slot credits with the other members of this process's role and failure domain;
        does not block. The handler creditReports must be set.
    */
    void exchangeCredits();

    /*! Stops exchanging and notifies the peers that this process leaves. */
    void leave();

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Peering
