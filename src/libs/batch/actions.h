#pragma once

#include <batch.pb.h>
#include <platform.pb.h>

#include <optional>
#include <string>
#include <vector>

namespace Batch {

/*! Asks for the rows of a prefix, all pages. */
struct ScanAction {
    std::string prefix;
    std::uint64_t id = 0; //!< Given back with the rows.
};

/*! Asks for one row. */
struct ReadAction {
    std::string key;
    std::uint64_t id = 0; //!< Given back with the row.
};

/*! A write; its outcome is given back with the write id. */
struct CommitAction {
    Schema::CommitRequest request;
};

/*! A command batch to one worker. */
struct SendAction {
    std::string worker;
    Schema::CommandBatch batch;
};

/*! What a decision core wants done; each action is answered by an event. */
struct Actions {
    std::vector<ScanAction> scans;
    std::vector<ReadAction> reads;
    std::vector<CommitAction> commits;
    std::vector<SendAction> sends;
};

/*! How a write ended. */
enum class CommitOutcome {
    Committed,
    Conflict, //!< A condition did not hold; nothing was written by this send.
    NotSent, //!< Nothing was sent.
    Unknown, //!< The write may have taken effect, or may yet.
};

} // namespace Batch
