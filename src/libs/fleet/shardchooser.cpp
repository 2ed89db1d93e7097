#include "shardchooser.h"

#include "job.h"
#include "workercommitment.h"
#include "workerkinds.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <span>
#include <tuple>
#include <vector>

namespace Fleet {

namespace {

// Waiting work is divided by this time to make it comparable with processors in use.
constexpr double waitingWorkHorizonMs = 1000;
// Share of the committed processors that latency-critical tasks use at peak load.
constexpr double peakCriticalUseShare = 0.55;
// Share of a shard's processors that may be committed after a long-running job was accepted. The rest is
// for restarts of failed tasks and for short tasks.
constexpr double maxCommittedShare = 0.85;
// Number of updates for which the shard of an unresponsive owner gets no new jobs. Updates come with each
// heartbeat, so this is about the time until the owner answers or is replaced.
constexpr int unresponsiveUpdateCount = 3;
// Share of its processors that a full shard counts as free when shards are sampled.
constexpr double minFreeShare = 0.02;
// A shard in which no worker has room is not chosen for a delegated task if long-running tasks would then
// hold at least this share of its processors.
constexpr double maxDelegationShare = 0.95;
// A task that ends is delegated to a shard whose cost is lower than this, and than this share of the cost of
// its own shard. A task that has waited for overdueWait is also delegated if its own shard seems less loaded,
// because it finds no worker there for another reason.
constexpr double maxDelegationCost = 0.9;
constexpr double maxRelativeDelegationCost = 0.8;
constexpr std::chrono::milliseconds overdueWait { 2200 };

/*! Steps of a job that the same workers can run. */
struct StepGroup {
    const FleetSchema::StepSpec* step = nullptr; //!< One of them.
    std::size_t count = 0;
};

std::vector<StepGroup> groupSteps(const FleetSchema::JobSpec& spec)
{
    const auto needsOf = [](const FleetSchema::StepSpec& step) {
        const Placement::Resources size = committedSize(step);
        const bool needsAllTasks = step.gang() || step.lasting();
        return std::tuple(size.milliProcessors, size.memoryMb, size.accelerators, step.required_label(),
            step.max_per_worker(), step.gang(), step.lasting(), needsAllTasks ? step.count() : 0);
    };
    std::map<decltype(needsOf(spec.steps(0))), StepGroup> groups;
    for (const FleetSchema::StepSpec& step : spec.steps()) {
        StepGroup& group = groups[needsOf(step)];
        group.step = &step;
        ++group.count;
    }
    std::vector<StepGroup> result;
    result.reserve(groups.size());
    for (const auto& [needs, group] : groups)
        result.push_back(group);
    return result;
}

// Returns a measure of the part of a job that the workers of a shard can ever run. A step counts twice,
// unless it is a gang that has to be divided.
std::size_t countRunnableSteps(std::span<const StepGroup> groups, const FleetSchema::ShardLoad& load)
{
    std::size_t count = 0;
    for (const StepGroup& group : groups)
        count += group.count * (canEverRun(*group.step, load) ? 2 : canHostPart(*group.step, load) ? 1 : 0);
    return count;
}

/*! A shard that may accept a job. */
struct Candidate {
    std::string shard;
    double sample = 0; //!< Smaller samples are compared first.
    double cost = 0;
    std::size_t runnableSteps = 0; //!< Result of countRunnableSteps().
    bool isUnresponsive = false; //!< Its owner did not answer lately.
};

// Returns a pseudo-random sample of an exponential distribution. When the sample of each shard is divided by
// the shard's weight, each shard has the smallest result with a probability proportional to its weight.
double exponentialSample(const std::string& job, const std::string& shard)
{
    const std::uint64_t hash = XXH64(job.data(), job.size(), XXH64(shard.data(), shard.size(), 0));
    constexpr double range = 18446744073709551616.0;
    return -std::log((static_cast<double>(hash) + 1) / (range + 1));
}

// Returns the less loaded of the two candidates with the smallest samples. \p candidates must not be empty
// and is reordered.
const Candidate& lessLoadedOfTwo(std::vector<Candidate>& candidates)
{
    const auto end
        = candidates.begin() + std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(candidates.size()));
    std::partial_sort(candidates.begin(), end, candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.sample < right.sample; });
    return *std::min_element(candidates.begin(), end,
        [](const Candidate& left, const Candidate& right) { return left.cost < right.cost; });
}

bool isBestEffort(const FleetSchema::JobSpec& spec)
{
    return std::any_of(spec.steps().begin(), spec.steps().end(),
        [](const FleetSchema::StepSpec& step) { return step.leftover_processors(); });
}

