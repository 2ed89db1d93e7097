#pragma once

#include "shardscheduler.h"

namespace Fleet {

/*! A job with the state that is being stored, and whom to answer then. */
struct ShardScheduler::BatchedJob {
    Job* job = nullptr;
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED;
    std::vector<std::uint64_t> acceptTickets;
    std::vector<std::uint64_t> cancelTickets;
};

/*! What is to follow once the batch being stored is committed. */
struct ShardScheduler::InflightBatch {
    struct RecordedAttempt {
        Task* task = nullptr;
        std::uint32_t attempt = 0;
    };

    struct RecordedDelegation {
        Task* task = nullptr;
        std::uint32_t transferNumber = 0;
    };

    std::vector<BatchedJob> jobs;
    std::vector<RecordedAttempt> starts;
    std::vector<RecordedDelegation> delegations;
    std::vector<std::pair<std::string, std::uint64_t>>
        acknowledgements; //!< Worker and number of its latest end.
    std::vector<std::string> removals;
};

} // namespace Fleet
