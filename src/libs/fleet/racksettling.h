#pragma once

#include "rackmap.h"

#include "utils/clock.h"

#include <map>
#include <span>
#include <string>

namespace Fleet {

/*!
    Tells when the workers of new racks are listed completely enough to assign the racks to shards.

    Workers that start together register one after the other, spread over all their racks. Racks that are
    counted too early look nearly empty, so that one shard would get all racks of its failure domain for good.
*/
class RackSettling {
public:
    /*!
        Updates the number of listed workers of the racks that belong to no shard.

        \param readAt when the list of workers was read; repeated calls with the same list have no effect.
    */
    void update(std::span<const RackInfo> unassignedRacks, Utils::TimePoint readAt);

    /*! \return whether racks of this service and failure domain can be assigned now. */
    bool isSettled(const std::string& service, const std::string& domain) const;

private:
    /*! Unassigned racks of one service and failure domain. */
    struct Group {
        std::size_t workerCount = 0;
        Utils::TimePoint firstSeenAt {};
        Utils::TimePoint grewAt {}; //!< When the number of workers last rose.
    };

    Utils::TimePoint readAt_ {};

    std::map<std::pair<std::string, std::string>, Group> groups_; //!< By service and failure domain.
};

} // namespace Fleet
