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
    Persistent index that maps each job to the shard that holds it.

    The first node to write a job's entry wins; entries are never changed. Concurrent writes to the same
    partition of the index share a transaction.
*/
class JobIndex {
public:
    using ShardHandler = std::function<void(const Utils::Result<std::string>&)>;

    explicit JobIndex(NodeContext& context);

    /*!
        Assigns a job to \p shard unless it is already assigned.
        \param handler receives the shard that holds the job, or the error of the store; after OutcomeUnknown,
               the entry may or may not have been written.
    */
    void assign(const std::string& job, const std::string& shard, ShardHandler handler);

    /*! Finds the shard of a job. \param handler receives the shard, NotFound or the store's error. */
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
    std::vector<std::string> cacheRing_; //!< Ring of the cached jobs; the oldest one is at nextCacheSlot_.
    std::size_t nextCacheSlot_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
