#pragma once

#include "platform/tableservice.h"

#include <batch.pb.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Batch {

/*! Answer to a call of the job interface. */
struct JobResponse {
    unsigned status = 200; //!< HTTP status.
    std::string body; //!< JSON.
};

/*!
    The callers' job interface: POST /v1/jobs, GET and DELETE /v1/jobs/ID.

    A submission is idempotent by its id. Blocks for calls to the table. Safe for use from several threads if
    the table is.
*/
class JobApi {
public:
    /*! \param table holds jobs; must outlive this object. */
    explicit JobApi(Platform::TableService& table);

    /*!
        Handles one call.
        \param method HTTP method.
        \param path path of the request.
        \param body body of the request.
        \param unixMs the time of submission in milliseconds since 1970.
        \return the answer; 404 for a path that is not of this interface.
    */
    JobResponse handle(
        std::string_view method, std::string_view path, std::string_view body, std::uint64_t unixMs);

private:
    JobResponse submit(std::string_view body, std::uint64_t unixMs);
    JobResponse store(const Schema::JobRow& job);
    JobResponse handleResubmission(const Schema::JobRow& job);
    JobResponse status(const std::string& id);
    JobResponse cancel(const std::string& id);
    Utils::Result<Schema::JobRow> readJob(const std::string& id);
    Utils::Result<Schema::JobStatus> readStatus(const Schema::JobRow& job);

    Platform::TableService& table_;
};

/*!
    Sums the states of a job's parts.
    \param job the job.
    \param parts states of the parts that have told one.
    \return the state for callers.
*/
Schema::JobStatus sumJobStatus(const Schema::JobRow& job, const std::vector<Schema::JobPartState>& parts);

} // namespace Batch
