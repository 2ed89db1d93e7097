#include "outlierdetector.h"

#include <algorithm>

namespace Requests {

namespace {

constexpr std::uint32_t maxConsecutiveFailures = 5;
constexpr std::uint32_t minSamples = 20;
constexpr std::uint32_t requiredTrialSuccesses = 3;
constexpr std::uint32_t maxEjectionDoublings = 4;
constexpr double maxFailureShare = 0.5;
constexpr double sampleWeight = 0.05;
constexpr Utils::Duration initialEjectionTime = std::chrono::seconds(5);

} // namespace

OutlierDetector::State OutlierDetector::state(Utils::TimePoint now) const
{
    if (!isEjected_)
        return State::Healthy;
    return now < ejectedUntil_ ? State::Ejected : State::OnTrial;
}

void OutlierDetector::recordSuccess(Utils::TimePoint now)
{
    consecutiveFailures_ = 0;
    ++sampleCount_;
    failureShare_ -= sampleWeight * failureShare_;
    if (state(now) != State::OnTrial)
        return;
    ++trialSuccesses_;
    if (trialSuccesses_ < requiredTrialSuccesses)
        return;
    isEjected_ = false;
    failureShare_ = 0;
    sampleCount_ = 0;
    ejectionCount_ = ejectionCount_ > 0 ? ejectionCount_ - 1 : 0;
}

bool OutlierDetector::recordFailure(Utils::TimePoint now, bool mayEject)
{
    ++consecutiveFailures_;
    ++sampleCount_;
    failureShare_ += sampleWeight * (1 - failureShare_);
    const State current = state(now);
    if (current == State::Ejected)
        return false;
    const bool failsMostly = sampleCount_ >= minSamples && failureShare_ > maxFailureShare;
    const bool isOutlier
        = current == State::OnTrial || consecutiveFailures_ >= maxConsecutiveFailures || failsMostly;
    if (!isOutlier || (!mayEject && current == State::Healthy))
        return false;
    isEjected_ = true;
    trialSuccesses_ = 0;
    ejectedUntil_ = now + initialEjectionTime * (1U << std::min(ejectionCount_, maxEjectionDoublings));
    ++ejectionCount_;
    return true;
}

} // namespace Requests
