#pragma once

#include "utils/clock.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Emulate {

class VirtualTime;

/*! The operator's evacuations of the failure domains of shards, and what each node has read of them. */
class EmulatedEvacuations {
public:
    //! Time from a request until no attempt may be started on the shard's workers.
    static constexpr std::int64_t boundMs = 5000;

    /*! \param time must outlive the object. */
    EmulatedEvacuations(const VirtualTime& time, std::size_t shardCount, std::size_t nodeCount);

    /*! Adds or withdraws a request to evacuate the shard's domain; several may overlap. */
    void setRequested(std::size_t shard, bool isRequested);

    bool isRequested(std::size_t shard) const { return shards_[shard].requests > 0; }

    /*! \return whether no attempt may be started on the shard's workers. */
    bool isInForce(std::size_t shard) const;

    /*! \return whether the node reads the requests now; changes reach it at once. */
    bool isReadDue(std::size_t node) const;

    /*! Lets a node read the requests. */
    void read(std::size_t node);

    /*! Must be called when the node's process has ended. */
    void forget(std::size_t node) { nodes_[node] = {}; }

    /*! \return whether the node knows of an evacuation of the shard. */
    bool isKnown(std::size_t node, std::size_t shard) const { return nodes_[node].shards.contains(shard); }

    /*! \return the names of the shards that the node knows to be evacuated. */
    std::set<std::string> knownShards(std::size_t node) const;

    /*! \return until when starts of the node may rely on what it knows. */
    Utils::TimePoint knownUntil(std::size_t node) const;

private:
    struct Shard {
        int requests = 0;
        std::int64_t sinceMs = 0; //!< Start of the uninterrupted evacuation.
    };

    struct Node {
        std::set<std::size_t> shards;
        std::int64_t readMs = -1; //!< Time of the latest read; -1 if there was none.
        std::uint64_t version = 0; //!< What it has read.
    };

    const VirtualTime& time_;
    std::vector<Shard> shards_;
    std::vector<Node> nodes_;
    std::uint64_t version_ = 1; //!< Increases with each change of the requests.
};

} // namespace Emulate
