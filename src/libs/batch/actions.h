#pragma once

#include <batch.pb.h>
#include <platform.pb.h>

#include <optional>
#include <string>
#include <vector>

namespace Batch {

/*! Reads all rows whose keys start with a prefix. */
struct ScanAction {
    std::string prefix;
    std::uint64_t id = 0; //!< Returned with the rows.
};

/*! Reads one row. */
struct ReadAction {
    std::string key;
    std::uint64_t id = 0; //!< Returned with the row.
};

/*! Writes rows in one transaction; the outcome is reported with the write id. */
struct CommitAction {
    Schema::CommitRequest request;
};

/*! Sends a command batch to one worker. */
struct SendAction {
    std::string worker;
    Schema::CommandBatch batch;
};

/*! I/O requested by a class that does none itself; the result of each action is passed back as an event. */
struct Actions {
    std::vector<ScanAction> scans;
    std::vector<ReadAction> reads;
    std::vector<CommitAction> commits;
    std::vector<SendAction> sends;
};

/*! Outcome of a write. */
enum class CommitOutcome {
    Committed,
    //! A condition did not hold, so this copy of the write had no effect. A copy sent earlier may have taken
    //! effect.
    Conflict,
    NotSent, //!< The write was not sent.
    Unknown, //!< The write may have taken effect or may still do so.
};

} // namespace Batch
