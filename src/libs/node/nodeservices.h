#pragma once

#include "configuration/configurationcache.h"
#include "daemon/application.h"
#include "peering/peernode.h"
#include "platform/objectstore.h"
#include "platform/tableservice.h"

#include <settings.pb.h>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Schema {
class VmEntry;
}

namespace Node {

/*! Settings that all daemons share. */
struct NodeSettings {
    Schema::NodeSettings node;
    Schema::ListenSettings listen;
    Schema::PlatformSettings platform;
    std::vector<Schema::PeerSettings> peers;
    Schema::SecuritySettings security;
    std::string role; //!< "entry", "schedule" or "console".
};

/*!
    Extracts the shared settings from the settings of any daemon.
    \param role role of the daemon: "entry", "schedule" or "console".
*/
template <typename DaemonSettings>
NodeSettings sharedSettings(const DaemonSettings& settings, std::string role)
{
    return { settings.node(), settings.listen(), settings.platform(),
        { settings.peer().begin(), settings.peer().end() }, settings.security(), std::move(role) };
}

/*! Callbacks of NodeServices into its daemon; called on threads of NodeServices. */
struct NodeHandlers {
    std::function<void(const Schema::PolicyDocument&)>
        policyChanged; //!< Receives a configuration that came into force.
    std::function<void(std::span<const Schema::VmEntry* const>)>
        vmsListed; //!< Receives the VM list after each read.
    std::function<Schema::BurnSamples()> burnSamples; //!< Optional; returns the counts for the burn report.
    std::function<Schema::CreditReports()>
        creditReports; //!< Optional; returns the state of slot credits for peers.
    std::function<void(const Schema::CreditReports&, Utils::TimePoint)>
        creditsReported; //!< Receives a peer's state of slot credits, and the time when it was requested or
                         //!< TimePoint::min() if it was not; must be set if creditReports is set.
    std::function<void(const Membership::MemberEvent&)>
        memberChanged; //!< Optional; receives changes of a member's state.
};

/*!
    Services that every daemon uses: the adapters to the platform, the configuration in force, the VM list and
    the peers.

    Only a few processes of a failure domain poll the table often. The others learn new configurations from
    their peers and poll rarely, in case none of those few is alive.
*/
class NodeServices {
public:
    /*!
        \param readiness receives the conditions "configuration" and "vm-list"; must outlive this object.
    */
    NodeServices(const NodeSettings& settings, Daemon::Readiness& readiness, NodeHandlers handlers);
    ~NodeServices();
    NodeServices(const NodeServices&) = delete;
    NodeServices& operator=(const NodeServices&) = delete;

    /*! Starts the peer node and the polls. \return an error if the peer address cannot be bound. */
    Utils::Status start();

    /*! Stops the polls and notifies the peers that this process leaves. */
    void stop();

    Platform::TableService& table();

    Platform::ObjectStore& objects();

    /*! \return the cache of the configuration in force. */
    const Configuration::ConfigurationCache& configuration() const;

    /*! Polls the configuration at once, for example after this process accepted a change. */
    void pollConfigurationNow();

    /*! \return the connection of this process to its peers. */
    Peering::PeerNode& peers();

    /*! \return the metrics of configuration and membership in the Prometheus text format. */
    std::string metrics() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Node
