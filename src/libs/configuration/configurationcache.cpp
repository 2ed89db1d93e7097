#include "configurationcache.h"

#include "policy.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace Configuration {

namespace {

struct ReaderShard {
    mutable std::mutex mutex;
    std::shared_ptr<const ConfigurationInForce> inForce;
};

} // namespace

struct ConfigurationCache::Private {
    explicit Private(std::size_t shardCount)
        : shards(shardCount)
    {
    }

    std::mutex writer; // Orders offers; readers never take it.
    std::shared_ptr<const ConfigurationInForce> newest; // Under writer.
    std::vector<ReaderShard> shards;
    std::atomic<std::uint64_t> revision { 0 };
};

ConfigurationCache::ConfigurationCache(std::size_t shardCount)
    : d_(std::make_unique<Private>(shardCount))
{
}

ConfigurationCache::~ConfigurationCache() = default;

OfferResult ConfigurationCache::offer(const Schema::AcceptedConfiguration& accepted)
{
    const std::lock_guard<std::mutex> guard(d_->writer);
    const std::uint64_t known = d_->newest ? d_->newest->accepted.revision() : 0;
    if (accepted.revision() == 0 || accepted.revision() < known)
        return { OfferOutcome::NotNewer, {} };
    if (accepted.revision() == known) {
        const bool same = accepted.digest() == d_->newest->accepted.digest();
        return { same ? OfferOutcome::NotNewer : OfferOutcome::Conflicting, {} };
    }
    if (policyDigest(accepted.text()) != accepted.digest())
        return { OfferOutcome::Invalid, { { "policy", {}, {}, "digest does not match the text" } } };
    ParsedPolicy parsed = parsePolicy(accepted.text());
    if (auto* faults = std::get_if<std::vector<Settings::Fault>>(&parsed))
        return { OfferOutcome::Invalid, std::move(*faults) };
    d_->newest = std::make_shared<const ConfigurationInForce>(
        ConfigurationInForce { accepted, std::get<Schema::PolicyDocument>(std::move(parsed)) });
    for (ReaderShard& shard : d_->shards) {
        const std::lock_guard<std::mutex> shardGuard(shard.mutex);
        shard.inForce = d_->newest;
    }
    d_->revision.store(accepted.revision(), std::memory_order_release);
    return { OfferOutcome::Applied, {} };
}

std::shared_ptr<const ConfigurationInForce> ConfigurationCache::current() const
{
    const std::size_t thread = std::hash<std::thread::id> {}(std::this_thread::get_id());
    const ReaderShard& shard = d_->shards[thread % d_->shards.size()];
    const std::lock_guard<std::mutex> guard(shard.mutex);
    return shard.inForce;
}

std::uint64_t ConfigurationCache::revision() const
{
    return d_->revision.load(std::memory_order_acquire);
}

bool ConfigurationCache::isReady() const
{
    return revision() != 0;
}

} // namespace Configuration
