// Jobs of a shard: accepts them from the inbox, cancels and finishes them, detects infeasible ones and
// publishes their states.

#include "rowkeys.h"
#include "shardownerprivate.h"

#include <algorithm>

namespace Batch {

namespace {

constexpr auto inboxInterval = std::chrono::milliseconds(500);
constexpr auto jobCheckInterval = std::chrono::seconds(1);
constexpr auto statePublishInterval = std::chrono::seconds(2);
constexpr auto infeasibleGrace = std::chrono::seconds(30);
constexpr std::uint32_t leastUrgentRank = 100;
constexpr auto finishedJobRetention = std::chrono::hours(24);

} // namespace

void ShardOwner::Private::scanInbox(Utils::TimePoint now, Actions& actions)
{
    const Utils::Duration interval = awaitsInbox_ ? answerTimeout() : Utils::Duration(inboxInterval);
    if (now - inboxScannedAt_ < interval)
        return;
    awaitsInbox_ = true;
    inboxScannedAt_ = now;
    inboxScanId_ = ++nextReadId_;
    actions.scans.push_back({ inboxPrefix(options_.shard), inboxScanId_ });
}

void ShardOwner::Private::onInbox(const std::vector<Schema::Row>& rows, Utils::TimePoint now)
{
    for (const Schema::Row& row : rows) {
        Schema::InboxRow entry;
        if (!entry.ParseFromString(row.value()))
            continue;
        Job* job = registry_.job(entry.job());
        if (!entry.cancel() && job == nullptr) {
            Schema::JobRecord record;
            record.set_id(entry.job());
            *record.mutable_spec() = entry.spec();
            record.set_first(entry.part().first());
            record.set_count(entry.part().count());
            record.set_submitted_unix_ms(entry.submitted_unix_ms());
            job = &registry_.add(record, now);
            registry_.setRank(*job, rankOf(*job));
        } else if (entry.cancel() && job != nullptr && !job->record.finished()) {
            cancel(*job);
        }
        if (job == nullptr)
            journal_.deleteRow(row.key());
        else
            journal_.put(job->record, row.key());
    }
}

void ShardOwner::Private::setPolicy(const Schema::PolicyDocument& policy)
{
    ranksByClass_.clear();
    for (const Schema::PriorityClassPolicy& priorityClass : policy.priority_class())
        ranksByClass_[priorityClass.name()] = priorityClass.rank();
    for (const auto& [id, job] : registry_.jobs())
        registry_.setRank(*job, rankOf(*job));
    placer_.setPolicy(policy);
}

std::uint32_t ShardOwner::Private::rankOf(const Job& job) const
{
    const auto found = ranksByClass_.find(job.record.spec().priority_class());
    return found == ranksByClass_.end() ? leastUrgentRank : found->second;
}

void ShardOwner::Private::cancel(Job& job)
{
    job.record.set_cancelled(true);
    for (Task& task : job.tasks) {
        const bool unsent = task.phase == TaskPhase::Starting && task.firstSentSequence == 0;
        if (task.phase == TaskPhase::Pending || task.phase == TaskPhase::Recorded || unsent)
            endCancelledTask(task);
        else if (task.phase == TaskPhase::Running)
            requestCommands(task);
    }
}

void ShardOwner::Private::updateFeasibility(Utils::TimePoint now)
{
    if (!hasWorkerList_)
        return;
    for (const auto& [id, job] : registry_.jobs()) {
        if (job->record.finished())
            continue;
        const Schema::TaskSize& size = job->record.spec().size();
        const bool fits = std::ranges::any_of(workers_, [&](const auto& entry) {
            return entry.second.listed && reservations_.fitsEmptyWorker(entry.first, size);
        });
        if (fits && job->canNeverRun)
            job->publishDue = true;
        if (fits) {
            job->infeasibleSince = Utils::TimePoint::max();
            job->canNeverRun = false;
            job->reason.clear();
            continue;
        }
        job->infeasibleSince = std::min(job->infeasibleSince, now);
        if (job->canNeverRun || now - job->infeasibleSince < infeasibleGrace)
            continue;
        job->canNeverRun = true;
        job->publishDue = true;
        job->reason = "no worker of shard " + options_.shard + " is large enough for one task";
    }
}

bool ShardOwner::Private::allTasksEnded(const Job& job) const
{
    return std::ranges::all_of(job.tasks, [](const Task& task) { return task.phase == TaskPhase::Ended; });
}

void ShardOwner::Private::finishJobs(Utils::TimePoint now)
{
    if (now - jobsCheckedAt_ < jobCheckInterval && !releaseRequested_)
        return;
    jobsCheckedAt_ = now;
    updateFeasibility(now);
    std::vector<std::string> expired;
    for (const auto& [id, job] : registry_.jobs()) {
        if (job->record.finished() && now - job->finishedAt >= finishedJobRetention)
            expired.push_back(id);
        if (job->record.finished() || !allTasksEnded(*job))
            continue;
        const Schema::JobPartState state = TaskRegistry::partState(*job);
        job->record.set_finished(true);
        job->record.set_done(state.done());
        job->record.set_failed(state.failed());
        job->finishedAt = now;
        job->publishDue = true;
        journal_.put(job->record);
        registry_.finish(*job);
    }
    for (const std::string& id : expired) {
        Schema::JobRecord record = registry_.job(id)->record;
        record.set_forgotten(true);
        journal_.put(record);
        journal_.deleteRow(jobKey(id));
        journal_.deleteRow(jobStateKey(id, options_.shard));
        registry_.erase(id);
    }
    publishJobStates(now);
}

void ShardOwner::Private::publishJobStates(Utils::TimePoint now)
{
    for (const auto& [id, job] : registry_.jobs()) {
        const bool isTooEarly = now - job->publishedAt < statePublishInterval && !job->record.finished();
        if (!job->publishDue || isTooEarly)
            continue;
        job->publishDue = false;
        job->publishedAt = now;
        journal_.putStatusRow(
            jobStateKey(id, options_.shard), TaskRegistry::partState(*job).SerializeAsString());
    }
}

} // namespace Batch
