#pragma once

#include "platform/tableservice.h"

#include <batch.pb.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Batch {

/*! HTTP response of the job interface. */
struct JobResponse {
    unsigned status = 200; //!< HTTP status code.
    std::string body; //!< JSON.
};

/*!
    Job interface for callers: POST /v1/jobs, GET and DELETE /v1/jobs/ID.

    Submitting the same job with the same id again is idempotent. Calls block while the table is accessed.
    Thread-safe if the table is.
*/
class JobApi {
public:
    /*! \param table table that stores the jobs; must outlive this object. */
    explicit JobApi(Platform::TableService& table);

    /*!
        Handles one request.
        \param path path of the request target, without its query.
        \param body JSON of a Schema::JobSpec for POST, otherwise ignored.
        \param unixMs time of submission in milliseconds since 1970.
        \return the response; 404 for a path that does not belong to this interface.
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
    Sums the states of a job's parts into the status that callers get.
    \param parts states of the parts that have published one; tasks of other parts count as pending.
*/
Schema::JobStatus sumJobStatus(const Schema::JobRow& job, const std::vector<Schema::JobPartState>& parts);

} // namespace Batch
