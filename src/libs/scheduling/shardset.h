#pragma once

#include "shardrunner.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace Scheduling {

/*! Makes the placement strategy of one shard. */
using PlacerFactory = std::function<std::unique_ptr<Batch::Placer>()>;

/*!
    All shards of this process's failure domain: one for each rack that the VM list names.

    Safe for use from several threads.
*/
class ShardSet {
public:
    /*!
        \param options of each shard's owner; the shard's name is filled in.
        \param makePlacer makes a shard's placement strategy.
        \param ports what the runners work with.
    */
    ShardSet(Batch::ShardOwnerOptions options, PlacerFactory makePlacer, ShardRunnerServices services);

    /*! Takes in the VM list. \param vms all listed VMs; an empty list counts as not read. */
    void setVms(std::span<const Schema::VmEntry* const> vms);

    /*! Takes in the configuration. \param policy the configuration in force. */
    void setPolicy(const Schema::PolicyDocument& policy);

    /*! Adds a shard that the table names, so that its tasks are looked after if its VMs are gone. */
    void addShard(std::string_view shard);

    /*! Does what is due at all shards. */
    void tick();

    /*! Starts the planned hand-over of all shards. */
    void release();

    /*! \return whether all shards are handed over. */
    bool isReleased() const;

    /*! \return metrics as Prometheus text. */
    std::string metrics() const;

private:
    using Runners = std::map<std::string, std::unique_ptr<ShardRunner>, std::less<>>;

    ShardRunner& findOrCreateRunner(std::string_view shard);
    std::vector<ShardRunner*> allRunners() const;

    Batch::ShardOwnerOptions options_;
    PlacerFactory makePlacer_;
    ShardRunnerServices services_;
    mutable std::mutex mutex_;
    Runners runners_;
    Schema::PolicyDocument policy_;
    bool isReleasing_ = false;
};

/*! \return the shard that a worker belongs to. \param vm the worker. */
std::string shardName(const Schema::VmEntry& vm);

} // namespace Scheduling
