#include "feasibility.h"

#include <algorithm>

namespace Placement {

namespace Internal {

static std::string exceeds(const char* what, std::int64_t need, std::int64_t greatest, const char* unit)
{
    return std::string("needs ") + std::to_string(need) + " " + unit + " of " + what
        + ", the largest worker has " + std::to_string(greatest);
}

static std::string whyTooLarge(const Resources& need, const Resources& greatest)
{
    if (need.milliProcessors > greatest.milliProcessors)
        return exceeds("processors", need.milliProcessors, greatest.milliProcessors, "thousandths");
    if (need.memoryMb > greatest.memoryMb)
        return exceeds("memory", need.memoryMb, greatest.memoryMb, "MB");
    if (need.accelerators > greatest.accelerators)
        return exceeds("accelerators", need.accelerators, greatest.accelerators, "units");
    return "no single worker has the processors, memory and accelerators together";
}

} // namespace Internal

void FleetShapes::add(const std::string& region, const Resources& capacity)
{
    std::size_t& count = regions_[region][capacity];
    ++count;
    if (count == 1)
        ++revision_;
}

void FleetShapes::remove(const std::string& region, const Resources& capacity)
{
    const auto shapes = regions_.find(region);
    if (shapes == regions_.end())
        return;
    const auto shape = shapes->second.find(capacity);
    if (shape == shapes->second.end())
        return;
    --shape->second;
    if (shape->second > 0)
        return;
    ++revision_;
    shapes->second.erase(shape);
    if (shapes->second.empty())
        regions_.erase(shapes);
}

std::optional<std::string> FleetShapes::whyNever(
    const TaskRequest& request, const Resources& need, const TeamQuotas& quotas) const
{
    if (!need.isValid())
        return "its size is negative";
    if (quotas.exceedsQuota(request.team, need))
        return "one task exceeds the quota of team " + request.team;
    if (!request.region.empty() && !regions_.contains(request.region))
        return "no worker is in region " + request.region;
    Resources greatest;
    for (const auto& [region, shapes] : regions_) {
        if (!request.region.empty() && region != request.region)
            continue;
        for (const auto& [capacity, count] : shapes) {
            if (need.fitsIn(capacity))
                return std::nullopt;
            greatest.milliProcessors = std::max(greatest.milliProcessors, capacity.milliProcessors);
            greatest.memoryMb = std::max(greatest.memoryMb, capacity.memoryMb);
            greatest.accelerators = std::max(greatest.accelerators, capacity.accelerators);
        }
    }
    return Internal::whyTooLarge(need, greatest);
}

} // namespace Placement
