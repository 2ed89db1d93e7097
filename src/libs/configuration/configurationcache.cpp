#include "configurationcache.h"

#include "policy.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace Configuration {

namespace {

struct ReaderSlot {
    mutable std::mutex mutex;
    std::shared_ptr<const ConfigurationInForce> inForce;
};

} // namespace

struct ConfigurationCache::Private {
    explicit Private(std::size_t slotCount)
        : slots(slotCount)
    {
    }

    std::mutex writerMutex; // Serializes offers; never locked by readers.
    std::shared_ptr<const ConfigurationInForce> latest; // Guarded by writerMutex.
    std::vector<ReaderSlot> slots;
    std::atomic<std::uint64_t> revision { 0 };
};

ConfigurationCache::ConfigurationCache(std::size_t slotCount)
    : d_(std::make_unique<Private>(slotCount))
{
}

ConfigurationCache::~ConfigurationCache() = default;

OfferResult ConfigurationCache::offer(const Schema::AcceptedConfiguration& accepted)
{
    const std::lock_guard<std::mutex> guard(d_->writerMutex);
    const std::uint64_t currentRevision = d_->latest ? d_->latest->accepted.revision() : 0;
    if (accepted.revision() == 0 || accepted.revision() < currentRevision)
        return { OfferOutcome::NotNewer, {} };
    if (accepted.revision() == currentRevision) {
        const bool isSameDigest = accepted.digest() == d_->latest->accepted.digest();
        return { isSameDigest ? OfferOutcome::NotNewer : OfferOutcome::Conflicting, {} };
    }
    if (policyDigest(accepted.text()) != accepted.digest())
        return { OfferOutcome::Invalid, { { "policy", {}, {}, "digest does not match the text" } } };
    ParsedPolicy parsed = parsePolicy(accepted.text());
    if (auto* faults = std::get_if<std::vector<Settings::Fault>>(&parsed))
        return { OfferOutcome::Invalid, std::move(*faults) };
    d_->latest = std::make_shared<const ConfigurationInForce>(
        ConfigurationInForce { accepted, std::get<Schema::PolicyDocument>(std::move(parsed)) });
    for (ReaderSlot& slot : d_->slots) {
        const std::lock_guard<std::mutex> slotGuard(slot.mutex);
        slot.inForce = d_->latest;
    }
    d_->revision.store(accepted.revision(), std::memory_order_release);
    return { OfferOutcome::Applied, {} };
}

std::shared_ptr<const ConfigurationInForce> ConfigurationCache::current() const
{
    const std::size_t threadHash = std::hash<std::thread::id> {}(std::this_thread::get_id());
    const ReaderSlot& slot = d_->slots[threadHash % d_->slots.size()];
    const std::lock_guard<std::mutex> guard(slot.mutex);
    return slot.inForce;
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
