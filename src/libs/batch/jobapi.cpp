#include "jobapi.h"

#include "jobassignment.h"
#include "rowkeys.h"
#include "utils/identifiers.h"

#include <google/protobuf/util/json_util.h>

#include <vector>

namespace Batch {

namespace {

constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::uint32_t rowsPerScan = 1000;

constexpr unsigned statusOk = 200;
constexpr unsigned statusCreated = 201;
constexpr unsigned statusAccepted = 202;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusMethodNotAllowed = 405;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;

JobResponse jsonResponse(unsigned status, const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    JobResponse response { status, {} };
    (void)google::protobuf::util::MessageToJsonString(message, &response.body, options);
    return response;
}

JobResponse errorResponse(
    unsigned status, const std::string& error, const std::string& step, const std::string& peer = {})
{
    Schema::ErrorReply reply;
    reply.set_error(error);
    reply.set_step(step);
    reply.set_peer(peer);
    return jsonResponse(status, reply);
}

JobResponse errorResponse(const Utils::Error& error)
{
    const bool notFound = error.code == Utils::ErrorCode::NotFound;
    return errorResponse(
        notFound ? statusNotFound : statusUnavailable, error.message, error.step, error.peer);
}

// Reads all rows with a prefix, page by page.
Utils::Result<std::vector<Schema::Row>> scanAll(Platform::TableService& table, std::string_view prefix)
{
    std::vector<Schema::Row> rows;
    std::string after;
    for (bool hasMore = true; hasMore;) {
        const auto reply = table.scan(prefix, after, rowsPerScan);
        if (!Utils::isOk(reply))
            return Utils::error(reply);
        const Schema::ScanReply& page = Utils::value(reply);
        rows.insert(rows.end(), page.rows().begin(), page.rows().end());
        hasMore = page.more() && page.rows_size() > 0;
        after = rows.empty() ? std::string() : rows.back().key();
    }
    return rows;
}

void addInboxRow(Schema::CommitRequest& request, const std::string& key, const Schema::InboxRow& row)
{
    Schema::RowPut* put = request.add_puts();
    put->set_key(key);
    put->set_value(row.SerializeAsString());
}

} // namespace

JobApi::JobApi(Platform::TableService& table)
    : table_(table)
{
}

JobResponse JobApi::handle(
    std::string_view method, std::string_view path, std::string_view body, std::uint64_t unixMs)
{
    if (path == jobsPath)
        return method == "POST" ? submit(body, unixMs)
                                : errorResponse(statusMethodNotAllowed, "use POST", "jobs.route");
    if (!path.starts_with(jobsPath) || path.size() <= jobsPath.size() + 1 || path[jobsPath.size()] != '/')
        return errorResponse(statusNotFound, "no such path", "jobs.route");
    const std::string id(path.substr(jobsPath.size() + 1));
    if (method == "GET")
        return status(id);
    return method == "DELETE" ? cancel(id)
                              : errorResponse(statusMethodNotAllowed, "use GET or DELETE", "jobs.route");
}

JobResponse JobApi::submit(std::string_view body, std::uint64_t unixMs)
{
    Schema::JobRow job;
    Schema::JobSpec& spec = *job.mutable_spec();
    const auto parsed = google::protobuf::util::JsonStringToMessage({ body.data(), body.size() }, &spec);
    if (!parsed.ok())
        return errorResponse(statusBadRequest, std::string(parsed.message()), "jobs.parse");
    const std::string error = jobSpecError(spec);
    if (!error.empty())
        return errorResponse(statusBadRequest, error, "jobs.check");
    if (spec.id().empty())
        spec.set_id(Utils::makeUniqueId());
    const auto rows = scanAll(table_, shardPrefix());
    if (!Utils::isOk(rows))
        return errorResponse(Utils::error(rows));
    std::vector<CandidateShard> candidates;
    for (const Schema::Row& row : Utils::value(rows)) {
        CandidateShard& candidate = candidates.emplace_back();
        candidate.shard = row.key().substr(shardPrefix().size());
        candidate.row.ParseFromString(row.value());
        if (candidate.row.capacity().workers() == 0)
            candidates.pop_back();
    }
    if (candidates.empty())
        return errorResponse(statusUnavailable, "no shard of workers is known yet", "jobs.assign");
    const JobAssignment assignment = assignJob(spec, candidates);
    job.mutable_parts()->Assign(assignment.parts.begin(), assignment.parts.end());
    job.set_reason(assignment.reason);
    job.set_submitted_unix_ms(unixMs);
    return store(job);
}

JobResponse JobApi::store(const Schema::JobRow& job)
{
    const std::string key = jobKey(job.spec().id());
    Schema::CommitRequest request;
    request.set_write_id(Utils::makeUniqueId());
    request.add_conditions()->set_key(key);
    Schema::RowPut* put = request.add_puts();
    put->set_key(key);
    put->set_value(job.SerializeAsString());
    for (const Schema::JobPart& part : job.parts()) {
        Schema::InboxRow row;
        row.set_job(job.spec().id());
        *row.mutable_part() = part;
        *row.mutable_spec() = job.spec();
        row.set_submitted_unix_ms(job.submitted_unix_ms());
        addInboxRow(request, inboxSubmitKey(part.shard(), job.spec().id()), row);
    }
    const auto reply = Platform::commitAndResolve(table_, request);
    if (!Utils::isOk(reply))
        return errorResponse(Utils::error(reply));
    if (!Utils::value(reply).committed())
        return handleResubmission(job);
    return jsonResponse(statusCreated, sumJobStatus(job, {}));
}

JobResponse JobApi::handleResubmission(const Schema::JobRow& job)
{
    const auto stored = readJob(job.spec().id());
    if (!Utils::isOk(stored))
        return errorResponse(Utils::error(stored));
    if (Utils::value(stored).spec().SerializeAsString() != job.spec().SerializeAsString())
        return errorResponse(statusConflict, "another job has this id", "jobs.submit");
    return status(job.spec().id());
}

Utils::Result<Schema::JobRow> JobApi::readJob(const std::string& id)
{
    const auto row = table_.get(jobKey(id));
    if (!Utils::isOk(row))
        return Utils::error(row);
    Schema::JobRow job;
    if (Utils::value(row).version() == 0 || !job.ParseFromString(Utils::value(row).value()))
        return Utils::Error { Utils::ErrorCode::NotFound, "jobs.read", {}, "no job has this id" };
    return job;
}

Utils::Result<Schema::JobStatus> JobApi::readStatus(const Schema::JobRow& job)
{
    const auto rows = scanAll(table_, jobStatePrefix(job.spec().id()));
    if (!Utils::isOk(rows))
        return Utils::error(rows);
    std::vector<Schema::JobPartState> parts;
    for (const Schema::Row& row : Utils::value(rows))
        parts.emplace_back().ParseFromString(row.value());
    return sumJobStatus(job, parts);
}

JobResponse JobApi::status(const std::string& id)
{
    const auto job = readJob(id);
    if (!Utils::isOk(job))
        return errorResponse(Utils::error(job));
    const auto jobStatus = readStatus(Utils::value(job));
    if (!Utils::isOk(jobStatus))
        return errorResponse(Utils::error(jobStatus));
    return jsonResponse(statusOk, Utils::value(jobStatus));
}

JobResponse JobApi::cancel(const std::string& id)
{
    const auto job = readJob(id);
    if (!Utils::isOk(job))
        return errorResponse(Utils::error(job));
    Schema::CommitRequest request;
    request.set_write_id(Utils::makeUniqueId());
    for (const Schema::JobPart& part : Utils::value(job).parts()) {
        Schema::InboxRow row;
        row.set_job(id);
        row.set_cancel(true);
        addInboxRow(request, inboxCancelKey(part.shard(), id), row);
    }
    if (request.puts_size() > 0) {
        const auto reply = Platform::commitAndResolve(table_, request);
        if (!Utils::isOk(reply))
            return errorResponse(Utils::error(reply));
    }
    const auto jobStatus = readStatus(Utils::value(job));
    if (!Utils::isOk(jobStatus))
        return errorResponse(Utils::error(jobStatus));
    return jsonResponse(statusAccepted, Utils::value(jobStatus));
}

Schema::JobStatus sumJobStatus(const Schema::JobRow& job, const std::vector<Schema::JobPartState>& parts)
{
    Schema::JobStatus status;
    status.set_id(job.spec().id());
    status.set_name(job.spec().name());
    status.set_team(job.spec().team());
    status.set_count(job.spec().count());
    status.set_reason(job.reason());
    for (const Schema::JobPartState& part : parts) {
        status.set_running(status.running() + part.running());
        status.set_done(status.done() + part.done());
        status.set_failed(status.failed() + part.failed());
        status.set_cancelled(status.cancelled() + part.cancelled());
        status.set_never(status.never() + part.never());
        if (!part.reason().empty())
            status.set_reason(part.reason());
    }
    if (!job.reason().empty())
        status.set_never(status.count());
    const std::uint32_t ended = status.done() + status.failed() + status.cancelled();
    const std::uint32_t known = ended + status.running() + status.never();
    status.set_pending(known < status.count() ? status.count() - known : 0);
    if (status.running() > 0)
        status.set_state(Schema::RUNNING);
    else if (status.pending() > 0)
        status.set_state(Schema::PENDING);
    else if (status.never() > 0)
        status.set_state(Schema::NEVER);
    else if (status.failed() > 0)
        status.set_state(Schema::FAILED);
    else
        status.set_state(status.cancelled() > 0 ? Schema::CANCELLED : Schema::DONE);
    return status;
}

} // namespace Batch
