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

/*! What a shard's runner works with; all must outlive it. */
struct ShardRunnerServices {
    Platform::TableService& table;
    Platform::WorkerAgent& workers;
    const Utils::Clock& clock;
    boost::asio::thread_pool& tableThreads; //!< Run the calls to the table.
    boost::asio::thread_pool& workerThreads; //!< Run the calls to workers.
};

/*!
    Drives the owner of one shard: carries out its actions on threads and feeds it the answers.

    Safe for use from several threads; no call out is made under its lock. The threads must be joined before
    it is destroyed.
*/
class ShardRunner {
public:
    /*!
        \param options of the owner.
        \param placer chooses workers.
        \param ports what it works with.
    */
    ShardRunner(Batch::ShardOwnerOptions options, std::unique_ptr<Batch::Placer> placer,
        ShardRunnerServices services);

    /*! Does what is due. */
    void tick();

    /*! Takes in the shard's workers. \param workers all listed ones. */
    void setWorkers(std::vector<Schema::VmEntry> workers);

    /*! Takes in the configuration. \param policy the configuration in force. */
    void setPolicy(const Schema::PolicyDocument& policy);

    /*! Starts the planned hand-over. */
    void release();

    /*! \return whether the hand-over is done. */
    bool isReleased() const;

    /*! \return counts for metrics. */
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
