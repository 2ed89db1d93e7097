#pragma once

#include "nodecontext.h"

#include <fleet.pb.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace FleetNode {

/*! Groups workers by shard according to the rack map in the store. */
class RackDirectory {
public:
    explicit RackDirectory(NodeContext& context);

    /*! Replaces the list of workers. */
    void setWorkers(const std::vector<Ports::WorkerInfo>& workers);

    /*! Updates the rack map from its row. \return whether the row has changed. */
    bool setMapRow(const Ports::Row& row);

    /*! Adds racks without a shard to the rack map in the store; of concurrent writes, the first one wins. */
    void addUnmappedRacks();

    /*! \return the workers of each shard, including shards that have none at present. */
    const std::map<std::string, std::vector<Ports::WorkerInfo>>& workersByShard() const
    {
        return workersByShard_;
    }

    std::vector<Ports::WorkerInfo> workersOf(const std::string& shard) const;

    /*! \return the failure domain of a shard's workers; empty if no worker was ever listed. */
    std::string domainOf(const std::string& shard) const;

private:
    void groupWorkers();

    NodeContext& context_;
    std::vector<Ports::WorkerInfo> workers_;
    std::map<std::string, std::vector<Ports::WorkerInfo>> workersByShard_;
    std::map<std::string, std::string> domainByShard_;
    FleetSchema::RackMap map_;
    std::uint64_t mapVersion_ = 0; //!< Version of the map's row; 0: there is no row.
};

} // namespace FleetNode
