#pragma once

#include "utils/clock.h"

#include <fleet.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

/*! A node's heartbeat row as it was read. */
struct MemberRow {
    FleetSchema::NodeRecord record;
    std::uint64_t version = 0; //!< Of the row; raised by each heartbeat.
};

/*! Owner of a shard with the load that it told. */
struct ShardOwnerInfo {
    std::string node;
    std::string address; //!< Where peers reach it.
    FleetSchema::ShardLoad load;
};

/*!
    Which nodes are alive, as told by their heartbeat rows.

    A node counts as dead when its row has not changed for the timeout, counted only while the rows could be
   read: a node that cannot read the store knows nothing of the others.
*/
class MemberView {
public:
    /*!
        \param self name of this node, which always counts as alive.
        \param timeout time without a heartbeat after which a node counts as dead.
    */
    MemberView(std::string self, Utils::Duration timeout);

    /*!
        Takes in the rows of all nodes.
        \param rows the rows.
        \param now when they were read.
    */
    void update(const std::vector<MemberRow>& rows, Utils::TimePoint now);

    /*! Takes in what a node told directly; its heartbeat row stays what shows that it lives. \param record
     * its state. */
    void updateRecord(const FleetSchema::NodeRecord& record);

    /*! Takes in this node's own present state. \param record the state. */
    void setSelf(const FleetSchema::NodeRecord& record) { self_ = record; }

    /*! \return the nodes that are alive, this one included, by name. */
    std::vector<const FleetSchema::NodeRecord*> aliveNodes() const;

    /*! \param name a node. \return whether it is alive. */
    bool isAlive(const std::string& name) const;

    /*! \return the owner of each shard that a live node owns; the highest epoch prevails. */
    std::map<std::string, ShardOwnerInfo> shardOwners() const;

    /*! \return whether \p name was seen at all, with the last record in \p record. */
    bool lastRecord(const std::string& name, FleetSchema::NodeRecord& record) const;

private:
    struct Member {
        FleetSchema::NodeRecord record;
        std::uint64_t version = 0;
        Utils::TimePoint changedAt {};
    };

    std::string selfName_;
    Utils::Duration timeout_;
    FleetSchema::NodeRecord self_;
    std::map<std::string, Member> members_;
    Utils::TimePoint readAt_ {};
};

} // namespace Fleet
