// Jobs of a shard: taken in from the inbox, cancelled, found unfit, finished and told of.

#include "rowkeys.h"
#include "shardownerprivate.h"

#include <algorithm>

namespace Batch {

namespace {

constexpr auto inboxInterval = std::chrono::milliseconds(500);
constexpr auto jobCheckInterval = std::chrono::seconds(1);
constexpr auto informInterval = std::chrono::seconds(2);
constexpr auto unfitGrace = std::chrono::seconds(30);
constexpr std::uint32_t leastUrgentRank = 100;
constexpr auto finishedJobRetention = std::chrono::hours(24);

} // namespace

void ShardOwner::Private::askInbox(Utils::TimePoint now, Actions& actions)
{
    const Utils::Duration interval = awaitsInbox_ ? answerTimeout() : Utils::Duration(inboxInterval);
    if (now - inboxAt_ < interval)
        return;
    awaitsInbox_ = true;
    inboxAt_ = now;
    inboxScanId_ = ++nextReadId_;
    actions.scans.push_back({ inboxPrefix(options_.shard), inboxScanId_ });
}

void ShardOwner::Private::onInbox(const std::vector<Schema::Row>& rows, Utils::TimePoint now)
{
    for (const Schema::Row& row : rows) {
        Schema::InboxRow entry;
        if (!entry.ParseFromString(row.value()))
            continue;
        Job* job = book_.job(entry.job());
        if (!entry.cancel() && job == nullptr) {
            Schema::JobRecord record;
            record.set_id(entry.job());
            *record.mutable_spec() = entry.spec();
            record.set_first(entry.part().first());
            record.set_count(entry.part().count());
            record.set_submitted_unix_ms(entry.submitted_unix_ms());
            job = &book_.add(record, now);
            book_.setRank(*job, rankOf(*job));
        } else if (entry.cancel() && job != nullptr && !job->record.finished()) {
            cancel(*job);
        }
        if (job == nullptr)
            journal_.erase(row.key());
        else
            journal_.put(job->record, row.key());
    }
}

void ShardOwner::Private::setPolicy(const Schema::PolicyDocument& policy)
{
    ranks_.clear();
    for (const Schema::PriorityClassPolicy& priorityClass : policy.priority_class())
        ranks_[priorityClass.name()] = priorityClass.rank();
    for (const auto& [id, job] : book_.jobs())
        book_.setRank(*job, rankOf(*job));
    placer_.setPolicy(policy);
}

std::uint32_t ShardOwner::Private::rankOf(const Job& job) const
{
    const auto found = ranks_.find(job.record.spec().priority_class());
    return found == ranks_.end() ? leastUrgentRank : found->second;
}

void ShardOwner::Private::cancel(Job& job)
{
    job.record.set_cancelled(true);
    for (Task& task : job.tasks) {
        const bool unsent = task.phase == TaskPhase::Starting && task.sentSequence == 0;
        if (task.phase == TaskPhase::Pending || task.phase == TaskPhase::Stocked || unsent)
            closeCancelled(task);
        else if (task.phase == TaskPhase::Running)
            askCommands(task);
    }
}

void ShardOwner::Private::checkFits(Utils::TimePoint now)
{
    if (!listKnown_)
        return;
    for (const auto& [id, job] : book_.jobs()) {
        if (job->record.finished())
            continue;
        const Schema::TaskSize& size = job->record.spec().size();
        const bool fits = std::ranges::any_of(workers_, [&](const auto& entry) {
            return entry.second.listed && commitments_.fitsEmpty(entry.first, size);
        });
        if (fits && job->never)
            job->informDue = true;
        if (fits) {
            job->unfitSince = Utils::TimePoint::max();
            job->never = false;
            job->reason.clear();
            continue;
        }
        job->unfitSince = std::min(job->unfitSince, now);
        if (job->never || now - job->unfitSince < unfitGrace)
            continue;
        job->never = true;
        job->informDue = true;
        job->reason = "no worker of shard " + options_.shard + " is large enough for one task";
    }
}

bool ShardOwner::Private::allEnded(const Job& job) const
{
    return std::ranges::all_of(job.tasks, [](const Task& task) { return task.phase == TaskPhase::Ended; });
}

void ShardOwner::Private::finishJobs(Utils::TimePoint now)
{
    if (now - jobsCheckedAt_ < jobCheckInterval && !releaseAsked_)
        return;
    jobsCheckedAt_ = now;
    checkFits(now);
    std::vector<std::string> expired;
    for (const auto& [id, job] : book_.jobs()) {
        if (job->record.finished() && now - job->finishedAt >= finishedJobRetention)
            expired.push_back(id);
        if (job->record.finished() || !allEnded(*job))
            continue;
        const Schema::JobPartState state = TaskBook::partState(*job);
        job->record.set_finished(true);
        job->record.set_done(state.done());
        job->record.set_failed(state.failed());
        job->finishedAt = now;
        job->informDue = true;
        journal_.put(job->record);
        book_.finish(*job);
    }
    for (const std::string& id : expired) {
        Schema::JobRecord record = book_.job(id)->record;
        record.set_forgotten(true);
        journal_.put(record);
        journal_.erase(jobKey(id));
        journal_.erase(jobStateKey(id, options_.shard));
        book_.erase(id);
    }
    inform(now);
}

void ShardOwner::Private::inform(Utils::TimePoint now)
{
    for (const auto& [id, job] : book_.jobs()) {
        const bool recent = now - job->informedAt < informInterval && !job->record.finished();
        if (!job->informDue || recent)
            continue;
        job->informDue = false;
        job->informedAt = now;
        journal_.inform(jobStateKey(id, options_.shard), TaskBook::partState(*job).SerializeAsString());
    }
}

} // namespace Batch
