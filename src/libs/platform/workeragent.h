#pragma once

#include "utils/result.h"

#include <batch.pb.h>
#include <platform.pb.h>

namespace Platform {

/*! Reaches the task agents of workers. Calls block up to the time limit of the adapter. */
class WorkerAgent {
public:
    virtual ~WorkerAgent() = default;

    /*!
        Sends a command batch; it also renews the lease of the shard's attempts at the worker.
        \param worker the worker's VM.
        \param batch the commands.
        \return the worker's report; ErrorCode::OutcomeUnknown if the batch may have been executed.
    */
    virtual Utils::Result<Schema::WorkerReport> send(
        const Schema::VmEntry& worker, const Schema::CommandBatch& batch)
        = 0;
};

} // namespace Platform
