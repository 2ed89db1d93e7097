#include "shardchoice.h"

#include "workerchoice.h"

#include <algorithm>

namespace Fleet {

namespace {

// Time over which waiting work is spread when it is compared with room in use.
constexpr double horizonMs = 1000;

bool canHold(const FleetSchema::JobSpec& spec, const FleetSchema::ShardLoad& load)
{
    return std::all_of(spec.steps().begin(), spec.steps().end(), [&](const FleetSchema::StepSpec& step) {
        return committedSize(step).milliProcessors <= load.largest_worker();
    });
}

bool isNearData(const FleetSchema::JobSpec& spec, const std::string& shard)
{
    return std::any_of(spec.steps().begin(), spec.steps().end(), [&](const FleetSchema::StepSpec& step) {
        return !step.data_rack().empty() && shard.ends_with("/" + step.data_rack());
    });
}

} // namespace

std::int64_t workOf(const FleetSchema::JobSpec& spec)
{
    std::int64_t work = 0;
    for (const FleetSchema::StepSpec& step : spec.steps())
        work += committedSize(step).milliProcessors * step.estimate_ms() * step.count();
    return work;
}

std::int64_t widthOf(const FleetSchema::JobSpec& spec)
{
    std::int64_t widest = 0;
    for (const FleetSchema::StepSpec& step : spec.steps())
        widest = std::max(widest, committedSize(step).milliProcessors * step.count());
    return widest;
}

void ShardChooser::update(const std::map<std::string, ShardHolder>& holders)
{
    for (const auto& [shard, holder] : holders) {
        const auto known = holders_.find(shard);
        if (known == holders_.end() || known->second.load.SerializeAsString() != holder.load.SerializeAsString())
            assigned_.erase(shard);
    }
    holders_ = holders;
}

std::string ShardChooser::choose(const FleetSchema::JobSpec& spec, std::size_t nodes)
{
    // A shard near the data of a step is worth this much of a whole shard's room.
    constexpr double nearDataBonus = 0.5;
    const bool isLasting = spec.steps_size() > 0 && spec.steps(0).lasting();
    std::string best;
    double bestCost = 0;
    for (const auto& [shard, holder] : holders_) {
        const FleetSchema::ShardLoad& load = holder.load;
        if (load.service() != spec.service() || load.capacity() <= 0 || !canHold(spec, load))
            continue;
        const Assigned& own = assigned_[shard];
        const double others = static_cast<double>(nodes);
        const double busy = static_cast<double>(load.committed()) + others * static_cast<double>(own.width)
            + (static_cast<double>(load.waiting_work()) + others * static_cast<double>(own.work)) / horizonMs;
        double cost = busy / static_cast<double>(load.capacity());
        if (isNearData(spec, shard))
            cost -= nearDataBonus;
        if (best.empty() || cost < bestCost) {
            best = shard;
            bestCost = cost;
        }
    }
    if (!best.empty()) {
        assigned_[best].width += widthOf(spec);
        if (!isLasting)
            assigned_[best].work += workOf(spec);
    }
    return best;
}

} // namespace Fleet
