// Hosted jobs of ShardScheduler after a takeover. The origin shard may have ended such a job while this shard
// had no owner that could be told, so a new owner asks before it starts tasks of the job.

#include "shardscheduler.h"

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Time for which a new owner waits for the origin shard's answer. If it does not come, the job counts as
// active, because a task must not wait for long beside free workers.
constexpr milliseconds originAnswerLimit { 1500 };
constexpr milliseconds originQueryInterval { 300 };
// Bounds the processor time of a tick.
constexpr int maxQueriesPerTick = 20;

} // namespace

bool ShardScheduler::awaitsOrigin(Job& job, Utils::TimePoint now)
{
    if (!job.isOriginUnconfirmed)
        return false;
    if (job.originAwaitedSince == Utils::TimePoint {})
        job.originAwaitedSince = now;
    if (now - job.originAwaitedSince >= originAnswerLimit)
        job.isOriginUnconfirmed = false;
    else
        hasWaitingTasks_ = true;
    return job.isOriginUnconfirmed;
}

void ShardScheduler::queryOrigins(Utils::TimePoint now)
{
    int queryCount = 0;
    for (const auto& [id, job] : jobs_) {
        if (!job->isOriginUnconfirmed || !job->isActive() || now - job->originQueriedAt < originQueryInterval)
            continue;
        if (++queryCount > maxQueriesPerTick)
            return;
        job->originQueriedAt = now;
        output_.queryOrigin(job->originShard, id);
    }
}

void ShardScheduler::onOriginState(const std::string& id, FleetSchema::JobState state, std::int64_t nowUnixMs)
{
    Job* const job = findJob(id);
    if (!job || !job->isOriginUnconfirmed)
        return;
    job->isOriginUnconfirmed = false;
    for (std::uint32_t occurrence = 0; occurrence < job->occurrences(); ++occurrence)
        visitAgain(*job, occurrence);
    isScheduleDue_ = true;
    const bool isOriginActive = state == FleetSchema::JOB_QUEUED || state == FleetSchema::JOB_RUNNING;
    if (job->isActive() && !isOriginActive)
        endJob(*job, FleetSchema::JOB_CANCELLED, nowUnixMs);
}

} // namespace Fleet
