#include "router.h"

#include <algorithm>

namespace Requests {

namespace {

constexpr double latencyWeight = 0.1; // Of a new sample in a target's average latency.
constexpr double failurePenalty = 20; // Factor of the expected delay of a target that only fails.
constexpr double maxEjectedShare = 0.3; // Of the targets at one distance.
constexpr double linkBurstSeconds = 0.25;
constexpr Utils::Duration leavingHold = std::chrono::seconds(10);
constexpr Utils::Duration overloadHold = std::chrono::milliseconds(20);
constexpr Utils::Duration overloadHoldElsewhere = std::chrono::seconds(1);

} // namespace

Router::Router(std::string domain, std::string region, std::uint64_t seed, bool requireCredits)
    : domain_(std::move(domain))
    , region_(std::move(region))
    , random_(seed)
    , requireCredits_(requireCredits)
{
}

void Router::setBackends(std::span<const Backend> backends)
{
    for (auto& [name, target] : targets_)
        target.listed = false;
    for (const Backend& backend : backends) {
        const bool isNew = !targets_.contains(backend.name);
        Target& target = targets_[backend.name];
        target.backend = backend;
        target.distance = distanceOf(backend);
        target.listed = true;
        if (isNew && !(requireCredits_ && target.distance == Distance::OwnDomain))
            target.credits = backend.slots;
    }
    std::erase_if(targets_, [](const auto& item) { return !item.second.listed && item.second.running == 0; });
}

void Router::setCredits(std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry)
{
    const auto found = targets_.find(backend);
    if (found == targets_.end())
        return;
    found->second.credits = slots;
    found->second.creditExpiry = expiry;
}

void Router::setLinkBudgets(std::span<const LinkBudget> budgets)
{
    links_.clear();
    for (const LinkBudget& budget : budgets)
        links_.emplace(budget.region, TokenBucket(budget.bytesPerSecond, linkBurstSeconds));
}

std::uint32_t Router::capacity(Utils::TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const auto& [name, target] : targets_) {
        if (target.distance == Distance::OwnDomain && isUsable(target, now))
            sum += slots(target, now);
    }
    return sum;
}

bool Router::hasFreeSlot(Utils::TimePoint now) const
{
    return std::ranges::any_of(targets_, [this, now](const auto& item) {
        return item.second.distance == Distance::OwnDomain && isFree(item.second, now);
    });
}

bool Router::hasUsable(Utils::TimePoint now) const
{
    return std::ranges::any_of(targets_,
        [this, now](const auto& item) { return isUsable(item.second, now) && slots(item.second, now) > 0; });
}

std::optional<std::pair<std::string, Distance>> Router::choose(const RouteQuery& query, Utils::TimePoint now)
{
    for (const Distance distance : { Distance::OwnDomain, Distance::SameRegion, Distance::OtherRegion }) {
        if (distance != Distance::OwnDomain && !query.mayLeaveDomain)
            break;
        for (const bool avoid : { true, false }) {
            const Target* target = cheapest(query, distance, avoid, now);
            if (target)
                return std::pair(target->backend.name, distance);
        }
    }
    return {};
}

void Router::begin(std::string_view backend, std::size_t bytes, Utils::TimePoint now)
{
    Target& target = targets_.find(backend)->second;
    ++target.running;
    ++target.counters.dispatched;
    if (target.distance != Distance::OtherRegion)
        return;
    if (const auto link = links_.find(target.backend.region); link != links_.end()) {
        link->second.has(0, now);
        link->second.take(static_cast<double>(bytes));
    }
}

void Router::record(std::string_view backend, AttemptEnd end, Utils::Duration latency, Utils::TimePoint now)
{
    const auto found = targets_.find(backend);
    if (found == targets_.end())
        return;
    Target& target = found->second;
    switch (end) {
    case AttemptEnd::Success: {
        const double sample = std::chrono::duration<double>(latency).count();
        const auto update
            = [sample](double& mean) { mean += mean == 0 ? sample : latencyWeight * (sample - mean); };
        update(target.latencySeconds);
        update(meanLatencySeconds_);
        target.detector.recordSuccess(now);
        return;
    }
    case AttemptEnd::Failure:
    case AttemptEnd::NotReached:
        ++target.counters.failed;
        if (target.detector.recordFailure(now, mayEject(target, now)))
            ++target.counters.ejections;
        return;
    case AttemptEnd::Overloaded:
        ++target.counters.refused;
        target.leavingUntil = std::max(target.leavingUntil,
            now + (target.distance == Distance::OwnDomain ? overloadHold : overloadHoldElsewhere));
        return;
    case AttemptEnd::Leaving:
        ++target.counters.refused;
        target.leavingUntil = now + leavingHold;
        return;
    case AttemptEnd::Abandoned:
        return;
    }
}

