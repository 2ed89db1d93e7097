// Hosted jobs of ShardScheduler after a takeover. The origin shard may have ended such a job while this shard
// had no owner that could be told, so a new owner asks before it starts tasks of the job. The origin shard
// may have no owner either, so the job's stored state decides if no answer comes.

#include "shardscheduler.h"

#include <algorithm>
#include <tuple>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds originQueryInterval { 300 };
// Bounds the processor time of a tick.
constexpr std::size_t maxQueriesPerTick = 20;

// Jobs whose tasks wait come first, and then those that were not asked about for the longest time.
bool isAskedBefore(const Job* left, const Job* right)
{
    return std::tuple(!left->isOriginAwaited, left->originQueriedAt)
        < std::tuple(!right->isOriginAwaited, right->originQueriedAt);
}

} // namespace

bool ShardScheduler::awaitsOrigin(Job& job)
{
    job.isOriginAwaited = job.isOriginUnconfirmed;
    hasWaitingTasks_ = hasWaitingTasks_ || job.isOriginAwaited;
    return job.isOriginAwaited;
}

void ShardScheduler::queryOrigins(Utils::TimePoint now)
{
    std::vector<Job*> unconfirmed;
    for (const auto& [id, job] : jobs_) {
        if (job->isOriginUnconfirmed && job->isActive() && now - job->originQueriedAt >= originQueryInterval)
            unconfirmed.push_back(job.get());
    }
    const std::size_t count = std::min(unconfirmed.size(), maxQueriesPerTick);
    const auto end = unconfirmed.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(unconfirmed.begin(), end, unconfirmed.end(), isAskedBefore);
    std::for_each(unconfirmed.begin(), end, [&](Job* job) {
        const bool isRepeated = job->originQueriedAt != Utils::TimePoint {};
        job->originQueriedAt = now;
        output_.queryOrigin(job->originShard, job->spec.id());
        if (isRepeated && job->isOriginAwaited)
            output_.readOrigin(job->originShard, job->spec.id());
    });
}

void ShardScheduler::onOriginState(const std::string& id, FleetSchema::JobState state, std::int64_t nowUnixMs)
{
    Job* const job = findJob(id);
    if (!job || !job->isOriginUnconfirmed)
        return;
    job->isOriginUnconfirmed = false;
    job->isOriginAwaited = false;
    for (std::uint32_t occurrence = 0; occurrence < job->occurrences(); ++occurrence)
        visitAgain(*job, occurrence);
    isScheduleDue_ = true;
    const bool isOriginActive = state == FleetSchema::JOB_QUEUED || state == FleetSchema::JOB_RUNNING;
    if (job->isActive() && !isOriginActive)
        endJob(*job, FleetSchema::JOB_CANCELLED, nowUnixMs);
}

} // namespace Fleet
