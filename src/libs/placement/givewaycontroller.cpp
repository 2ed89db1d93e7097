#include "givewaycontroller.h"

#include <algorithm>
#include <limits>

namespace Placement {

namespace Internal {

constexpr Utils::Duration evictionWindow = std::chrono::minutes(1);
constexpr double leastDisturbance = 0.05;
constexpr double strongestCut = 0.4;
constexpr double weakestCut = 0.75;

} // namespace Internal

GiveWayController::GiveWayController()
    : GiveWayController(Parameters {})
{
}

GiveWayController::GiveWayController(const Parameters& parameters)
    : parameters_(parameters)
{
}

void GiveWayController::setPolicy(std::vector<GiveWayStep> order, std::uint32_t evictionsPerMinute)
{
    parameters_.order = std::move(order);
    parameters_.evictionsPerMinute = evictionsPerMinute;
    for (auto& [index, worker] : workers_)
        worker.step = 0;
}

std::optional<GiveWayAction> GiveWayController::onTailLatency(
    WorkerIndex worker, double ratio, Utils::TimePoint measuredAt, Utils::TimePoint now)
{
    Worker& entry = workers_[worker];
    if (entry.hasActed && measuredAt < entry.actedAt + parameters_.effectDelay)
        return std::nullopt;
    if (ratio > parameters_.enterRatio)
        return escalate(entry, ratio, now);
    if (ratio < parameters_.leaveRatio)
        return relax(entry, now);
    return std::nullopt;
}

std::optional<GiveWayAction> GiveWayController::escalate(Worker& worker, double ratio, Utils::TimePoint now)
{
    while (worker.step < parameters_.order.size()) {
        const GiveWayStep step = parameters_.order[worker.step];
        if (step == GiveWayStep::Throttle && worker.share <= parameters_.leastShare) {
            ++worker.step;
            continue;
        }
        worker.actedAt = now;
        worker.hasActed = true;
        if (step != GiveWayStep::Throttle)
            return GiveWayAction { step, worker.share };
        const double cut
            = std::clamp(parameters_.enterRatio / ratio, Internal::strongestCut, Internal::weakestCut);
        worker.share = std::max(parameters_.leastShare, worker.share * cut);
        return GiveWayAction { step, worker.share };
    }
    worker.step = parameters_.order.empty() ? 0 : parameters_.order.size() - 1;
    return std::nullopt;
}

std::optional<GiveWayAction> GiveWayController::relax(Worker& worker, Utils::TimePoint now) const
{
    worker.step = 0;
    if (worker.share >= 1 || now < worker.actedAt + parameters_.holdTime)
        return std::nullopt;
    worker.share = std::min(1.0, worker.share + parameters_.shareRaise);
    worker.actedAt = now;
    return GiveWayAction { GiveWayStep::Throttle, worker.share };
}

void GiveWayController::onNothingToEvict(WorkerIndex worker)
{
    Worker& entry = workers_[worker];
    entry.hasActed = false;
    if (entry.step + 1 < parameters_.order.size())
        ++entry.step;
}

double GiveWayController::share(WorkerIndex worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? 1 : found->second.share;
}

bool GiveWayController::tryEvict(Utils::TimePoint now)
{
    while (!evictions_.empty() && evictions_.front() + Internal::evictionWindow <= now)
        evictions_.pop_front();
    if (evictions_.size() >= parameters_.evictionsPerMinute)
        return false;
    evictions_.push_back(now);
    return true;
}

std::optional<std::size_t> GiveWayController::chooseEviction(
    std::span<const EvictionCandidate> candidates, GiveWayStep step) const
{
    std::optional<std::size_t> chosen;
    double leastLoss = std::numeric_limits<double>::max();
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        const EvictionCandidate& candidate = candidates[position];
        if (step == GiveWayStep::Checkpoint && !candidate.checkpointable)
            continue;
        const Utils::Duration lost
            = step == GiveWayStep::Checkpoint ? parameters_.checkpointCost : candidate.sinceCheckpoint;
        const double work = std::chrono::duration<double>(lost).count() * candidate.milliProcessors;
        const double relief = std::max(candidate.disturbance, Internal::leastDisturbance);
        if (work / relief >= leastLoss)
            continue;
        leastLoss = work / relief;
        chosen = position;
    }
    return chosen;
}

} // namespace Placement