bool Router::holdsCredits(std::string_view backend, Utils::TimePoint now) const
{
    const auto found = targets_.find(backend);
    return found != targets_.end() && found->second.creditExpiry > now;
}

void Router::release(std::string_view backend)
{
    const auto found = targets_.find(backend);
    if (found == targets_.end())
        return;
    --found->second.running;
    if (!found->second.listed && found->second.running == 0)
        targets_.erase(found);
}

Utils::Duration Router::residualTime(std::string_view backend) const
{
    const auto found = targets_.find(backend);
    const double own = found == targets_.end() ? 0 : found->second.latencySeconds;
    const std::chrono::duration<double> estimate(std::max(own, meanLatencySeconds_));
    return std::chrono::duration_cast<Utils::Duration>(estimate);
}

std::map<std::string, BackendCounters> Router::counters(Utils::TimePoint now) const
{
    std::map<std::string, BackendCounters> result;
    for (const auto& [name, target] : targets_) {
        BackendCounters& counters = result[name];
        counters = target.counters;
        counters.running = target.running;
        counters.credits = slots(target, now);
        counters.ejected = target.detector.state(now) == OutlierDetector::State::Ejected;
    }
    return result;
}

Distance Router::distanceOf(const Backend& backend) const
{
    if (backend.domain == domain_)
        return Distance::OwnDomain;
    return backend.region == region_ ? Distance::SameRegion : Distance::OtherRegion;
}

bool Router::isUsable(const Target& target, Utils::TimePoint now) const
{
    return target.listed && !target.backend.leaving && target.leavingUntil <= now
        && target.detector.state(now) != OutlierDetector::State::Ejected;
}

std::uint32_t Router::slots(const Target& target, Utils::TimePoint now) const
{
    if (target.creditExpiry <= now)
        return 0;
    return std::min(target.credits, target.backend.slots);
}

bool Router::isFree(const Target& target, Utils::TimePoint now) const
{
    if (!isUsable(target, now))
        return false;
    const std::uint32_t limit = slots(target, now);
    if (target.detector.state(now) == OutlierDetector::State::OnTrial)
        return target.running < std::min(limit, 1U);
    return target.running < limit;
}

bool Router::mayEject(const Target& target, Utils::TimePoint now) const
{
    std::size_t peers = 0;
    std::size_t ejected = 0;
    for (const auto& [name, other] : targets_) {
        if (other.distance != target.distance || !other.listed)
            continue;
        ++peers;
        if (other.detector.state(now) != OutlierDetector::State::Healthy)
            ++ejected;
    }
    const double limit = std::max(1.0, maxEjectedShare * static_cast<double>(peers));
    return peers > 1 && static_cast<double>(ejected + 1) <= limit;
}

bool Router::withinBudget(const Target& target, std::size_t bytes, Utils::TimePoint now)
{
    if (target.distance != Distance::OtherRegion)
        return true;
    const auto link = links_.find(target.backend.region);
    return link == links_.end() || link->second.has(static_cast<double>(bytes), now);
}

double Router::cost(const Target& target)
{
    const double latency = target.latencySeconds > 0 ? target.latencySeconds : meanLatencySeconds_;
    const double load = static_cast<double>(target.running + 1) / std::max(1U, target.credits);
    const double tie = std::uniform_real_distribution<double>(0.99, 1.01)(random_);
    return (latency + 1e-6) * load * tie * (1 + failurePenalty * target.detector.failureShare());
}

const Router::Target* Router::cheapest(
    const RouteQuery& query, Distance distance, bool avoid, Utils::TimePoint now)
{
    const Target* best = nullptr;
    double bestCost = 0;
    for (const auto& [name, target] : targets_) {
        if (target.distance != distance || !isFree(target, now))
            continue;
        if ((avoid && name == query.avoid) || !withinBudget(target, query.bytes, now))
            continue;
        const double candidate = cost(target);
        if (best && candidate >= bestCost)
            continue;
        best = &target;
        bestCost = candidate;
    }
    return best;
}

} // namespace Requests
