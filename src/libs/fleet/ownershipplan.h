#pragma once

#include <map>
#include <string>
#include <vector>

namespace Fleet {

/*! A shard as input of the ownership plan. */
struct ShardInfo {
    std::string shard;
    std::string domain; //!< Failure domain of its workers.
    std::string owner; //!< Live owner; empty if there is none.
    bool hasUnconfirmedAttempts = false; //!< The owner waits for workers that it has not heard of yet.
};

/*! A node that can own shards. */
struct NodeInfo {
    std::string name;
    std::string domain;
    std::string region;
    bool isLeaving = false;
    double processors = 1; //!< Processors that the node may use.
};

/*! A shard and the node that is to own it. */
struct ShardAssignment {
    std::string shard;
    std::string node;
};

/*!
    Chooses owners for shards without one.

    Every node computes the same plan from the same view; the store decides races between different
    views. A shard goes to the node that then has the most processors per shard; among equals, to a node
    in the shard's failure domain, then to one in its region.

    \param nodes the live nodes sorted by name.
    \param regionByDomain region of each failure domain.
    \return a node for each shard without an owner; empty if no node can own any.
*/
std::vector<ShardAssignment> planOrphanAssignments(const std::vector<ShardInfo>& shards,
    const std::vector<NodeInfo>& nodes, const std::map<std::string, std::string>& regionByDomain);

/*!
    Chooses shards to hand over so that the nodes own about equally many shards per processor.

    \param self name of this node.
    \param nodes the live nodes sorted by name.
    \param regionByDomain region of each failure domain.
    \return at most one of this node's shards without unconfirmed attempts, with its new owner; all shards if
        this node is leaving.
*/
std::vector<ShardAssignment> planHandovers(const std::string& self, const std::vector<ShardInfo>& shards,
    const std::vector<NodeInfo>& nodes, const std::map<std::string, std::string>& regionByDomain);

} // namespace Fleet
