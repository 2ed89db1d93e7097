// Days of EmulatedFleet on which shards are full of long-running tasks, and promises that an owner breaks
// that is late with everything.

#include "emulatedfleet.h"

#include <algorithm>

namespace Emulate {

namespace {

constexpr std::int64_t fillStartMs = 1500;
constexpr std::int64_t fillEndMs = 5000;
// Time at which jobs are cancelled, after the workers have left.
constexpr std::int64_t excessEndMs = 24'000;
// Share of the usable capacity that the remaining long-running tasks request.
constexpr int fittingLoadPercent = 60;
// Time without a fault after which owners are expected to be in time.
constexpr std::int64_t calmMs = 7000;
constexpr int percent = 100;

} // namespace

void EmulatedFleet::submitFullLoad()
{
    if (scenario_.longRunningLoadPercent == 0 || nowMs() < fillStartMs)
        return;
    if (nowMs() == excessEndMs)
        cancelExcess();
    if (nowMs() >= fillEndMs)
        return;
    const Demand capacity = usableCapacity();
    const std::int64_t sharePercent
        = (nowMs() - fillStartMs + tickMs) * scenario_.longRunningLoadPercent / (fillEndMs - fillStartMs);
    while (fullLoad_.milliProcessors * percent < capacity.milliProcessors * sharePercent) {
        const FleetSchema::JobSpec spec = workload_.makeLongRunningJob();
        const std::size_t shard = fullLoadJobs_.size() % shards_.size();
        fullLoad_.add(spec.steps(0), 1);
        fullLoadJobs_.emplace_back(spec, shardName(shard));
        checker_.onSubmitted(spec);
        forwardSubmission(spec, shardName(shard), callerAttempts);
    }
}

void EmulatedFleet::Demand::add(const FleetSchema::StepSpec& step, std::int64_t factor)
{
    milliProcessors += factor * step.count() * step.milli_processors();
    memoryMb += factor * step.count() * step.memory_mb();
}

EmulatedFleet::Demand EmulatedFleet::usableCapacity() const
{
    Demand capacity;
    for (const auto& [id, worker] : platform_.workers()) {
        if (!worker->isUsable(nowMs()))
            continue;
        capacity.milliProcessors += worker->simulated.info().milliProcessors;
        capacity.memoryMb += worker->simulated.info().memoryMb;
    }
    return capacity;
}

// Cancels the latest jobs, until the others fit beside the short ones.
void EmulatedFleet::cancelExcess()
{
    const Demand capacity = usableCapacity();
    const auto isExcessive = [&capacity, this] {
        return fullLoad_.milliProcessors * percent > capacity.milliProcessors * fittingLoadPercent
            || fullLoad_.memoryMb * percent > capacity.memoryMb * fittingLoadPercent;
    };
    while (!fullLoadJobs_.empty() && isExcessive()) {
        const std::size_t chosen
            = static_cast<std::size_t>(time_.random(static_cast<std::int64_t>(fullLoadJobs_.size())));
        const auto position = fullLoadJobs_.begin() + static_cast<std::ptrdiff_t>(chosen);
        fullLoad_.add(position->first.steps(0), -1);
        cancelLater(position->first.id(), position->second, time_.random(200));
        fullLoadJobs_.erase(position);
    }
}

bool EmulatedFleet::isJudgingOwners() const
{
    return scenario_.processor.isCharged() && nowMs() - lastFaultMs_ >= calmMs;
}

// A worker that runs and is listed loses its lease only if its owner is late.
void EmulatedFleet::checkLeases(const FleetWorker& worker)
{
    const auto& ends = worker.simulated.newlyEnded;
    const bool hasLapsed = std::any_of(ends.begin(), ends.end(),
        [](const Ports::EndedAttempt& end) { return end.outcome == Ports::AttemptOutcome::LeaseLapsed; });
    if (!hasLapsed || !isJudgingOwners() || !worker.answers() || !worker.isListed(nowMs()))
        return;
    ownerViolations_.push_back("lease lost of a worker that answers at " + std::to_string(nowMs())
        + " ms: " + worker.simulated.info().id + " of " + shardName(worker.shard));
}

void EmulatedFleet::checkTakeover(const EmulatedOwner& former)
{
    if (former.isClosed() || !isJudgingOwners() || !canAct(former.node()))
        return;
    ownerViolations_.push_back("shard taken over although its owner runs at " + std::to_string(nowMs())
        + " ms: " + shardName(former.shard()) + " of node " + std::to_string(former.node()));
}

} // namespace Emulate
