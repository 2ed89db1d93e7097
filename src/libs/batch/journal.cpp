#include "journal.h"

#include "rowkeys.h"

namespace Batch {

namespace {

constexpr std::size_t maxSegmentBytes = 512UL * 1024;
constexpr std::size_t maxStatusRowsPerFlush = 200;
constexpr std::size_t maxCompactedSegments = 8;

} // namespace

TaskKey taskKey(const Schema::TaskRecord& record)
{
    return { record.job(), record.task() };
}

Journal::Journal(std::string shard, std::uint32_t maxRecords, std::uint32_t maxSegments)
    : shard_(std::move(shard))
    , maxRecords_(maxRecords)
    , maxSegments_(maxSegments)
{
}

bool Journal::load(const std::vector<Schema::Row>& rows, const Schema::ShardRow& row)
{
    nextSegment_ = row.first_segment();
    std::map<std::uint64_t, Schema::JournalSegment> contents;
    for (const Schema::Row& segmentRow : rows) {
        Schema::JournalSegment& content = contents[nextSegment_];
        if (segmentRow.key() != journalKey(shard_, nextSegment_)
            || !content.ParseFromString(segmentRow.value()))
            return false;
        ++nextSegment_;
    }
    // All jobs are added before any task, because a task's record is dropped if its job is unknown, and
    // compaction may have moved a job's record behind the records of its tasks.
    for (const auto& [number, content] : contents)
        addJobs(number, content);
    for (const auto& [number, content] : contents)
        addTasks(number, content);
    return nextSegment_ == row.next_segment();
}

void Journal::put(const Schema::JobRecord& record, const std::string& inboxKey)
{
    bufferedJobs_[record.id()] = record;
    if (!inboxKey.empty())
        bufferedInbox_.emplace(record.id(), inboxKey);
}

void Journal::put(const Schema::TaskRecord& record)
{
    bufferedTasks_[taskKey(record)] = record;
}

void Journal::putStatusRow(const std::string& key, std::string value)
{
    bufferedStatusRows_[key] = std::move(value);
}

void Journal::deleteRow(const std::string& key)
{
    bufferedStatusRows_.erase(key);
    bufferedDeletes_.push_back(key);
}

bool Journal::hasBufferedChanges() const
{
    return !bufferedJobs_.empty() || !bufferedTasks_.empty() || !bufferedStatusRows_.empty()
        || !bufferedDeletes_.empty();
}

void Journal::prepareFlush(Schema::ShardRow& row, Schema::CommitRequest& request)
{
    prepared_ = {};
    prepared_.segment = nextSegment_;
    prepared_.content.set_epoch(row.epoch());
    Schema::RowPut* rowPut = request.add_puts();
    const std::size_t bytes = addBuffered(request);
    if (compactionDue())
        compactOldest(request, bytes);
    prepared_.writesSegment = prepared_.content.jobs_size() + prepared_.content.tasks_size() > 0;
    if (prepared_.writesSegment) {
        Schema::RowPut* put = request.add_puts();
        put->set_key(journalKey(shard_, prepared_.segment));
        put->set_value(prepared_.content.SerializeAsString());
    }
    const std::uint64_t next = nextSegment_ + (prepared_.writesSegment ? 1 : 0);
    const std::size_t remainingSegments
        = segments_.size() - prepared_.compacted.size() + (prepared_.writesSegment ? 1 : 0);
    row.set_next_segment(next);
    row.set_first_segment(next - remainingSegments);
    rowPut->set_key(shardKey(shard_));
    rowPut->set_value(row.SerializeAsString());
}

std::size_t Journal::addBuffered(Schema::CommitRequest& request)
{
    std::size_t bytes = 0;
    std::uint32_t records = 0;
    const auto belowLimits = [&] { return records < maxRecords_ && bytes < maxSegmentBytes; };
    while (!bufferedJobs_.empty() && belowLimits()) {
        const auto job = bufferedJobs_.begin();
        const auto [first, last] = bufferedInbox_.equal_range(job->first);
        for (auto inbox = first; inbox != last; ++inbox)
            request.add_deletes(inbox->second);
        bufferedInbox_.erase(first, last);
        bytes += job->second.ByteSizeLong();
        ++records;
        const auto known = jobs_.find(job->first);
        job->second.set_admitted_segment(
            known == jobs_.end() ? prepared_.segment : known->second.admitted_segment());
        *prepared_.content.add_jobs() = std::move(job->second);
        bufferedJobs_.erase(job);
    }
    while (!bufferedTasks_.empty() && belowLimits()) {
        const auto task = bufferedTasks_.begin();
        bytes += task->second.ByteSizeLong();
        ++records;
        *prepared_.content.add_tasks() = std::move(task->second);
        bufferedTasks_.erase(task);
    }
    for (std::size_t rows = 0; !bufferedStatusRows_.empty() && rows < maxStatusRowsPerFlush; ++rows) {
        const auto row = bufferedStatusRows_.begin();
        Schema::RowPut* put = request.add_puts();
        put->set_key(row->first);
        put->set_value(std::move(row->second));
        bufferedStatusRows_.erase(row);
    }
    for (std::string& key : bufferedDeletes_)
        request.add_deletes(std::move(key));
    bufferedDeletes_.clear();
    return bytes;
}

bool Journal::isLiveTask(const TaskKey& key) const
{
    const auto job = jobs_.find(key.first);
    return job != jobs_.end() && !job->second.finished();
}

bool Journal::compactionDue() const
{
    if (segments_.size() <= maxSegments_)
        return false;
    const std::size_t liveRecords = jobs_.size() + tasks_.size();
    const std::size_t neededSegments = 2 * liveRecords / maxRecords_;
    return recordCount_ > 2 * liveRecords
        || segments_.size() > std::size_t { 4 } * maxSegments_ + neededSegments;
}

std::size_t Journal::copyLiveRecords(std::uint64_t number, Schema::JournalSegment& content) const
{
    std::size_t records = 0;
    const Segment& segment = segments_.at(number);
    for (const std::string& job : segment.jobs) {
        const auto latest = jobSegments_.find(job);
        if (latest == jobSegments_.end() || latest->second != number)
            continue;
        *content.add_jobs() = jobs_.at(job);
        ++records;
    }
    for (const TaskKey& task : segment.tasks) {
        const auto latest = taskSegments_.find(task);
        if (latest == taskSegments_.end() || latest->second != number)
            continue;
        *content.add_tasks() = tasks_.at(task);
        ++records;
    }
    return records;
}

void Journal::compactOldest(Schema::CommitRequest& request, std::size_t bytes)
{
    std::size_t records = prepared_.content.jobs_size() + prepared_.content.tasks_size();
    Schema::JournalSegment copied;
    for (const auto& [number, segment] : segments_) {
        if (prepared_.compacted.size() == maxCompactedSegments)
            break;
        Schema::JournalSegment liveRecords;
        const std::size_t count = copyLiveRecords(number, liveRecords);
        const std::size_t size = liveRecords.ByteSizeLong();
        if (records + count > maxRecords_ || bytes + size > maxSegmentBytes)
            break;
        records += count;
        bytes += size;
        copied.MergeFrom(liveRecords);
        prepared_.compacted.push_back(number);
        request.add_deletes(journalKey(shard_, number));
    }
    // Later records in a segment override earlier ones, so copied records precede new ones.
    copied.set_epoch(prepared_.content.epoch());
    copied.MergeFrom(prepared_.content);
    prepared_.content = std::move(copied);
}

FlushedRecords Journal::onFlushCommitted()
{
    FlushedRecords flushed;
    for (const std::uint64_t number : prepared_.compacted) {
        recordCount_ -= segments_[number].jobs.size() + segments_[number].tasks.size();
        segments_.erase(number);
    }
    if (prepared_.writesSegment) {
        addJobs(prepared_.segment, prepared_.content);
        addTasks(prepared_.segment, prepared_.content);
        nextSegment_ = prepared_.segment + 1;
        flushed.jobs.assign(prepared_.content.jobs().begin(), prepared_.content.jobs().end());
        flushed.tasks.assign(prepared_.content.tasks().begin(), prepared_.content.tasks().end());
    }
    prepared_ = {};
    return flushed;
}

void Journal::addJobs(std::uint64_t number, const Schema::JournalSegment& content)
{
    Segment& segment = segments_[number];
    for (const Schema::JobRecord& job : content.jobs()) {
        segment.jobs.push_back(job.id());
        if (job.forgotten()) {
            jobs_.erase(job.id());
            jobSegments_.erase(job.id());
        } else {
            jobs_[job.id()] = job;
            jobSegments_[job.id()] = number;
        }
        if (job.finished() || job.forgotten())
            removeTasks(job.id());
    }
    recordCount_ += segment.jobs.size();
}

void Journal::addTasks(std::uint64_t number, const Schema::JournalSegment& content)
{
    Segment& segment = segments_[number];
    for (const Schema::TaskRecord& task : content.tasks()) {
        const TaskKey key = taskKey(task);
        segment.tasks.push_back(key);
        if (!isLiveTask(key) || number < jobs_.at(key.first).admitted_segment())
            continue;
        tasks_[key] = task;
        taskSegments_[key] = number;
    }
    recordCount_ += segment.tasks.size();
}

void Journal::removeTasks(const std::string& job)
{
    for (auto task = tasks_.lower_bound({ job, 0 }); task != tasks_.end() && task->first.first == job;) {
        taskSegments_.erase(task->first);
        task = tasks_.erase(task);
    }
}

const Schema::TaskRecord* Journal::recordedTask(const TaskKey& key) const
{
    const auto found = tasks_.find(key);
    return found == tasks_.end() ? nullptr : &found->second;
}

} // namespace Batch
