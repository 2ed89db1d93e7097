#pragma once

#include "actions.h"
#include "placer.h"

#include <policy.pb.h>

#include <memory>
#include <span>
#include <string_view>

namespace Batch {

/*! Options of a shard's owner. */
struct ShardOwnerOptions {
    std::string shard;
    std::string owner; //!< Name of this run of the process; never reused by another run.
    std::string region;
    std::string domain;
    Utils::Duration lease
        = std::chrono::seconds(3); //!< Lease of the shard and of the attempts on its workers.
    Utils::Duration roundInterval
        = std::chrono::milliseconds(200); //!< Least time between flushes, and between batches to one worker.
    Utils::Duration outageGrace
        = std::chrono::hours(2); //!< How long workers' leases are renewed without the table; then they lapse.
    std::uint32_t maxRecordedAhead
        = 200; //!< Greatest number of attempts recorded before capacity is free; more tasks stay pending.
    std::uint32_t maxRecordsPerFlush = 2000; //!< Greatest number of records in a journal segment.
    std::uint32_t maxSegments = 16; //!< Number of journal segments up to which nothing is compacted.
    std::uint32_t maxFailures = 3; //!< Failed attempts after which a batch task counts as failed.
};

/*! Counters and state of a shard's owner. */
struct ShardOwnerStatistics {
    bool isOwner = false;
    std::uint64_t epoch = 0;
    std::uint64_t commits = 0; //!< Writes that took effect, including lease renewals.
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
    Utils::Duration sinceCommit {}; //!< Always 0, as it is never set.
};

/*!
    Candidate for the ownership of one shard. Waits until the shard has no owner or its owner's lease has
    lapsed, then takes over the shard and records, starts, renews, ends and resumes attempts.

    Does no I/O: callers pass in events and the time and carry out the returned actions. Not thread-safe.
    Events may arrive late, repeatedly or never; outdated answers are ignored.
*/
class ShardOwner {
public:
    /*!
        \param placer chooses workers; must outlive this object.
    */
    ShardOwner(ShardOwnerOptions options, Placer& placer);
    ~ShardOwner();
    ShardOwner(const ShardOwner&) = delete;
    ShardOwner& operator=(const ShardOwner&) = delete;

    /*!
        Does the work that is due. Must be called at least once each round interval.
        \return the I/O to perform.
    */
    Actions tick(Utils::TimePoint now);

    /*!
        Handles the answer to a write.
        \param writeId id of the write.
        \param version version of the written rows if the write was committed.
    */
    void onCommit(
        std::string_view writeId, CommitOutcome outcome, std::uint64_t version, Utils::TimePoint now);

    /*!
        Handles the answer to a read.
        \param id id of the ReadAction.
        \param row the row, or nullptr if it could not be read.
    */
    void onRow(std::uint64_t id, const Schema::Row* row, Utils::TimePoint now);

    /*!
        Handles the answer to a scan.
        \param id id of the ScanAction.
        \param rows all rows with the prefix, or nullptr if they could not be read.
    */
    void onRows(std::uint64_t id, const std::vector<Schema::Row>* rows, Utils::TimePoint now);

    /*!
        Handles a worker's report.
        \param worker name of the worker that got the batch.
        \param sequence sequence number of the batch that the report answers.
        \param report the report, or nullptr if the batch was not answered.
    */
    void onReport(std::string_view worker, std::uint64_t sequence, const Schema::WorkerReport* report,
        Utils::TimePoint now);

    /*!
        Handles a new VM list. A worker that is missing from the list for 10 s counts as fenced: if it is also
        unresponsive, its attempts count as lost even before their leases have lapsed.
        \param workers all listed workers of the shard.
    */
    void onWorkers(std::span<const Schema::VmEntry> workers, Utils::TimePoint now);

    /*! Applies the policy in force. The ranks of its priority classes order pending tasks. */
    void setPolicy(const Schema::PolicyDocument& policy);

    /*! Starts a planned hand-over: buffered changes are written, then the shard is released. */
    void release();

    /*! \return true after release(), once this process does not own the shard and no write is outstanding. */
    bool isReleased() const;

    /*!
        Requests that a running attempt writes a checkpoint and ends; its task then resumes on any worker.
        \return false if the attempt is not running or its job is not checkpointable.
    */
    bool evict(const Schema::AttemptRef& attempt);

    /*! \return counters and state for metrics. */
    ShardOwnerStatistics statistics() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Batch
