#pragma once

#include "actions.h"
#include "placer.h"

#include <policy.pb.h>

#include <memory>
#include <span>
#include <string_view>

namespace Batch {

/*! Fixed properties of a shard's owner. */
struct ShardOwnerOptions {
    std::string shard;
    std::string owner; //!< Unique name of this process's run, never used again.
    std::string region;
    std::string domain;
    Utils::Duration lease = std::chrono::seconds(3); //!< Of the shard and of the workers' attempts.
    Utils::Duration roundInterval
        = std::chrono::milliseconds(200); //!< Least time between flushes and between batches.
    Utils::Duration outageGrace = std::chrono::hours(2); //!< Workers are renewed so long without the table.
    std::uint32_t maxRecordedAhead = 200; //!< Greatest number of attempts recorded ahead of free capacity.
    std::uint32_t maxRecordsPerFlush = 2000; //!< Bounds a segment.
    std::uint32_t maxSegments = 16; //!< Older segments are compacted beyond this number.
    std::uint32_t maxFailures = 3; //!< A task fails for good after so many failed attempts.
};

/*! What an owner can tell of itself. */
struct ShardOwnerStatistics {
    bool isOwner = false;
    std::uint64_t epoch = 0;
    std::uint64_t commits = 0; //!< Writes that took effect, renewals included.
    std::uint64_t attemptsRecorded = 0;
    std::uint64_t attemptsSent = 0;
    std::uint64_t endsRecorded = 0;
    std::uint64_t evictions = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t jobs = 0;
    std::uint64_t pending = 0;
    std::uint64_t running = 0;
    std::uint64_t recordedAhead = 0;
    std::uint64_t responsiveWorkers = 0;
    Utils::Duration sinceCommit {}; //!< Since the last write that took effect was sent.
};

/*!
    One process's part in one shard: waits for the shard's lease, and as its owner records, starts, renews,
    ends and resumes attempts.

    Does no I/O: events and time come in, actions go out. Used by one thread at a time. Events may come late,
    twice or never; an answer that is no longer waited for is ignored.
*/
class ShardOwner {
public:
    /*!
        \param options fixed properties.
        \param placer chooses workers; must outlive this object.
    */
    ShardOwner(ShardOwnerOptions options, Placer& placer);
    ~ShardOwner();
    ShardOwner(const ShardOwner&) = delete;
    ShardOwner& operator=(const ShardOwner&) = delete;

    /*!
        Does what is due; call it at least each round.
        \param now the current time.
        \return what is to be done.
    */
    Actions tick(Utils::TimePoint now);

    /*!
        Takes in the answer to a write.
        \param writeId id of the write.
        \param outcome how it ended.
        \param version of the rows if committed.
        \param now the current time.
    */
    void onCommit(
        std::string_view writeId, CommitOutcome outcome, std::uint64_t version, Utils::TimePoint now);

    /*!
        Takes in a row that was asked for.
        \param id of the ReadAction.
        \param row the row, or nothing if it could not be read.
        \param now the current time.
    */
    void onRow(std::uint64_t id, const Schema::Row* row, Utils::TimePoint now);

    /*!
        Takes in rows that were asked for.
        \param id of the ScanAction.
        \param rows all rows of the prefix, or nothing if they could not be read.
        \param now the current time.
    */
    void onRows(std::uint64_t id, const std::vector<Schema::Row>* rows, Utils::TimePoint now);

    /*!
        Takes in a worker's report.
        \param worker the worker that was asked.
        \param sequence of the batch that it answers.
        \param report the report, or nothing if none came.
        \param now the current time.
    */
    void onReport(std::string_view worker, std::uint64_t sequence, const Schema::WorkerReport* report,
        Utils::TimePoint now);

    /*!
        Takes in the shard's workers from the VM list.
        \param workers all listed workers of the shard; one that is missing for long counts as fenced.
        \param now the current time.
    */
    void onWorkers(std::span<const Schema::VmEntry> workers, Utils::TimePoint now);

    /*!
        Takes in the configuration: the rank of each priority class orders pending tasks.
        \param policy the configuration in force.
    */
    void setPolicy(const Schema::PolicyDocument& policy);

    /*!
        Starts the planned hand-over: what is buffered is recorded, then the shard is released.
    */
    void release();

    /*! \return true once nothing is owned and no write is outstanding after release(). */
    bool isReleased() const;

    /*!
        Evicts an attempt: checkpoint, record, resume elsewhere.
        \param attempt the running attempt.
        \return false if it is not running or cannot write checkpoints.
    */
    bool evict(const Schema::AttemptRef& attempt);

    /*! \return counts for metrics. */
    ShardOwnerStatistics statistics() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Batch
