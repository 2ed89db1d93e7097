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

/*! The settings that all daemons share. */
struct NodeSettings {
    Schema::NodeSettings node;
    Schema::ListenSettings listen;
    Schema::PlatformSettings platform;
    std::vector<Schema::PeerSettings> peers;
    Schema::SecuritySettings security;
    std::string role; //!< "entry", "schedule" or "console".
};

/*!
    Takes the shared settings out of a daemon's settings.
    \param settings settings of any daemon.
    \param role the daemon's role.
    \return the shared settings.
*/
template <typename DaemonSettings>
NodeSettings sharedSettings(const DaemonSettings& settings, std::string role)
{
    return { settings.node(), settings.listen(), settings.platform(),
        { settings.peer().begin(), settings.peer().end() }, settings.security(), std::move(role) };
}

/*! What a daemon does when its surroundings change; called on threads of NodeServices. */
struct NodeHandlers {
    std::function<void(const Schema::PolicyDocument&)> policy; //!< Another configuration is in force.
    std::function<void(std::span<const Schema::VmEntry* const>)> vms; //!< The VM list was read.
    std::function<Schema::BurnSamples()> burn; //!< Counts for the burn report; may be empty.
    std::function<Schema::CreditReports()> credits; //!< State of slot credits for peers; may be empty.
    std::function<void(const Schema::CreditReports&, Utils::TimePoint)>
        creditsTold; //!< A peer's state of slot credits; set with credits.
    std::function<void(const Membership::MemberEvent&)> member; //!< A member's state changed; may be empty.
};

/*!
    What every daemon shares: the platform's adapters, the configuration in force, the VM list and the peers.

    Few processes of a domain poll the table; the others learn a new configuration from their peers and
    poll seldom, in case none of the first is left.
*/
class NodeServices {
public:
    /*!
        \param settings the shared settings.
        \param readiness receives the conditions "configuration", "vm-list" and "platform".
        \param handlers what to do on changes.
    */
    NodeServices(const NodeSettings& settings, Daemon::Readiness& readiness, NodeHandlers handlers);
    ~NodeServices();
    NodeServices(const NodeServices&) = delete;
    NodeServices& operator=(const NodeServices&) = delete;

    /*! Starts peers and polls. \return an error if the peers' address cannot be taken. */
    Utils::Status start();

    /*! Leaves the peers as planned and stops the polls. */
    void stop();

    /*! \return the platform's table service. */
    Platform::TableService& table();

    /*! \return the platform's object store. */
    Platform::ObjectStore& objects();

    /*! \return the configuration in force. */
    const Configuration::ConfigurationCache& configuration() const;

    /*! Polls the configuration now, for example after a change was accepted here. */
    void pollNow();

    /*! \return this process among its peers. */
    Peering::PeerNode& peers();

    /*! \return metrics of configuration and membership as Prometheus text. */
    std::string metrics() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Node
