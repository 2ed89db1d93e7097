#include "preemptioncontroller.h"

#include <algorithm>
#include <limits>

namespace Placement {

namespace Internal {

constexpr Utils::Duration evictionWindow = std::chrono::minutes(1);
constexpr double minServiceSlowdown = 0.05;
constexpr double minCutFactor = 0.4;
constexpr double maxCutFactor = 0.75;

} // namespace Internal

PreemptionController::PreemptionController()
    : PreemptionController(Parameters {})
{
}

PreemptionController::PreemptionController(const Parameters& parameters)
    : parameters_(parameters)
{
}

void PreemptionController::setPolicy(std::vector<PreemptionStep> steps, std::uint32_t evictionsPerMinute)
{
    parameters_.steps = std::move(steps);
    parameters_.evictionsPerMinute = evictionsPerMinute;
    for (auto& [index, worker] : workers_)
        worker.stepIndex = 0;
}

std::optional<PreemptionCommand> PreemptionController::onTailLatency(
    WorkerIndex worker, double ratio, Utils::TimePoint measuredAt, Utils::TimePoint now)
{
    Worker& entry = workers_[worker];
    if (entry.hasCommanded && measuredAt < entry.lastCommandAt + parameters_.effectDelay)
        return std::nullopt;
    if (ratio > parameters_.escalationRatio)
        return escalate(entry, ratio, now);
    if (ratio < parameters_.relaxationRatio)
        return relax(entry, now);
    return std::nullopt;
}

std::optional<PreemptionCommand> PreemptionController::escalate(
    Worker& worker, double ratio, Utils::TimePoint now)
{
    while (worker.stepIndex < parameters_.steps.size()) {
        const PreemptionStep step = parameters_.steps[worker.stepIndex];
        if (step == PreemptionStep::Throttle && worker.share <= parameters_.minShare) {
            ++worker.stepIndex;
            continue;
        }
        worker.lastCommandAt = now;
        worker.hasCommanded = true;
        if (step != PreemptionStep::Throttle)
            return PreemptionCommand { step, worker.share };
        const double cut
            = std::clamp(parameters_.escalationRatio / ratio, Internal::minCutFactor, Internal::maxCutFactor);
        worker.share = std::max(parameters_.minShare, worker.share * cut);
        return PreemptionCommand { step, worker.share };
    }
    worker.stepIndex = parameters_.steps.empty() ? 0 : parameters_.steps.size() - 1;
    return std::nullopt;
}

std::optional<PreemptionCommand> PreemptionController::relax(Worker& worker, Utils::TimePoint now) const
{
    worker.stepIndex = 0;
    if (worker.share >= 1 || now < worker.lastCommandAt + parameters_.minHoldTime)
        return std::nullopt;
    worker.share = std::min(1.0, worker.share + parameters_.shareIncrement);
    worker.lastCommandAt = now;
    return PreemptionCommand { PreemptionStep::Throttle, worker.share };
}

void PreemptionController::onNoEvictionCandidate(WorkerIndex worker)
{
    Worker& entry = workers_[worker];
    entry.hasCommanded = false;
    if (entry.stepIndex + 1 < parameters_.steps.size())
        ++entry.stepIndex;
}

double PreemptionController::share(WorkerIndex worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? 1 : found->second.share;
}

bool PreemptionController::tryReserveEviction(Utils::TimePoint now)
{
    while (!evictionTimes_.empty() && evictionTimes_.front() + Internal::evictionWindow <= now)
        evictionTimes_.pop_front();
    if (evictionTimes_.size() >= parameters_.evictionsPerMinute)
        return false;
    evictionTimes_.push_back(now);
    return true;
}

std::optional<std::size_t> PreemptionController::chooseEviction(
    std::span<const EvictionCandidate> candidates, PreemptionStep step) const
{
    std::optional<std::size_t> chosen;
    double minLoss = std::numeric_limits<double>::max();
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const EvictionCandidate& candidate = candidates[position];
        if (step == PreemptionStep::Checkpoint && !candidate.isCheckpointable)
            continue;
        const Utils::Duration lost
            = step == PreemptionStep::Checkpoint ? parameters_.checkpointCost : candidate.timeSinceCheckpoint;
        const double work = std::chrono::duration<double>(lost).count() * candidate.milliProcessors;
        const double relief = std::max(candidate.serviceSlowdown, Internal::minServiceSlowdown);
        if (work / relief >= minLoss)
            continue;
        minLoss = work / relief;
        chosen = position;
    }
    return chosen;
}

} // namespace Placement
