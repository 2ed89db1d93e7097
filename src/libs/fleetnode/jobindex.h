#pragma once

#include "nodecontext.h"
#include "timer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace FleetNode {

/*!
    Which shard holds which job.

    The first node that writes a job's entry decides; entries are never changed. Entries of one partition that
   come together share a transaction.
*/
class JobIndex {
public:
    using ShardHandler = std::function<void(const Utils::Result<std::string>&)>;

    /*! \param context what the node shares. */
    explicit JobIndex(NodeContext& context);

    /*!
        Assigns a job to a shard unless it is assigned already.
        \param job the job.
        \param shard the shard wanted.
        \param handler receives the shard that holds it; OutcomeUnknown if the entry may or may not be
       written.
    */
    void assign(const std::string& job, const std::string& shard, ShardHandler handler);

    /*!
        Finds the shard of a job.
        \param job the job.
        \param handler receives the shard, or NotFound.
    */
    void find(const std::string& job, ShardHandler handler);

private:
    struct Entry {
        std::string shard;
        std::vector<ShardHandler> handlers;
        int writeAttempts = 0;
    };

    struct Partition {
        std::map<std::string, Entry> waiting;
        std::map<std::string, Entry> inProgress;
        bool isBusy = false;
    };

    void writeWaiting(const std::string& partition);
    void onOutcome(const std::string& partition, const Utils::Result<Ports::TransactionOutcome>& result);
    void onFailure(Partition& partition, const Utils::Error& error);
    void addToCache(const std::string& job, const std::string& shard);

    NodeContext& context_;
    std::map<std::string, Partition> partitions_;
    std::unordered_map<std::string, std::string> cachedShards_;
    std::vector<std::string> cacheRing_; //!< Ring of the jobs in known_, oldest first from nextKnown_.
    std::size_t nextCacheSlot_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
