#pragma once

#include <batch.pb.h>

#include <span>
#include <string>
#include <vector>

namespace Batch {

/*! A shard and its row in the table. */
struct CandidateShard {
    std::string shard;
    Schema::ShardRow row;
};

/*! Division of a job between shards. */
struct JobAssignment {
    std::vector<Schema::JobPart> parts;
    std::string reason; //!< Why the job can never run; empty if there are parts.
};

/*!
    Divides a job's tasks between shards.

    Batch tasks fill the shards with the most free capacity first; tasks beyond all free capacity are divided
    in proportion to the shards' total capacity. Replicas of a service are spread over failure domains and
    shards. Only shards with a worker large enough for one task are used.
    \return the parts, or the reason why the job can never run.
*/
JobAssignment assignJob(const Schema::JobSpec& spec, std::span<const CandidateShard> shards);

/*!
    Validates a submitted job.
    \param spec the job; its id may be empty.
    \return a description of the first error, or an empty string.
*/
std::string jobSpecError(const Schema::JobSpec& spec);

} // namespace Batch