// The tasks of a step may run on several shards. A gang needs one for all its tasks, or several that can host
// parts.
bool isRunnable(const FleetSchema::StepSpec& step, const std::string& service,
    const std::map<std::string, ShardOwnerInfo>& owners, std::size_t& steps)
{
    steps += owners.size();
    std::uint64_t slots = 0;
    std::uint64_t partSlots = 0;
    for (const auto& [shard, owner] : owners) {
        if (owner.load.service() != service)
            continue;
        if (canEverRun(step, owner.load))
            slots += countSlots(step, owner.load);
        if (canHostPart(step, owner.load))
            partSlots += countSlots(step, owner.load);
    }
    // The tasks of a step that ends can run one after the other.
    return slots >= (step.lasting() ? step.count() : 1) || (step.gang() && partSlots >= step.count());
}

} // namespace

std::int64_t peakMilliProcessors(const FleetSchema::JobSpec& spec)
{
    std::int64_t widest = 0;
    for (const FleetSchema::StepSpec& step : spec.steps())
        widest = std::max<std::int64_t>(widest, step.milli_processors() * step.count());
    return widest;
}

void ShardChooser::setOwnerResponsive(const std::string& shard, bool isResponsive)
{
    if (isResponsive)
        unresponsiveUpdates_.erase(shard);
    else
        unresponsiveUpdates_[shard] = unresponsiveUpdateCount;
}

void ShardChooser::update(const std::map<std::string, ShardOwnerInfo>& owners)
{
    for (auto& [shard, updates] : unresponsiveUpdates_)
        --updates;
    std::erase_if(unresponsiveUpdates_, [](const auto& entry) { return entry.second <= 0; });
    for (const auto& [shard, owner] : owners) {
        const auto previous = owners_.find(shard);
        if (previous == owners_.end()
            || previous->second.load.SerializeAsString() != owner.load.SerializeAsString()) {
            assigned_.erase(shard);
            delegated_.erase(shard);
        }
    }
    owners_ = owners;
}

double ShardChooser::costOf(bool isForLeftOver, const FleetSchema::ShardLoad& load,
    const AssignedWork& assigned, std::size_t assigningNodes) const
{
    const std::int64_t nodeCount = static_cast<std::int64_t>(assigningNodes);
    if (isForLeftOver) {
        const double unused = static_cast<double>(load.capacity() - load.committed())
            + (1 - peakCriticalUseShare) * static_cast<double>(load.serving());
        const double freeProcessors = std::max(1.0, unused);
        return (static_cast<double>(load.filling() + nodeCount * assigned.bestEffort)
                   + static_cast<double>(load.waiting_filling()) / waitingWorkHorizonMs)
            / freeProcessors;
    }
    const double committed = static_cast<double>(load.committed() + nodeCount * assigned.committed);
    return (committed + static_cast<double>(load.waiting_work()) / waitingWorkHorizonMs)
        / static_cast<double>(load.capacity());
}

bool ShardChooser::hasCapacity(const FleetSchema::JobSpec& spec, std::int64_t peak,
    const FleetSchema::ShardLoad& load, const AssignedWork& assigned, std::size_t assigningNodes) const
{
    if (spec.steps_size() == 0 || !spec.steps(0).lasting())
        return true;
    const std::int64_t committed
        = load.committed() + static_cast<std::int64_t>(assigningNodes) * assigned.committed + peak;
    return static_cast<double>(committed) <= maxCommittedShare * static_cast<double>(load.capacity());
}

// Returns the milli-processors that are not committed, but at least minFreeShare of the capacity, so that a
// full shard is sampled occasionally.
double ShardChooser::freeMilliProcessors(
    const FleetSchema::ShardLoad& load, const AssignedWork& assigned, std::size_t assigningNodes)
{
    const auto committed = load.committed() + static_cast<std::int64_t>(assigningNodes) * assigned.committed;
    return std::max(minFreeShare * static_cast<double>(load.capacity()),
        static_cast<double>(load.capacity() - committed));
}

// An owner that misses heartbeats cannot reach the store, or is not there any more, and stores no job.
bool ShardChooser::isUnresponsive(const std::string& shard, const ShardOwnerInfo& owner) const
{
    return owner.isSilent || unresponsiveUpdates_.contains(shard);
}

