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

/*! Names a task within a shard. */
using TaskKey = std::pair<std::string, std::uint32_t>;

/*! \return the key of a record's task. \param record the record. */
TaskKey taskKey(const Schema::TaskRecord& record);

/*! What one write of the journal records. */
struct FlushedRecords {
    std::vector<Schema::JobRecord> jobs;
    std::vector<Schema::TaskRecord> tasks;
};

/*!
    The attempt journal of one shard: an append-only sequence of segments in the table.

    Changes are buffered, the latest of a task prevails, and each flush writes what is buffered as one segment
    of bounded size together with the shard row. Old segments are compacted by writing what still counts in
    them into the new one and deleting them in the same write.
*/
class Journal {
public:
    /*!
        \param shard name of the shard.
        \param maxRecords greatest number of records in a segment.
        \param maxSegments number of segments beyond which old ones are compacted.
    */
    Journal(std::string shard, std::uint32_t maxRecords, std::uint32_t maxSegments);

    /*!
        Takes in the journal of the owners before.
        \param rows all segment rows in the order of their keys.
        \param row the shard row written at the takeover.
        \return false if a segment is missing or cannot be read; the shard must not be served then.
    */
    bool load(const std::vector<Schema::Row>& rows, const Schema::ShardRow& row);

    /*!
        Buffers a job's record.
        \param record the record.
        \param inboxKey row to delete in the same write; empty for none.
    */
    void put(const Schema::JobRecord& record, const std::string& inboxKey = {});

    /*! Buffers a task's record. \param record the record. */
    void put(const Schema::TaskRecord& record);

    /*! Buffers a row that only informs. \param key its key. \param value its value. */
    void putStatusRow(const std::string& key, std::string value);

    /*! Buffers the deletion of a row. \param key its key. */
    void deleteRow(const std::string& key);

    /*! \return whether something is buffered. */
    bool hasBufferedChanges() const;

    /*!
        Moves what is buffered into a write; only one may be outstanding.
        \param row the shard row, its segment numbers are filled in.
        \param request takes puts and deletes, the shard row first.
    */
    void prepareFlush(Schema::ShardRow& row, Schema::CommitRequest& request);

    /*! Takes note that the prepared write took effect. \return what it recorded. */
    FlushedRecords onFlushCommitted();

    /*! \return the recorded state of a task, or nullptr. \param key the task. */
    const Schema::TaskRecord* recordedTask(const TaskKey& key) const;

    /*! \return the recorded jobs. */
    const std::map<std::string, Schema::JobRecord>& jobs() const { return jobs_; }

    /*! \return the recorded tasks of jobs that are not finished. */
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
