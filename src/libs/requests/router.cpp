#include "router.h"

#include <algorithm>

namespace Requests {

namespace {

constexpr double latencySampleWeight = 0.1; // Weight of a new sample in the moving averages.
constexpr double failurePenalty
    = 20; // Multiple of the expected delay that is added to the cost of a target that always fails.
constexpr double maxEjectedShare = 0.3; // Above this share of the targets at a distance, no more are ejected.
constexpr double linkBurstSeconds = 0.25;
constexpr Utils::Duration drainingPause = std::chrono::seconds(10);
constexpr Utils::Duration overloadPause = std::chrono::milliseconds(20);
constexpr Utils::Duration remoteOverloadPause = std::chrono::seconds(1);

} // namespace

Router::Router(std::string domain, std::string region, std::uint64_t seed, bool requiresCredits)
    : domain_(std::move(domain))
    , region_(std::move(region))
    , random_(seed)
    , requiresCredits_(requiresCredits)
{
}

void Router::setBackends(std::span<const Backend> backends)
{
    for (auto& [name, target] : targets_)
        target.isListed = false;
    for (const Backend& backend : backends) {
        const bool isNew = !targets_.contains(backend.name);
        Target& target = targets_[backend.name];
        target.backend = backend;
        target.distance = distanceOf(backend);
        target.isListed = true;
        if (isNew && !(requiresCredits_ && target.distance == Distance::OwnDomain))
            target.credits = backend.slots;
    }
    std::erase_if(
        targets_, [](const auto& item) { return !item.second.isListed && item.second.running == 0; });
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
    linkBuckets_.clear();
    for (const LinkBudget& budget : budgets)
        linkBuckets_.emplace(budget.region, TokenBucket(budget.bytesPerSecond, linkBurstSeconds));
}

std::uint32_t Router::capacity(Utils::TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const auto& [name, target] : targets_) {
        if (target.distance == Distance::OwnDomain && isUsable(target, now))
            sum += usableSlots(target, now);
    }
    return sum;
}

bool Router::hasFreeSlot(Utils::TimePoint now) const
{
    return std::ranges::any_of(targets_, [this, now](const auto& item) {
        return item.second.distance == Distance::OwnDomain && isAvailable(item.second, now);
    });
}

bool Router::hasUsableTarget(Utils::TimePoint now) const
{
    return std::ranges::any_of(targets_, [this, now](const auto& item) {
        return isUsable(item.second, now) && usableSlots(item.second, now) > 0;
    });
}

std::optional<std::pair<std::string, Distance>> Router::chooseTarget(
    const RouteQuery& query, Utils::TimePoint now)
{
    for (const Distance distance : { Distance::OwnDomain, Distance::SameRegion, Distance::OtherRegion }) {
        if (distance != Distance::OwnDomain && !query.mayLeaveDomain)
            break;
        for (const bool avoidsLastTarget : { true, false }) {
            const Target* target = cheapestTarget(query, distance, avoidsLastTarget, now);
            if (target)
                return std::pair(target->backend.name, distance);
        }
    }
    return {};
}

void Router::acquireSlot(std::string_view backend, std::size_t expectedBytes, Utils::TimePoint now)
{
    Target& target = targets_.find(backend)->second;
    ++target.running;
    ++target.counters.dispatched;
    if (target.distance != Distance::OtherRegion)
        return;
    if (const auto link = linkBuckets_.find(target.backend.region); link != linkBuckets_.end()) {
        link->second.hasTokens(0, now);
        link->second.consume(static_cast<double>(expectedBytes));
    }
}

