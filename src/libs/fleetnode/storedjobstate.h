#pragma once

#include "utils/result.h"

#include <fleet.pb.h>

#include <functional>
#include <string>

namespace FleetNode {

struct NodeContext;

/*! Receives a job's state, NotFound if the shard has no record of the job, or the store's error. */
using StoredJobStateHandler = std::function<void(const Utils::Result<FleetSchema::JobState>&)>;

/*!
    Reads the stored state of a job. Owners report only stored states, so this is what the shard's owner would
    answer, and an owner is not needed.

    \param shard the shard that accepted the job.
*/
void readStoredJobState(const NodeContext& context, const std::string& shard, const std::string& job,
    StoredJobStateHandler handler);

} // namespace FleetNode