ShardChoice ShardChooser::choose(const FleetSchema::JobSpec& spec, std::size_t assigningNodes)
{
    const std::vector<StepGroup> groups = groupSteps(spec);
    const bool isForLeftOver = isBestEffort(spec);
    const std::int64_t peak = peakMilliProcessors(spec);
    latestSteps_ = static_cast<std::size_t>(spec.steps_size());
    ShardChoice choice;
    if (!std::all_of(groups.begin(), groups.end(), [&](const StepGroup& group) {
            return isRunnable(*group.step, spec.service(), owners_, latestSteps_);
        }))
        return choice;
    std::vector<Candidate> candidates;
    for (const auto& [shard, owner] : owners_) {
        const FleetSchema::ShardLoad& load = owner.load;
        latestSteps_ += groups.size();
        const std::size_t runnableSteps = countRunnableSteps(groups, load);
        if (load.service() != spec.service() || load.capacity() <= 0 || runnableSteps == 0
            || closedShards_.contains(shard))
            continue;
        if (!hasCapacity(spec, peak, load, assigned_[shard], assigningNodes)) {
            choice.isOverloaded = true;
            continue;
        }
        candidates.push_back({ shard,
            exponentialSample(spec.id(), shard) / freeMilliProcessors(load, assigned_[shard], assigningNodes),
            costOf(isForLeftOver, load, assigned_[shard], assigningNodes), runnableSteps,
            isUnresponsive(shard, owner) });
    }
    // Tasks of the other steps have to move to another shard.
    std::size_t mostSteps = 0;
    for (const Candidate& candidate : candidates)
        mostSteps = std::max(mostSteps, candidate.runnableSteps);
    std::erase_if(candidates, [=](const Candidate& entry) { return entry.runnableSteps < mostSteps; });
    const auto isCandidateUnresponsive = [](const Candidate& entry) { return entry.isUnresponsive; };
    if (!std::all_of(candidates.begin(), candidates.end(), isCandidateUnresponsive))
        std::erase_if(candidates, isCandidateUnresponsive);
    if (!candidates.empty()) {
        choice = { lessLoadedOfTwo(candidates).shard, false };
        AssignedWork& assigned = assigned_[choice.shard];
        (isForLeftOver ? assigned.bestEffort : assigned.committed) += peak;
    }
    return choice;
}

double ShardChooser::delegationCostLimit(const std::string& originShard, const FleetSchema::JobSpec& spec,
    std::uint32_t step, Utils::Duration waited) const
{
    const auto origin = owners_.find(originShard);
    // It has to wait in another shard, however loaded.
    if (closedShards_.contains(originShard))
        return std::numeric_limits<double>::max();
    if (origin != owners_.end() && !canEverRun(spec.steps(static_cast<int>(step)), origin->second.load))
        return std::numeric_limits<double>::max();
    if (mustLeave(originShard, waited))
        return maxDelegationCost;
    const FleetSchema::ShardLoad& load = owners_.at(originShard).load;
    return std::min(maxDelegationCost, maxRelativeDelegationCost * costOf(isBestEffort(spec), load, {}, 1));
}

bool ShardChooser::mustLeave(const std::string& originShard, Utils::Duration waited) const
{
    const auto origin = owners_.find(originShard);
    return waited >= overdueWait || origin == owners_.end() || origin->second.load.capacity() <= 0;
}

bool ShardChooser::mayHost(
    const std::string& shard, const ShardOwnerInfo& owner, const FleetSchema::StepSpec& step) const
{
    const FleetSchema::ShardLoad& load = owner.load;
    return load.capacity() > 0 && canEverRun(step, load) && !isUnresponsive(shard, owner)
        && !closedShards_.contains(shard) && (step.lasting() || load.reports_results());
}

std::string ShardChooser::findForTask(const std::string& originShard, const FleetSchema::JobSpec& spec,
    std::uint32_t step, Utils::Duration waited, std::size_t assigningNodes,
    std::span<const std::string> returnedBy)
{
    const FleetSchema::StepSpec& stepSpec = spec.steps(static_cast<int>(step));
    const std::int64_t size = stepSpec.milli_processors();
    const bool isForLeftOver = isBestEffort(spec);
    latestSteps_ = static_cast<std::size_t>(spec.steps_size());
    std::string best;
    bool hasBestRoom = false;
    std::size_t bestReturnOrder = 0;
    // Few shards have tasks that must leave, so that the other nodes hardly assign such tasks meanwhile.
    if (mustLeave(originShard, waited))
        assigningNodes = 1;
    const double limit
        = stepSpec.lasting() ? maxDelegationShare : delegationCostLimit(originShard, spec, step, waited);
    double bestCost = limit;
    for (const auto& [shard, owner] : owners_) {
        ++latestSteps_;
        const FleetSchema::ShardLoad& load = owner.load;
        if (shard == originShard || load.service() != spec.service() || !mayHost(shard, owner, stepSpec))
            continue;
        // For a long-running task, short tasks do not count, because the other shard reserves a worker until
        // they have ended there.
        const double cost = stepSpec.lasting()
            ? static_cast<double>(load.lasting() + delegated_[shard] + size)
                / static_cast<double>(load.capacity())
            : costOf(isForLeftOver, load, assigned_[shard], assigningNodes);
        // A shard in which one worker has room needs no relocation. Further tasks delegated to it before its
        // next report may take that room.
        const bool hasRoom = stepSpec.lasting() && size + delegated_[shard] <= load.lasting_room();
        // 0 for a shard that has not returned the task, and greatest for the one that did so last.
        const auto returned = std::find(returnedBy.begin(), returnedBy.end(), shard);
        const std::size_t returnOrder
            = returned == returnedBy.end() ? 0 : static_cast<std::size_t>(returned - returnedBy.begin()) + 1;
        const auto rank = std::tuple(returnOrder, !hasRoom, cost);
        // Long-running tasks that wait in the other shard count in its share, but do not fit into the room.
        if ((cost >= limit && !hasRoom)
            || (!best.empty() && rank >= std::tuple(bestReturnOrder, !hasBestRoom, bestCost)))
            continue;
        best = shard;
        bestCost = cost;
        hasBestRoom = hasRoom;
        bestReturnOrder = returnOrder;
    }
    return best;
}

