#include "stepload.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Reports of the step's tasks come several times within this time, each in whole milliseconds.
constexpr double smoothingS = 0.3;
// Weight of a report that comes at the same moment as another one.
constexpr double minGain = 0.02;
constexpr milliseconds slopeInterval { 700 };
// A changed speed takes effect after 100 ms, and reports are means of half a second.
constexpr double speedHorizonS = 0.7;
// Limits what a jump of the reported measurements is taken for.
constexpr double maxRise = 0.12;
// peakCount intervals are 12 s; the load of users swings within about ten.
constexpr milliseconds peakInterval { 500 };
constexpr double meanS = 10;

double toSeconds(Utils::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::int64_t intervalOf(Utils::TimePoint time)
{
    return time.time_since_epoch() / peakInterval;
}

} // namespace

void StepLoad::add(Utils::TimePoint now, double utilization)
{
    if (isEmpty_) {
        isEmpty_ = false;
        level_ = mean_ = formerLevel_ = utilization;
        latestAt_ = formerAt_ = now;
    }
    const double elapsed = toSeconds(now - latestAt_);
    latestAt_ = now;
    level_ += std::clamp(elapsed / smoothingS, minGain, 1.0) * (utilization - level_);
    mean_ += std::min(elapsed / meanS, 1.0) * (utilization - mean_);
    if (now - formerAt_ >= slopeInterval) {
        slope_ = (level_ - formerLevel_) / toSeconds(now - formerAt_);
        formerLevel_ = level_;
        formerAt_ = now;
    }
    const std::int64_t interval = intervalOf(now);
    Peak& peak = peaks_[static_cast<std::size_t>(interval) % peakCount];
    if (peak.interval != interval)
        peak = { interval, level_ };
    peak.utilization = std::max(peak.utilization, level_);
}

double StepLoad::soon() const
{
    return std::clamp(level_ + std::clamp(slope_ * speedHorizonS, 0.0, maxRise), 0.0, 1.0);
}

double StepLoad::peak(Utils::TimePoint now) const
{
    const std::int64_t oldest = intervalOf(now) - static_cast<std::int64_t>(peakCount);
    double greatest = 0;
    for (const Peak& peak : peaks_) {
        if (peak.interval > oldest)
            greatest = std::max(greatest, peak.utilization);
    }
    return greatest;
}

} // namespace Fleet
