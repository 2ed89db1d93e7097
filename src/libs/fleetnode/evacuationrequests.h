#pragma once

#include "nodecontext.h"
#include "tablewatcher.h"

#include <set>
#include <string>

namespace FleetNode {

/*!
    The failure domains whose evacuation the operator requests, as this node last read them.

    The operator's rows are the only state: a node that starts, wakes from a pause or takes a shard over reads
    them again. Until it has, and whenever the latest read is too old, it must start nothing, because a
    request that it does not know may be in force.
*/
class EvacuationRequests {
public:
    explicit EvacuationRequests(NodeContext& context);

    /*! \return whether the settings say that the operator may evacuate failure domains. */
    bool areInForce() const;

    /*! Updates the domains from the operator's rows, and logs what has changed. */
    void update(const TableWatcher::Rows& rows);

    /*! \return the evacuated failure domains. */
    const std::set<std::string>& domains() const { return domains_; }

    /*!
        \param readAt when the operator's rows were last known to be current; the clock's epoch if never.
        \return until when starts may rely on domains().
    */
    Utils::TimePoint knownUntil(Utils::TimePoint readAt) const;

    /*! Logs each evacuated domain once that is not among \p knownDomains. */
    void reportUnknown(const std::set<std::string>& knownDomains);

private:
    NodeContext& context_;
    std::set<std::string> domains_;
    std::set<std::string> reportedDomains_; //!< Logged as unknown.
};

} // namespace FleetNode