bool ShardChooser::hasRoomElsewhere(
    const std::string& originShard, const FleetSchema::JobSpec& spec, std::uint32_t step) const
{
    const FleetSchema::StepSpec& stepSpec = spec.steps(static_cast<int>(step));
    return std::any_of(owners_.begin(), owners_.end(), [&](const auto& entry) {
        const auto& [shard, owner] = entry;
        const auto delegated = delegated_.find(shard);
        const std::int64_t needed
            = stepSpec.milli_processors() + (delegated == delegated_.end() ? 0 : delegated->second);
        return shard != originShard && owner.load.service() == spec.service()
            && mayHost(shard, owner, stepSpec) && needed <= owner.load.lasting_room();
    });
}

std::uint32_t ShardChooser::countFreeSlots(const std::string& shard, const ShardOwnerInfo& owner,
    const FleetSchema::StepSpec& step, std::size_t assigningNodes) const
{
    const FleetSchema::ShardLoad& load = owner.load;
    if (load.capacity() <= 0 || !canHostPart(step, load) || isUnresponsive(shard, owner)
        || closedShards_.contains(shard))
        return 0;
    const auto assigned = assigned_.find(shard);
    const std::int64_t committed = load.committed()
        + (assigned == assigned_.end()
                ? 0
                : static_cast<std::int64_t>(assigningNodes) * assigned->second.committed);
    const double freeShare
        = std::max(0.0, 1 - static_cast<double>(committed) / static_cast<double>(load.capacity()));
    const auto slots = std::min<std::uint64_t>(countSlots(step, load), maxTasksPerJob);
    return static_cast<std::uint32_t>(freeShare * static_cast<double>(slots));
}

std::vector<GangShare> ShardChooser::divideGang(
    const FleetSchema::JobSpec& spec, std::uint32_t step, std::size_t assigningNodes) const
{
    const FleetSchema::StepSpec& stepSpec = spec.steps(static_cast<int>(step));
    std::map<std::string, std::uint32_t> freeSlots;
    std::uint32_t sum = 0;
    for (const auto& [shard, owner] : owners_) {
        const std::uint32_t slots = owner.load.service() == spec.service()
            ? countFreeSlots(shard, owner, stepSpec, assigningNodes)
            : 0;
        if (slots == 0)
            continue;
        freeSlots[shard] = slots;
        sum += slots;
    }
    if (sum < stepSpec.count())
        return {};
    // In proportion to the free slots, so that each shard has some left: not all of them need be usable.
    std::vector<GangShare> shares;
    std::uint32_t remaining = stepSpec.count();
    for (const auto& [shard, slots] : freeSlots) {
        const std::uint32_t count = std::min(slots, (remaining * slots + sum - 1) / sum);
        remaining -= count;
        sum -= slots;
        if (count > 0)
            shares.push_back({ shard, count });
    }
    return shares.size() < 2 ? std::vector<GangShare>() : shares;
}

void ShardChooser::countDelegation(
    const std::string& shard, const FleetSchema::JobSpec& spec, std::uint32_t step)
{
    const FleetSchema::StepSpec& stepSpec = spec.steps(static_cast<int>(step));
    const std::int64_t size = stepSpec.milli_processors();
    if (stepSpec.lasting())
        delegated_[shard] += size;
    else
        (isBestEffort(spec) ? assigned_[shard].bestEffort : assigned_[shard].committed) += size;
}

std::string ShardChooser::chooseForTask(const std::string& originShard, const FleetSchema::JobSpec& spec,
    std::uint32_t step, Utils::Duration waited, std::size_t assigningNodes,
    std::span<const std::string> returnedBy)
{
    std::string shard = findForTask(originShard, spec, step, waited, assigningNodes, returnedBy);
    if (!shard.empty())
        countDelegation(shard, spec, step);
    return shard;
}

} // namespace Fleet
