#pragma once

#include "nodecontext.h"

#include "fleet/racksettling.h"

#include <fleet.pb.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace FleetNode {

/*!
    Groups workers by shard according to the rack map in the store.

    The map alone tells which shards exist, so only nodes that own shards need a list of workers.
*/
class RackDirectory {
public:
    explicit RackDirectory(NodeContext& context);

    /*! Replaces the list of workers. \param readAt when the list started to be read. */
    void setWorkers(const std::vector<Ports::WorkerInfo>& workers, Utils::TimePoint readAt);

    /*! Updates the rack map from its row. \return whether the row has changed. */
    bool setMapRow(const Ports::Row& row);

    /*!
        Adds racks without a shard to the rack map in the store once their workers are listed; of concurrent
        writes, the first one wins.
    */
    void addUnmappedRacks();

    /*! \return the shards of the rack map, including those that have no workers at present. */
    std::set<std::string> shards() const;

    std::vector<Ports::WorkerInfo> workersOf(const std::string& shard) const;

    /*! \return the failure domain of a shard's workers; empty if it is not known. */
    std::string domainOf(const std::string& shard) const;

private:
    void groupWorkers();
    std::vector<Fleet::RackInfo> listedRacks() const;
    bool isMapped(const Fleet::RackInfo& rack) const;

    NodeContext& context_;
    std::vector<Ports::WorkerInfo> workers_;
    Utils::TimePoint workersReadAt_ {};
    std::map<std::string, std::vector<Ports::WorkerInfo>> workersByShard_;
    std::map<std::string, std::string> domainByShard_; //!< According to the list of workers.
    Fleet::RackSettling settling_;
    FleetSchema::RackMap map_;
    std::uint64_t mapVersion_ = 0; //!< Version of the map's row; 0: there is no row.
};

} // namespace FleetNode
