#include "fleetshapes.h"

#include <algorithm>

namespace Placement {

namespace Internal {

static std::string excessReason(const char* what, std::int64_t need, std::int64_t largest, const char* unit)
{
    return std::string("needs ") + std::to_string(need) + " " + unit + " of " + what
        + ", the largest worker has " + std::to_string(largest);
}

static std::string sizeReason(const Resources& need, const Resources& largest)
{
    if (need.milliProcessors > largest.milliProcessors)
        return excessReason("processors", need.milliProcessors, largest.milliProcessors, "thousandths");
    if (need.memoryMb > largest.memoryMb)
        return excessReason("memory", need.memoryMb, largest.memoryMb, "MB");
    if (need.accelerators > largest.accelerators)
        return excessReason("accelerators", need.accelerators, largest.accelerators, "units");
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

std::optional<std::string> FleetShapes::infeasibilityReason(
    const TaskRequest& request, const Resources& need, const TeamQuotas& quotas) const
{
    if (!need.isValid())
        return "its size is negative";
    if (quotas.exceedsQuota(request.team, need))
        return "one task exceeds the quota of team " + request.team;
    if (!request.region.empty() && !regions_.contains(request.region))
        return "no worker is in region " + request.region;
    Resources largest;
    for (const auto& [region, shapes] : regions_) {
        if (!request.region.empty() && region != request.region)
            continue;
        for (const auto& [capacity, count] : shapes) {
            if (need.fitsIn(capacity))
                return std::nullopt;
            largest.milliProcessors = std::max(largest.milliProcessors, capacity.milliProcessors);
            largest.memoryMb = std::max(largest.memoryMb, capacity.memoryMb);
            largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
        }
    }
    return Internal::sizeReason(need, largest);
}

} // namespace Placement
