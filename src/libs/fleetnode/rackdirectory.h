#pragma once

#include "nodecontext.h"

#include <fleet.pb.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace FleetNode {

/*! Which workers belong to which shard, by the map of racks in the store. */
class RackDirectory {
public:
    /*! \param context what the node shares. */
    explicit RackDirectory(NodeContext& context);

    /*! Takes in the list of workers. \param workers all that are listed. */
    void setWorkers(const std::vector<Ports::WorkerInfo>& workers);

    /*! Takes in the map's row. \param row the row. \return whether it has changed. */
    bool setMapRow(const Ports::Row& row);

    /*! Adds racks that belong to no shard to the map in the store; if two nodes do so, the first one wins. */
    void addUnmappedRacks();

    /*! \return the workers of each shard; shards without listed workers included. */
    const std::map<std::string, std::vector<Ports::WorkerInfo>>& workersByShard() const
    {
        return workersByShard_;
    }

    /*! \param shard a shard. \return its workers. */
    std::vector<Ports::WorkerInfo> workersOf(const std::string& shard) const;

    /*! \param shard a shard. \return the failure domain of its workers; empty if none was ever listed. */
    std::string domainOf(const std::string& shard) const;

private:
    void groupWorkers();

    NodeContext& context_;
    std::vector<Ports::WorkerInfo> workers_;
    std::map<std::string, std::vector<Ports::WorkerInfo>> workersByShard_;
    std::map<std::string, std::string> domainByShard_;
    FleetSchema::RackMap map_;
    std::uint64_t mapVersion_ = 0; //!< Of the map's row; 0: there is none.
};

} // namespace FleetNode
