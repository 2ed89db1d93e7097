#pragma once

#include <fleet.pb.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Fleet {

/*! A rack of a service as the workers' list shows it. */
struct RackInfo {
    std::string service;
    std::string rack;
    std::string domain; //!< Failure domain.
    std::size_t workers = 0;
};

/*! \return the key of a rack in the map. */
std::string rackKey(const std::string& service, const std::string& rack);

/*!
    Adds the racks that belong to no shard yet.

    Racks of one service and failure domain are put together until a shard has enough workers for wide steps
   whose tasks must run on different workers, and for keeping work that disturbs apart. Racks once mapped stay
   where they are.

    \param racks all racks that are listed.
    \param map the map so far; receives the new entries.
    \return whether an entry was added.
*/
bool assignRacksToShards(std::vector<RackInfo> racks, FleetSchema::RackMap& map);

} // namespace Fleet
