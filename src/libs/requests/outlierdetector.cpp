#include "outlierdetector.h"

#include <algorithm>

namespace Requests {

namespace {

constexpr std::uint32_t consecutiveLimit = 5;
constexpr std::uint32_t minimumSamples = 20;
constexpr std::uint32_t trialLength = 3;
constexpr std::uint32_t maxDoublings = 4;
constexpr double shareLimit = 0.5;
constexpr double sampleWeight = 0.05;
constexpr Utils::Duration firstEjection = std::chrono::seconds(5);

} // namespace

OutlierDetector::State OutlierDetector::state(Utils::TimePoint now) const
{
    if (!ejected_)
        return State::Healthy;
    return now < until_ ? State::Ejected : State::OnTrial;
}

void OutlierDetector::recordSuccess(Utils::TimePoint now)
{
    consecutive_ = 0;
    ++samples_;
    failureShare_ -= sampleWeight * failureShare_;
    if (state(now) != State::OnTrial)
        return;
    ++trialSuccesses_;
    if (trialSuccesses_ < trialLength)
        return;
    ejected_ = false;
    failureShare_ = 0;
    samples_ = 0;
    ejections_ = ejections_ > 0 ? ejections_ - 1 : 0;
}

bool OutlierDetector::recordFailure(Utils::TimePoint now, bool mayEject)
{
    ++consecutive_;
    ++samples_;
    failureShare_ += sampleWeight * (1 - failureShare_);
    const State current = state(now);
    if (current == State::Ejected)
        return false;
    const bool mostly = samples_ >= minimumSamples && failureShare_ > shareLimit;
    const bool guilty = current == State::OnTrial || consecutive_ >= consecutiveLimit || mostly;
    if (!guilty || (!mayEject && current == State::Healthy))
        return false;
    ejected_ = true;
    trialSuccesses_ = 0;
    until_ = now + firstEjection * (1U << std::min(ejections_, maxDoublings));
    ++ejections_;
    return true;
}

} // namespace Requests