void Router::recordAttempt(
    std::string_view backend, AttemptEnd end, Utils::Duration latency, Utils::TimePoint now)
{
    const auto found = targets_.find(backend);
    if (found == targets_.end())
        return;
    Target& target = found->second;
    switch (end) {
    case AttemptEnd::Success: {
        const double sample = std::chrono::duration<double>(latency).count();
        const auto updateMean
            = [sample](double& mean) { mean += mean == 0 ? sample : latencySampleWeight * (sample - mean); };
        updateMean(target.latencySeconds);
        updateMean(meanLatencySeconds_);
        target.detector.recordSuccess(now);
        return;
    }
    case AttemptEnd::Failure:
    case AttemptEnd::ConnectFailed:
        ++target.counters.failed;
        if (target.detector.recordFailure(now, mayEject(target, now)))
            ++target.counters.ejections;
        return;
    case AttemptEnd::Overloaded:
        ++target.counters.refused;
        target.pausedUntil = std::max(target.pausedUntil,
            now + (target.distance == Distance::OwnDomain ? overloadPause : remoteOverloadPause));
        return;
    case AttemptEnd::Draining:
        ++target.counters.refused;
        target.pausedUntil = now + drainingPause;
        return;
    case AttemptEnd::Abandoned:
        return;
    }
}

bool Router::hasValidCredits(std::string_view backend, Utils::TimePoint now) const
{
    const auto found = targets_.find(backend);
    return found != targets_.end() && found->second.creditExpiry > now;
}

void Router::releaseSlot(std::string_view backend)
{
    const auto found = targets_.find(backend);
    if (found == targets_.end())
        return;
    --found->second.running;
    if (!found->second.isListed && found->second.running == 0)
        targets_.erase(found);
}

Utils::Duration Router::expectedResidualTime(std::string_view backend) const
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
        counters.credits = usableSlots(target, now);
        counters.isEjected = target.detector.state(now) == OutlierDetector::State::Ejected;
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
    return target.isListed && !target.backend.isDraining && target.pausedUntil <= now
        && target.detector.state(now) != OutlierDetector::State::Ejected;
}

std::uint32_t Router::usableSlots(const Target& target, Utils::TimePoint now) const
{
    if (target.creditExpiry <= now)
        return 0;
    return std::min(target.credits, target.backend.slots);
}

bool Router::isAvailable(const Target& target, Utils::TimePoint now) const
{
    if (!isUsable(target, now))
        return false;
    const std::uint32_t limit = usableSlots(target, now);
    if (target.detector.state(now) == OutlierDetector::State::OnTrial)
        return target.running < std::min(limit, 1U);
    return target.running < limit;
}

bool Router::mayEject(const Target& target, Utils::TimePoint now) const
{
    std::size_t peerCount = 0;
    std::size_t ejectedCount = 0;
    for (const auto& [name, other] : targets_) {
        if (other.distance != target.distance || !other.isListed)
            continue;
        ++peerCount;
        if (other.detector.state(now) != OutlierDetector::State::Healthy)
            ++ejectedCount;
    }
    const double limit = std::max(1.0, maxEjectedShare * static_cast<double>(peerCount));
    return peerCount > 1 && static_cast<double>(ejectedCount + 1) <= limit;
}

bool Router::isWithinLinkBudget(const Target& target, std::size_t expectedBytes, Utils::TimePoint now)
{
    if (target.distance != Distance::OtherRegion)
        return true;
    const auto link = linkBuckets_.find(target.backend.region);
    return link == linkBuckets_.end() || link->second.hasTokens(static_cast<double>(expectedBytes), now);
}

double Router::expectedCost(const Target& target)
{
    const double latency = target.latencySeconds > 0 ? target.latencySeconds : meanLatencySeconds_;
    const double load = static_cast<double>(target.running + 1) / std::max(1U, target.credits);
    const double jitter = std::uniform_real_distribution<double>(0.99, 1.01)(random_);
    return (latency + 1e-6) * load * jitter * (1 + failurePenalty * target.detector.failureShare());
}

const Router::Target* Router::cheapestTarget(
    const RouteQuery& query, Distance distance, bool avoidsLastTarget, Utils::TimePoint now)
{
    const Target* best = nullptr;
    double bestCost = 0;
    for (const auto& [name, target] : targets_) {
        if (target.distance != distance || !isAvailable(target, now))
            continue;
        if ((avoidsLastTarget && name == query.lastTarget)
            || !isWithinLinkBudget(target, query.expectedBytes, now))
            continue;
        const double candidate = expectedCost(target);
        if (best && candidate >= bestCost)
            continue;
        best = &target;
        bestCost = candidate;
    }
    return best;
}

} // namespace Requests
