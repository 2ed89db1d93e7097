#include "racksettling.h"

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Exceeds the interval in which a worker registers and the one in which the list of workers is read.
constexpr milliseconds settlingTime { 2000 };
// Racks whose workers keep registering one by one are assigned nevertheless after this time, as their
// capacity cannot be used before.
constexpr milliseconds maxSettlingTime { 6000 };

} // namespace

void RackSettling::update(std::span<const RackInfo> unassignedRacks, Utils::TimePoint now)
{
    std::map<std::pair<std::string, std::string>, std::size_t> workerCounts;
    for (const RackInfo& rack : unassignedRacks)
        workerCounts[{ rack.service, rack.domain }] += rack.workerCount;
    std::erase_if(groups_, [&](const auto& entry) { return !workerCounts.contains(entry.first); });
    for (const auto& [key, workerCount] : workerCounts) {
        const auto [entry, isNew] = groups_.try_emplace(key);
        Group& group = entry->second;
        if (isNew)
            group.firstSeenAt = now;
        if (isNew || workerCount > group.workerCount)
            group.grewAt = now;
        group.workerCount = workerCount;
    }
}

bool RackSettling::isSettled(
    const std::string& service, const std::string& domain, Utils::TimePoint now) const
{
    const auto found = groups_.find({ service, domain });
    if (found == groups_.end())
        return false;
    const Group& group = found->second;
    return now - group.grewAt >= settlingTime || now - group.firstSeenAt >= maxSettlingTime;
}

} // namespace Fleet
