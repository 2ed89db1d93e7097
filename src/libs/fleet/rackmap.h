#pragma once

#include <fleet.pb.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Fleet {

/*! A rack of a service according to the list of workers. */
struct RackInfo {
    std::string service;
    std::string rack;
    std::string domain; //!< Failure domain.
    std::size_t workerCount = 0;
};

/*! \return the key of a rack in FleetSchema::RackMap. */
std::string rackKey(const std::string& service, const std::string& rack);

/*!
    Assigns racks that do not belong to a shard yet to shards.

    Racks of one service and failure domain are added to a shard until it has enough workers for wide
    steps whose tasks must run on different workers, and for keeping tasks apart that interfere with each
    other. Existing assignments never change.

    \param racks all listed racks.
    \param map the existing assignments; receives the new ones.
    \return whether an assignment was added.
*/
bool assignRacksToShards(std::vector<RackInfo> racks, FleetSchema::RackMap& map);

} // namespace Fleet
