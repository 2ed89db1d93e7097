#pragma once

#include "utils/result.h"

#include <batch.pb.h>
#include <platform.pb.h>

namespace Platform {

/*!
    Sends commands to the agents of workers.

    Calls block until they finish or the adapter's timeout expires.
*/
class WorkerAgent {
public:
    virtual ~WorkerAgent() = default;

    /*!
        Sends a command batch, which also renews the lease of the shard's attempts on the worker.
        \param worker the worker's VM.
        \return the worker's report; ErrorCode::OutcomeUnknown if the batch may have been executed.
    */
    virtual Utils::Result<Schema::WorkerReport> send(
        const Schema::VmEntry& worker, const Schema::CommandBatch& batch)
        = 0;
};

} // namespace Platform
