#pragma once

#include "shardscheduler.h"

#include <algorithm>

namespace Fleet {

/*! A job of the batch with the state that is being stored and the tickets to answer once it is committed. */
struct ShardScheduler::BatchedJob {
    Job* job = nullptr;
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED;
    std::vector<std::uint64_t> acceptTickets;
    std::vector<std::uint64_t> cancelTickets;
};

/*! The batch being stored, with what has to be done once it is committed. */
struct ShardScheduler::InflightBatch {
    struct RecordedAttempt {
        Task* task = nullptr;
        std::uint32_t attempt = 0;
    };

    struct RecordedDelegation {
        Task* task = nullptr;
        std::uint32_t transferNumber = 0;
    };

    struct Acknowledgement {
        std::string worker;
        std::int64_t workerBornMs = 0; //!< Incarnation that numbered the end.
        std::uint64_t lastSeenEnd = 0; //!< Number of the latest processed end.
    };

    /*! \return the entry of a job whose state is being stored, or nullptr if there is none. */
    BatchedJob* findJob(const Job& job)
    {
        const auto found = std::find_if(
            jobs.begin(), jobs.end(), [&](const BatchedJob& stored) { return stored.job == &job; });
        return found == jobs.end() ? nullptr : &*found;
    }

    /*! \return whether the record of a job is being removed. */
    bool removes(const Job& job) const
    {
        return std::find(removals.begin(), removals.end(), job.spec.id()) != removals.end();
    }

    std::vector<BatchedJob> jobs;
    std::vector<RecordedAttempt> starts;
    std::vector<RecordedDelegation> delegations;
    std::vector<RecordedDelegation> results; //!< Results for origin shards.
    std::vector<Acknowledgement> acknowledgements;
    std::vector<std::string> removals;
};

} // namespace Fleet
