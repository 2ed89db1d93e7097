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

/*! Creates the placement strategy of one shard. */
using PlacerFactory = std::function<std::unique_ptr<Batch::Placer>()>;

/*!
    Runners of all shards in this process's failure domain: one for each rack in the VM list, and one for each
    further shard added by addShard().

    Thread-safe.
*/
class ShardSet {
public:
    /*!
        \param options common to the owners of all shards; the shard's name is filled in.
        \param services must outlive the object.
    */
    ShardSet(Batch::ShardOwnerOptions options, PlacerFactory makePlacer, ShardRunnerServices services);

    /*! Updates the shards' workers from the VM list. \param vms all listed VMs; an empty list is ignored. */
    void setVms(std::span<const Schema::VmEntry* const> vms);

    /*! Sets the configuration in force. */
    void setPolicy(const Schema::PolicyDocument& policy);

    /*! Adds a shard that the table lists, so that its tasks are handled even if its VMs were removed. */
    void addShard(std::string_view shard);

    /*! Executes the actions that are due for all shards; must be called periodically. */
    void tick();

    /*! Starts a planned handover of all shards. */
    void release();

    /*! \return whether the handover of all shards is complete. */
    bool isReleased() const;

    /*! \return metrics in the Prometheus text format. */
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

/*! \return name of the shard that a worker belongs to. */
std::string shardName(const Schema::VmEntry& vm);

} // namespace Scheduling
