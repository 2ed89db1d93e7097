#pragma once

#include <batch.pb.h>

#include <span>
#include <string>
#include <vector>

namespace Batch {

/*! A shard as told by its row. */
struct CandidateShard {
    std::string shard;
    Schema::ShardRow row;
};

/*! Which shards run the tasks of a job. */
struct JobAssignment {
    std::vector<Schema::JobPart> parts;
    std::string reason; //!< Why the job can never run; empty if there are parts.
};

/*!
    Divides a job's tasks between shards.

    Tasks that end go where room is free, as few shards as have the room; replicas of a service are spread
    over failure domains and shards. Only shards with a worker large enough for one task are used.
    \param spec the job.
    \param shards all shards known.
    \return the parts, or why the job can never run.
*/
JobAssignment assignJob(const Schema::JobSpec& spec, std::span<const CandidateShard> shards);

/*!
    Checks a job as submitted.
    \param spec the job; its id may be empty.
    \return what is wrong, or empty.
*/
std::string jobSpecError(const Schema::JobSpec& spec);

} // namespace Batch
