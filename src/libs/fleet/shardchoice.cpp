#include "shardchoice.h"

#include "workercommitment.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace Fleet {

namespace {

// Time over which waiting work is spread when it is compared with room in use.
constexpr double horizonMs = 1000;
// Part of the committed processors that tasks with a target use at the height of their load.
constexpr double servingUse = 0.55;
// Part of the processors that lasting jobs may take: failed tasks must find room again, and short work goes
// on.
constexpr double lastingLimit = 0.85;
// Updates come with each heartbeat, so this is about the time until a silent owner answers or is replaced.
constexpr int silentUpdates = 3;
// Part of its processors that a full shard counts as having free when shards are drawn.
constexpr double leastRoom = 0.02;
// Part of the processors up to which a shard takes single lasting tasks of others.
constexpr double lendingLimit = 0.95;

bool canHold(const FleetSchema::JobSpec& spec, const FleetSchema::ShardLoad& load)
{
    return std::all_of(spec.steps().begin(), spec.steps().end(), [&](const FleetSchema::StepSpec& step) {
        return committedSize(step).milliProcessors <= load.largest_worker();
    });
}

/*! A shard that may take a job. */
struct Drawn {
    std::string shard;
    double draw = 0; //!< The smaller the earlier it is drawn.
    double cost = 0;
    bool isSilent = false; //!< Its owner did not answer lately.
};

// Exponentially distributed, so that the least of such draws divided by weights falls on each shard in
// proportion to its weight.
double drawOf(const std::string& job, const std::string& shard)
{
    const std::uint64_t hash = XXH64(job.data(), job.size(), XXH64(shard.data(), shard.size(), 0));
    constexpr double range = 18446744073709551616.0;
    return -std::log((static_cast<double>(hash) + 1) / (range + 1));
}

// The two that are drawn first are compared. \p drawn must not be empty; its order changes.
const Drawn& lessLoadedOfTwo(std::vector<Drawn>& drawn)
{
    const auto end = drawn.begin() + std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(drawn.size()));
    std::partial_sort(drawn.begin(), end, drawn.end(),
        [](const Drawn& left, const Drawn& right) { return left.draw < right.draw; });
    return *std::min_element(
        drawn.begin(), end, [](const Drawn& left, const Drawn& right) { return left.cost < right.cost; });
}

bool isFilling(const FleetSchema::JobSpec& spec)
{
    return std::any_of(spec.steps().begin(), spec.steps().end(),
        [](const FleetSchema::StepSpec& step) { return step.leftover_processors(); });
}

} // namespace

std::int64_t widthOf(const FleetSchema::JobSpec& spec)
{
    std::int64_t widest = 0;
    for (const FleetSchema::StepSpec& step : spec.steps())
        widest = std::max<std::int64_t>(widest, step.milli_processors() * step.count());
    return widest;
}

void ShardChooser::noteOwner(const std::string& shard, bool hasAnswered)
{
    if (hasAnswered)
        silent_.erase(shard);
    else
        silent_[shard] = silentUpdates;
}

void ShardChooser::update(const std::map<std::string, ShardHolder>& holders)
{
    for (auto& [shard, updates] : silent_)
        --updates;
    std::erase_if(silent_, [](const auto& entry) { return entry.second <= 0; });
    for (const auto& [shard, holder] : holders) {
        const auto known = holders_.find(shard);
        if (known == holders_.end()
            || known->second.load.SerializeAsString() != holder.load.SerializeAsString()) {
            assigned_.erase(shard);
            lent_.erase(shard);
        }
    }
    holders_ = holders;
}

double ShardChooser::costOf(const FleetSchema::JobSpec& spec, const FleetSchema::ShardLoad& load,
    const Assigned& assigned, std::size_t nodes) const
{
    const std::int64_t others = static_cast<std::int64_t>(nodes);
    if (isFilling(spec)) {
        const double unused = static_cast<double>(load.capacity() - load.committed())
            + (1 - servingUse) * static_cast<double>(load.serving());
        const double room = std::max(1.0, unused);
        return (static_cast<double>(load.filling() + others * assigned.filling)
                   + static_cast<double>(load.waiting_filling()) / horizonMs)
            / room;
    }
    const double committed = static_cast<double>(load.committed() + others * assigned.committed);
    return (committed + static_cast<double>(load.waiting_work()) / horizonMs)
        / static_cast<double>(load.capacity());
}

bool ShardChooser::hasRoom(const FleetSchema::JobSpec& spec, const FleetSchema::ShardLoad& load,
    const Assigned& assigned, std::size_t nodes) const
{
    if (spec.steps_size() == 0 || !spec.steps(0).lasting())
        return true;
    const std::int64_t committed
        = load.committed() + static_cast<std::int64_t>(nodes) * assigned.committed + widthOf(spec);
    return static_cast<double>(committed) <= lastingLimit * static_cast<double>(load.capacity());
}

// Milli-processors that are not committed; a full shard is still drawn now and then.
double ShardChooser::roomOf(const FleetSchema::ShardLoad& load, const Assigned& assigned, std::size_t nodes)
{
    const auto committed = load.committed() + static_cast<std::int64_t>(nodes) * assigned.committed;
    return std::max(
        leastRoom * static_cast<double>(load.capacity()), static_cast<double>(load.capacity() - committed));
}

ShardChoice ShardChooser::choose(const FleetSchema::JobSpec& spec, std::size_t nodes)
{
    ShardChoice choice;
    std::vector<Drawn> drawn;
    for (const auto& [shard, holder] : holders_) {
        const FleetSchema::ShardLoad& load = holder.load;
        if (load.service() != spec.service() || load.capacity() <= 0 || !canHold(spec, load))
            continue;
        if (!hasRoom(spec, load, assigned_[shard], nodes)) {
            choice.isOverloaded = true;
            continue;
        }
        drawn.push_back({ shard, drawOf(spec.id(), shard) / roomOf(load, assigned_[shard], nodes),
            costOf(spec, load, assigned_[shard], nodes), silent_.contains(shard) });
    }
    const auto isSilent = [](const Drawn& entry) { return entry.isSilent; };
    if (!std::all_of(drawn.begin(), drawn.end(), isSilent))
        std::erase_if(drawn, isSilent);
    if (!drawn.empty()) {
        choice = { lessLoadedOfTwo(drawn).shard, false };
        Assigned& assigned = assigned_[choice.shard];
        (isFilling(spec) ? assigned.filling : assigned.committed) += widthOf(spec);
    }
    return choice;
}

std::string ShardChooser::chooseForTask(
    const std::string& own, const FleetSchema::JobSpec& spec, std::uint32_t step)
{
    const std::int64_t size = spec.steps(static_cast<int>(step)).milli_processors();
    std::string best;
    double bestShare = lendingLimit;
    for (const auto& [shard, holder] : holders_) {
        const FleetSchema::ShardLoad& load = holder.load;
        if (shard == own || load.service() != spec.service() || load.capacity() <= 0
            || size > load.largest_worker()) {
            continue;
        }
        // Short tasks are left out: the other shard keeps a worker free of them for the task.
        const std::int64_t lasting = load.lasting() + lent_[shard] + size;
        const double share = static_cast<double>(lasting) / static_cast<double>(load.capacity());
        if (share < bestShare) {
            best = shard;
            bestShare = share;
        }
    }
    if (!best.empty())
        lent_[best] += size;
    return best;
}

} // namespace Fleet
