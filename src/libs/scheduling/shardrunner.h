#pragma once

#include "batch/shardowner.h"
#include "platform/tableservice.h"
#include "platform/workeragent.h"
#include "utils/clock.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace boost::asio {
class thread_pool;
}

namespace Scheduling {

/*! Services that a shard runner uses; all must outlive it. */
struct ShardRunnerServices {
    Platform::TableService& table;
    Platform::WorkerAgent& workers;
    const Utils::Clock& clock;
    boost::asio::thread_pool& tableThreads; //!< For blocking calls to the table.
    boost::asio::thread_pool& workerThreads; //!< For blocking calls to workers.
};

/*!
    Drives the owner of one shard: executes its actions on thread pools and passes the results back to it.

    Thread-safe; never calls a service while holding its lock. The thread pools must be joined before the
    runner is destroyed.
*/
class ShardRunner {
public:
    ShardRunner(Batch::ShardOwnerOptions options, std::unique_ptr<Batch::Placer> placer,
        ShardRunnerServices services);

    /*! Executes the actions that are due; must be called periodically. */
    void tick();

    /*! Replaces the list of the shard's workers. */
    void setWorkers(std::vector<Schema::VmEntry> workers);

    /*! Sets the configuration in force. */
    void setPolicy(const Schema::PolicyDocument& policy);

    /*! Starts a planned handover of the shard. */
    void release();

    /*! \return whether the handover is complete. */
    bool isReleased() const;

    /*! \return counters for metrics. */
    Batch::ShardOwnerStatistics statistics() const;

private:
    void executeActions(Batch::Actions actions);
    void commit(const Schema::CommitRequest& request);
    void read(const Batch::ReadAction& action);
    void scan(const Batch::ScanAction& action);
    void sendCommands(const Batch::SendAction& action);
    void logOwnershipChange(const Batch::ShardOwnerStatistics& statistics);

    const std::string shard_;
    std::unique_ptr<Batch::Placer> placer_;
    ShardRunnerServices services_;
    mutable std::mutex mutex_;
    Batch::ShardOwner owner_;
    std::map<std::string, Schema::VmEntry> workers_;
    bool wasOwner_ = false;
};

} // namespace Scheduling
