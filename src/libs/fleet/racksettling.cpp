#include "racksettling.h"

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Shorter than the interval in which the list of workers is read, so that one more read without new workers
// suffices: while workers register, some are new in nearly every read.
constexpr milliseconds settlingTime { 500 };
// Racks whose workers keep registering one by one are assigned nevertheless after this time, as their
// capacity cannot be used before.
constexpr milliseconds maxSettlingTime { 6000 };

} // namespace

void RackSettling::update(std::span<const RackInfo> unassignedRacks, Utils::TimePoint readAt)
{
    readAt_ = readAt;
    std::map<std::pair<std::string, std::string>, std::size_t> workerCounts;
    for (const RackInfo& rack : unassignedRacks)
        workerCounts[{ rack.service, rack.domain }] += rack.workerCount;
    std::erase_if(groups_, [&](const auto& entry) { return !workerCounts.contains(entry.first); });
    for (const auto& [key, workerCount] : workerCounts) {
        const auto [entry, isNew] = groups_.try_emplace(key);
        Group& group = entry->second;
        if (isNew)
            group.firstSeenAt = readAt;
        if (isNew || workerCount > group.workerCount)
            group.grewAt = readAt;
        group.workerCount = workerCount;
    }
}

bool RackSettling::isSettled(const std::string& service, const std::string& domain) const
{
    const auto found = groups_.find({ service, domain });
    if (found == groups_.end())
        return false;
    const Group& group = found->second;
    return readAt_ - group.grewAt >= settlingTime || readAt_ - group.firstSeenAt >= maxSettlingTime;
}

} // namespace Fleet
