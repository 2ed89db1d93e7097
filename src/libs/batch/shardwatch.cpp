#include "shardwatch.h"

namespace Batch {

Utils::Duration withClockMargin(Utils::Duration duration)
{
    constexpr auto fixedMargin = std::chrono::milliseconds(20);
    const auto scaled
        = static_cast<Utils::Duration::rep>(static_cast<double>(duration.count()) * clockRateMargin);
    return duration + Utils::Duration(scaled) + fixedMargin;
}

void ShardWatch::observe(const Schema::Row& row, Utils::TimePoint now)
{
    if (seen_ && row.version() == version_)
        return;
    seen_ = true;
    version_ = row.version();
    versionSeenAt_ = now;
    shard_.Clear();
    shard_.ParseFromString(row.value());
}

bool ShardWatch::canTakeOver(Utils::TimePoint now) const
{
    if (!seen_)
        return false;
    if (version_ == 0 || shard_.owner().empty())
        return true;
    return now - versionSeenAt_ >= withClockMargin(std::chrono::milliseconds(shard_.duration_ms()));
}

} // namespace Batch
