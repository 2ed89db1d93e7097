#pragma once

#include "utils/clock.h"

#include <fleet.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

/*! A node's heartbeat row. */
struct MemberRow {
    FleetSchema::NodeRecord record;
    std::uint64_t version = 0; //!< Version of the row; each heartbeat raises it.
};

/*! Owner of a shard with the load that it reported. */
struct ShardOwnerInfo {
    std::string node;
    std::string address; //!< Address for calls of peers.
    FleetSchema::ShardLoad load;
    bool isSilent = false; //!< It has missed heartbeats but does not count as dead yet.
};

/*! A relay's view of the members, as last received. */
struct RelayedView {
    std::uint64_t relay = 0; //!< Incarnation of the relay; 0: there is no view.
    std::uint64_t revision = 0;
    std::uint64_t storeVersion = 0; //!< Rows up to this version are part of the view.
};

/*!
    Tracks which nodes are alive by their heartbeat rows.

    A node counts as dead when its row has not changed for the timeout. Only time in which the rows
    could be read counts: a node that cannot read the store knows nothing about the others.
*/
class MemberView {
public:
    /*!
        \param self name of this node, which always counts as alive.
        \param timeout time without a heartbeat after which a node counts as dead.
    */
    MemberView(std::string self, Utils::Duration timeout);

    /*!
        Updates the members from the heartbeat rows of all nodes, read at \p now.

        \param storeVersion newest version in the store when the rows were read; 0: unknown.
    */
    void update(const std::vector<MemberRow>& rows, Utils::TimePoint now, std::uint64_t storeVersion = 0);

    /*!
        Updates the members from a relay's reply.

        \return false if the reply does not fit this view, which then stays as it is.
    */
    bool applyRelayed(const FleetSchema::MembersReply& reply, Utils::TimePoint now);

    /*!
        \param revision revision of the view that the requester has; 0: none.
        \return the changes since then, for applyRelayed() of another node.
    */
    FleetSchema::MembersReply changesSince(std::uint64_t revision) const;

    /*! \return relay and revision of the view that applyRelayed() last made; no relay after update(). */
    const RelayedView& relayedView() const { return relayedView_; }

    /*! Updates a node's record from a direct message. Only its heartbeat row shows that the node is alive. */
    void updateRecord(const FleetSchema::NodeRecord& record);

    /*! Sets this node's own record. */
    void setSelf(const FleetSchema::NodeRecord& record) { self_ = record; }

    const FleetSchema::NodeRecord& self() const { return self_; }

    /*!
        \return the records of the nodes that are alive, this one included, sorted by name; valid until the
            next change.
    */
    std::vector<const FleetSchema::NodeRecord*> aliveNodes() const;

    bool isAlive(const std::string& name) const;

    /*! \return whether a node's row has not changed for half of the timeout. */
    bool isSilent(const std::string& name) const;

    /*! \return the owner of each shard that a live node owns; of several, the one with the highest epoch. */
    std::map<std::string, ShardOwnerInfo> shardOwners() const;

    /*!
        Copies the last known record of a node, dead or alive, to \p record.

        \return false if the node is unknown.
    */
    bool lastRecord(const std::string& name, FleetSchema::NodeRecord& record) const;

private:
    struct Member {
        FleetSchema::NodeRecord record;
        std::uint64_t version = 0;
        Utils::TimePoint changedAt {}; //!< When the row was last known to change.
        std::uint64_t revision = 0; //!< Revision of the view in which the record last changed.
    };

    std::string selfName_;
    Utils::Duration timeout_;
    FleetSchema::NodeRecord self_;
    std::map<std::string, Member> members_;
    Utils::TimePoint readAt_ {};
    std::uint64_t storeVersion_ = 0; //!< Newest version in the store when the rows of the view were read.
    std::uint64_t revision_ = 0; //!< Incremented with each update().
    RelayedView relayedView_;
};

} // namespace Fleet
