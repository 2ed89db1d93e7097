#pragma once

#include <batch.pb.h>
#include <platform.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Batch {

/*! Identifies a task: the job's id and the task's number in the job. */
using TaskKey = std::pair<std::string, std::uint32_t>;

TaskKey taskKey(const Schema::TaskRecord& record);

/*! Records that one flush of the journal wrote. */
struct FlushedRecords {
    std::vector<Schema::JobRecord> jobs;
    std::vector<Schema::TaskRecord> tasks;
};

/*!
    Attempt journal of one shard: an append-only sequence of segments in the table.

    Changes are buffered, and only the latest record of each job and task is kept. A flush writes buffered
    records as one segment of bounded size, together with the shard row. Compaction copies the still valid
    records of old segments into the new segment and deletes the old segments in the same write.
*/
class Journal {
public:
    /*!
        \param maxRecords greatest number of records in a segment.
        \param maxSegments number of segments up to which nothing is compacted. Above it, old segments are
               compacted once more than half of the records are outdated, or if there are more than four times
               as many segments plus twice those that the valid records need.
    */
    Journal(std::string shard, std::uint32_t maxRecords, std::uint32_t maxSegments);

    /*!
        Loads the journal that former owners of the shard wrote.
        \param rows all segment rows, sorted by key.
        \param row the shard row written at the takeover.
        \return false if a segment is missing or cannot be parsed; the shard must not be served then.
    */
    bool load(const std::vector<Schema::Row>& rows, const Schema::ShardRow& row);

    /*!
        Buffers a job's record.
        \param inboxKey key of an inbox row to delete in the same write; empty for none.
    */
    void put(const Schema::JobRecord& record, const std::string& inboxKey = {});

    /*! Buffers a task's record. */
    void put(const Schema::TaskRecord& record);

    /*! Buffers a row that publishes a status and is never read back by an owner. */
    void putStatusRow(const std::string& key, std::string value);

    /*! Buffers the deletion of a row; a buffered status row with this key is dropped. */
    void deleteRow(const std::string& key);

    /*! \return whether any change waits for a flush. */
    bool hasBufferedChanges() const;

    /*!
        Moves buffered changes into a write. Changes beyond the limits of a write stay buffered for the next
        flush. Only one flush may be outstanding.
        \param row the shard row; its segment numbers are set and it becomes the first put.
        \param request receives the puts and deletes.
    */
    void prepareFlush(Schema::ShardRow& row, Schema::CommitRequest& request);

    /*! Must be called once the prepared write has taken effect. \return the records that it wrote. */
    FlushedRecords onFlushCommitted();

    /*! \return the latest record of a task in the table, or nullptr if it has none. */
    const Schema::TaskRecord* recordedTask(const TaskKey& key) const;

    /*! \return the jobs recorded in the table. */
    const std::map<std::string, Schema::JobRecord>& jobs() const { return jobs_; }

    /*! \return the recorded tasks of unfinished jobs. */
    const std::map<TaskKey, Schema::TaskRecord>& tasks() const { return tasks_; }

    /*! \return number of segments in the table. */
    std::size_t segmentCount() const { return segments_.size(); }

private:
    struct Segment {
        std::vector<std::string> jobs;
        std::vector<TaskKey> tasks;
    };

    struct PreparedFlush {
        std::uint64_t segment = 0;
        bool writesSegment = false;
        Schema::JournalSegment content;
        std::vector<std::uint64_t> compacted;
    };

    bool isLiveTask(const TaskKey& key) const;
    bool compactionDue() const;
    std::size_t addBuffered(Schema::CommitRequest& request);
    void compactOldest(Schema::CommitRequest& request, std::size_t bytes);
    void addJobs(std::uint64_t number, const Schema::JournalSegment& content);
    void addTasks(std::uint64_t number, const Schema::JournalSegment& content);
    void removeTasks(const std::string& job);
    std::size_t copyLiveRecords(std::uint64_t number, Schema::JournalSegment& content) const;

    std::string shard_;
    std::uint32_t maxRecords_;
    std::uint32_t maxSegments_;
    std::uint64_t nextSegment_ = 0;
    std::size_t recordCount_ = 0;

    std::map<std::uint64_t, Segment> segments_;
    std::map<std::string, Schema::JobRecord> jobs_;
    std::map<TaskKey, Schema::TaskRecord> tasks_;
    std::map<std::string, std::uint64_t> jobSegments_;
    std::map<TaskKey, std::uint64_t> taskSegments_;

    std::map<std::string, Schema::JobRecord> bufferedJobs_;
    std::map<TaskKey, Schema::TaskRecord> bufferedTasks_;
    std::multimap<std::string, std::string> bufferedInbox_;
    std::map<std::string, std::string> bufferedStatusRows_;
    std::vector<std::string> bufferedDeletes_;
    PreparedFlush prepared_;
};

} // namespace Batch
