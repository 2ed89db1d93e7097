#include "jobindex.h"

#include "utils/log/log.h"

#include <xxhash.h>

namespace FleetNode {

namespace {

// Limits the memory of the cache to about 1 MB; a full cache drops its oldest entry.
constexpr std::size_t maxCachedEntries = 8192;
// The store commits the transactions of one partition one at a time, so the index is spread over several
// partitions.
constexpr unsigned partitionCount = 4;
// The store accepts up to 100 entries per transaction, and each row takes a condition and a put. Further rows
// wait for the next one.
constexpr std::size_t maxEntriesInTransaction = 45;
// Maximum number of writes of an entry, including the first one. If all fail, the submission fails, and the
// caller is expected to retry it.
constexpr int maxWriteAttempts = 2;

std::string partitionOf(const std::string& job)
{
    return "i" + std::to_string(XXH32(job.data(), job.size(), 0) % partitionCount);
}

} // namespace

JobIndex::JobIndex(NodeContext& context)
    : context_(context)
{
}

void JobIndex::addToCache(const std::string& job, const std::string& shard)
{
    if (!cachedShards_.insert_or_assign(job, shard).second)
        return;
    if (cacheRing_.size() < maxCachedEntries) {
        cacheRing_.push_back(job);
        return;
    }
    cachedShards_.erase(cacheRing_[nextCacheSlot_]);
    cacheRing_[nextCacheSlot_] = job;
    nextCacheSlot_ = (nextCacheSlot_ + 1) % maxCachedEntries;
}

void JobIndex::assign(const std::string& job, const std::string& shard, ShardHandler handler)
{
    const auto known = cachedShards_.find(job);
    if (known != cachedShards_.end())
        return handler(known->second);
    const std::string name = partitionOf(job);
    Partition& partition = partitions_[name];
    const auto existing = partition.inProgress.find(job);
    Entry& entry = existing == partition.inProgress.end() ? partition.waiting[job] : existing->second;
    if (entry.shard.empty())
        entry.shard = shard;
    entry.handlers.push_back(std::move(handler));
    writeWaiting(name);
}

void JobIndex::writeWaiting(const std::string& name)
{
    Partition& partition = partitions_[name];
    if (partition.isBusy || partition.waiting.empty())
        return;
    partition.isBusy = true;
    Ports::Transaction transaction;
    while (!partition.waiting.empty() && partition.inProgress.size() < maxEntriesInTransaction) {
        auto node = partition.waiting.extract(partition.waiting.begin());
        const Ports::RowKey row { jobIndexTable, name, node.key() };
        transaction.conditions.push_back({ row, 0 });
        transaction.puts.push_back({ row, node.mapped().shard });
        partition.inProgress.insert(std::move(node));
    }
    context_.store.commit(transaction,
        [this, weak = std::weak_ptr<bool>(alive_), name](
            const Utils::Result<Ports::TransactionOutcome>& result) {
            if (weak.lock())
                onOutcome(name, result);
        });
}

void JobIndex::onOutcome(const std::string& name, const Utils::Result<Ports::TransactionOutcome>& result)
{
    Partition& partition = partitions_[name];
    partition.isBusy = false;
    if (!Utils::isOk(result)) {
        onFailure(partition, Utils::error(result));
        return writeWaiting(name);
    }
    const Ports::TransactionOutcome& outcome = Utils::value(result);
    std::map<std::string, Entry> entries = std::move(partition.inProgress);
    partition.inProgress.clear();
    std::vector<std::pair<std::string, std::vector<ShardHandler>>> decided;
    for (const Ports::Row& row : outcome.current) {
        const auto found = entries.find(row.name.key);
        if (found == entries.end() || row.version == 0 || row.isDeleted || row.value.empty())
            continue;
        addToCache(row.name.key, row.value);
        decided.emplace_back(row.value, std::move(found->second.handlers));
        entries.erase(found);
    }
    for (auto& [job, entry] : entries) {
        if (outcome.isCommitted) {
            addToCache(job, entry.shard);
            decided.emplace_back(entry.shard, std::move(entry.handlers));
        } else {
            partition.waiting[job] = std::move(entry);
        }
    }
    writeWaiting(name);
    for (const auto& [shard, handlers] : decided) {
        for (const ShardHandler& handler : handlers)
            handler(shard);
    }
}

// Writing an entry again is safe, because the first write wins.
void JobIndex::onFailure(Partition& partition, const Utils::Error& error)
{
    Utils::logError("job-index-write-failed", error);
    std::map<std::string, Entry> entries = std::move(partition.inProgress);
    partition.inProgress.clear();
    for (auto& [job, entry] : entries) {
        if (++entry.writeAttempts < maxWriteAttempts && error.code != Utils::ErrorCode::Refused) {
            partition.waiting[job] = std::move(entry);
            continue;
        }
        for (const ShardHandler& handler : entry.handlers)
            handler(error);
    }
}

void JobIndex::find(const std::string& job, ShardHandler handler)
{
    const auto known = cachedShards_.find(job);
    if (known != cachedShards_.end())
        return handler(known->second);
    Ports::RowRange range;
    range.table = jobIndexTable;
    range.partition = partitionOf(job);
    range.from = job;
    range.limit = 1;
    context_.store.read(range,
        [this, weak = std::weak_ptr<bool>(alive_), job, handler = std::move(handler)](
            const Utils::Result<Ports::RowPage>& result) {
            if (!weak.lock())
                return;
            if (!Utils::isOk(result))
                return handler(Utils::error(result));
            const std::vector<Ports::Row>& rows = Utils::value(result).rows;
            if (rows.empty() || rows.front().name.key != job) {
                return handler(
                    Utils::Error { Utils::ErrorCode::NotFound, "index.find", {}, "no such job: " + job });
            }
            addToCache(job, rows.front().value);
            handler(rows.front().value);
        });
}

} // namespace FleetNode
