// Commands, calls and log lines that the scheduler of a ShardHost requests.

#include "shardhost.h"

#include "fleet/fencingtokens.h"
#include "utils/log/log.h"

#include <boost/asio/post.hpp>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

std::string describe(const Ports::TaskKey& task)
{
    return std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

// Milli-processors, MB of memory and accelerators.
std::string describe(const Placement::Resources& resources)
{
    return std::to_string(resources.milliProcessors) + "/" + std::to_string(resources.memoryMb) + "/"
        + std::to_string(resources.accelerators);
}

} // namespace

void ShardHost::startAttempt(const Fleet::AttemptStart& start)
{
    WorkerConnection* const connection = this->findConnection(start.worker);
    const auto onReply = [this, weak = std::weak_ptr<bool>(alive_), worker = start.worker, task = start.task,
                             attempt = start.attempt, token = tokenFor(start.worker)](
                             const Utils::Result<Ports::CommandReply>& result) {
        if (!weak.lock() || isClosed_)
            return;
        logStartReply(worker, task, attempt, result);
        scheduler_.onStartReply(worker, task, attempt, result, context_.now());
        checkFencing(worker, token, result);
        requestRound();
    };
    context_.metrics.add("geraniumquay_attempt_starts_total");
    Utils::log(Utils::LogLevel::Info, "attempt-started",
        { { "job", start.task.job }, { "task", describe(start.task) },
            { "attempt", std::to_string(start.attempt) }, { "worker", start.worker }, { "shard", shard_ },
            { "answer_age_ms", std::to_string(start.answerAgeMs) } });
    if (!connection) {
        boost::asio::post(context_.io, [onReply, worker = start.worker] {
            onReply(Utils::Error {
                Utils::ErrorCode::Unavailable, "worker.start", worker, "no connection to the worker" });
        });
        return;
    }
    Ports::StartCommand command;
    command.task = start.task;
    command.attempt = start.attempt;
    command.payload = start.payload;
    command.checkpoint = start.checkpoint;
    command.leaseUntilMs = start.leaseUntilMs;
    command.workerStartUnixMs = start.workerBornMs;
    command.checkLimit = start.checkLimit;
    command.authority
        = { tokenFor(start.worker), std::min(passRightEnd(), workersReadAt_ + workerListLimit) };
    connection->agent().start(command, onReply);
}

// Logs an answer that does not tell whether the start was carried out.
void ShardHost::logStartReply(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
    const Utils::Result<Ports::CommandReply>& reply)
{
    if (!Utils::isOk(reply)) {
        const Utils::Error& error = Utils::error(reply);
        const char* const sent = error.code == Utils::ErrorCode::Unavailable ? "no" : "yes";
        context_.metrics.add("geraniumquay_attempt_starts_unanswered_total", Telemetry::label("sent", sent));
        return Utils::log(Utils::LogLevel::Warning, "start-unanswered",
            { { "job", task.job }, { "task", describe(task) }, { "attempt", std::to_string(attempt) },
                { "worker", worker }, { "shard", shard_ }, { "sent", sent }, { "error", error.toString() } });
    }
    if (!Utils::value(reply).isToRepeatedCommand)
        return;
    const bool isAccepted = Utils::value(reply).outcome == Ports::CommandOutcome::Done;
    const char* const result = isAccepted ? "accepted" : "rejected";
    context_.metrics.add("geraniumquay_attempt_starts_repeated_total", Telemetry::label("result", result));
    Utils::log(Utils::LogLevel::Warning, "start-repeated",
        { { "job", task.job }, { "task", describe(task) }, { "attempt", std::to_string(attempt) },
            { "worker", worker }, { "shard", shard_ }, { "result", result } });
}

void ShardHost::stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt)
{
    // A successor may have adopted the attempt. The scheduler repeats the command while the attempt is open.
    if (!isOwnershipCertain())
        return;
    context_.metrics.add("geraniumquay_attempt_stops_total");
    Utils::log(Utils::LogLevel::Info, "attempt-stopped",
        { { "job", task.job }, { "task", describe(task) }, { "attempt", std::to_string(attempt) },
            { "worker", worker }, { "shard", shard_ } });
    WorkerConnection* const connection = this->findConnection(worker);
    if (!connection)
        return; // The scheduler repeats the command while the attempt is open.
    connection->agent().stop(task, attempt, { tokenFor(worker), commandRightEnd() },
        [this, weak = std::weak_ptr<bool>(alive_), worker, task, attempt, token = tokenFor(worker)](
            const Utils::Result<Ports::CommandReply>& result) {
            if (!weak.lock() || isClosed_)
                return;
            scheduler_.onStopReply(worker, task, attempt, result, context_.now());
            checkFencing(worker, token, result);
            requestRound();
        });
}

void ShardHost::throttleAttempt(
    const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, int percent)
{
    context_.metrics.add("geraniumquay_attempt_throttles_total");
    if (WorkerConnection* const connection = this->findConnection(worker)) {
        connection->agent().throttle(task, attempt, percent, { tokenFor(worker), renewalRightEnd() },
            [this, weak = std::weak_ptr<bool>(alive_), worker, token = tokenFor(worker)](
                const Utils::Result<Ports::CommandReply>& result) {
                if (weak.lock() && !isClosed_)
                    checkFencing(worker, token, result);
            });
    }
}

std::uint64_t ShardHost::tokenFor(const std::string& worker) const
{
    return Fleet::fencingToken(writer_.epoch(), scheduler_.restartCount(worker));
}

// A worker that has seen a higher token than any of this owner's reveals that another node owns the shard.
void ShardHost::checkFencing(
    const std::string& worker, std::uint64_t token, const Utils::Result<Ports::CommandReply>& reply)
{
    const bool isFenced = Utils::isOk(reply) && Utils::value(reply).outcome == Ports::CommandOutcome::Fenced;
    if (isFenced && token == tokenFor(worker))
        close("fenced-by-worker");
}

void ShardHost::attemptEnded(
    const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, std::string_view how)
{
    context_.metrics.add("geraniumquay_attempts_ended_total", Telemetry::label("how", how));
    Utils::log(Utils::LogLevel::Info, "attempt-ended",
        { { "job", task.job }, { "task", describe(task) }, { "attempt", std::to_string(attempt) },
            { "worker", worker }, { "how", std::string(how) } });
}

void ShardHost::workerLost(const Fleet::WorkerLoss& loss)
{
    context_.metrics.add("geraniumquay_worker_losses_total", Telemetry::label("reason", loss.reason));
    Utils::log(Utils::LogLevel::Warning, "worker-lost",
        { { "worker", loss.worker }, { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) },
            { "reason", std::string(loss.reason) }, { "attempts", std::to_string(loss.attemptCount) },
            { "unconfirmed", std::to_string(loss.unconfirmedCount) },
            { "unproved", std::to_string(loss.unprovedCount) },
            { "worker_listed", loss.isWorkerListed ? "true" : "false" },
            { "worker_start_unix_ms", std::to_string(loss.startUnixMs) },
            { "report_age_ms", std::to_string(loss.reportAgeMs) },
            { "since_lease_end_ms", std::to_string(loss.sinceLeaseEndMs) },
            { "lease_source", std::string(loss.leaseSource) } });
}

void ShardHost::workerRestarted(const Fleet::WorkerRestart& restart)
{
    context_.metrics.add("geraniumquay_worker_restarts_total");
    Utils::log(Utils::LogLevel::Warning, "worker-restarted",
        { { "worker", restart.worker }, { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) },
            { "former_start_unix_ms", std::to_string(restart.formerStartUnixMs) },
            { "start_unix_ms", std::to_string(restart.startUnixMs) },
            { "former_report_age_ms", std::to_string(restart.formerReportAgeMs) },
            { "attempts", std::to_string(restart.attemptCount) },
            { "unconfirmed", std::to_string(restart.unconfirmedCount) },
            { "may_hold_former_lease", restart.mayHoldFormerLease ? "true" : "false" } });
}

void ShardHost::workerUnusable(const std::string& worker, std::string_view cause, Utils::Duration time)
{
    const std::int64_t timeMs = std::chrono::duration_cast<milliseconds>(time).count();
    context_.metrics.add("geraniumquay_workers_unusable_total", Telemetry::label("cause", cause));
    Utils::log(Utils::LogLevel::Warning, "worker-unusable",
        { { "worker", worker }, { "shard", shard_ }, { "cause", std::string(cause) },
            { "time_ms", std::to_string(timeMs) } });
}

void ShardHost::capacityChanged(const Fleet::CapacityChange& change)
{
    const bool isOvercommitted = !change.committed.fitsIn(change.current);
    context_.metrics.add("geraniumquay_worker_capacity_changes_total");
    Utils::log(isOvercommitted ? Utils::LogLevel::Warning : Utils::LogLevel::Info, "worker-capacity-changed",
        { { "worker", change.worker }, { "shard", shard_ }, { "former", describe(change.former) },
            { "current", describe(change.current) }, { "committed", describe(change.committed) } });
}

void ShardHost::workerCrashed(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
    const Fleet::CrashCount& crashes)
{
    context_.metrics.add("geraniumquay_worker_crashes_total");
    Utils::log(Utils::LogLevel::Warning, "worker-crashed",
        { { "job", task.job }, { "task", describe(task) }, { "attempt", std::to_string(attempt) },
            { "worker", worker }, { "crashes", std::to_string(crashes.proved) },
            { "unanswered", std::to_string(crashes.unanswered) } });
}

void ShardHost::quarantineChanged(const std::string& worker, Utils::Duration time)
{
    const std::int64_t timeMs = std::chrono::duration_cast<milliseconds>(time).count();
    context_.metrics.add(
        timeMs > 0 ? "geraniumquay_worker_quarantines_total" : "geraniumquay_worker_quarantines_ended_total");
    Utils::log(timeMs > 0 ? Utils::LogLevel::Warning : Utils::LogLevel::Info, "worker-quarantine",
        { { "worker", worker }, { "shard", shard_ }, { "time_ms", std::to_string(timeMs) } });
}

void ShardHost::taskWaiting(const Fleet::WaitReport& report)
{
    const auto sinceConfirmed
        = std::chrono::duration_cast<milliseconds>(context_.now() - writer_.confirmedAt()).count();
    context_.metrics.add("geraniumquay_task_waits_total", Telemetry::label("phase", report.phase));
    Utils::log(Utils::LogLevel::Warning, "task-waiting",
        { { "job", report.task.job }, { "task", describe(report.task) }, { "shard", shard_ },
            { "epoch", std::to_string(writer_.epoch()) }, { "kind", std::string(report.kind) },
            { "phase", std::string(report.phase) }, { "waited_ms", std::to_string(report.waitedMs) },
            { "similar", std::to_string(report.similarTaskCount) },
            { "attempt", std::to_string(report.attempt) },
            { "failures", std::to_string(report.failureCount) }, { "obstacles", report.obstacles },
            { "workers", std::to_string(report.usableWorkers) + "/" + std::to_string(report.listedWorkers) },
            { "list_age_ms", std::to_string(report.workerListAgeMs) }, { "worker", report.worker },
            { "worker_listed", report.isWorkerListed ? "true" : "false" },
            { "worker_responsive", report.isWorkerResponsive ? "true" : "false" },
            { "report_age_ms", std::to_string(report.reportAgeMs) },
            { "lease_ms", std::to_string(report.leaseRemainingMs) },
            { "run_end_ms", std::to_string(report.runRemainingMs) }, { "lent_to", report.hostShard },
            { "lent_stored", report.isDelegationStored ? "true" : "false" },
            { "commit_age_ms", std::to_string(sinceConfirmed) } });
}

void ShardHost::jobEnded(const Fleet::JobSummary& summary)
{
    static constexpr const char* names[] = { "queued", "running", "completed", "failed", "cancelled" };
    const char* const state = names[summary.state];
    context_.metrics.add("geraniumquay_jobs_ended_total", Telemetry::label("state", state));
    if (!summary.reason.empty())
        context_.metrics.add("geraniumquay_jobs_failed_total", Telemetry::label("reason", summary.reason));
    Utils::log(Utils::LogLevel::Info, "job-ended",
        { { "job", summary.job }, { "shard", shard_ }, { "state", state },
            { "age_ms", std::to_string(summary.ageMs) },
            { "objective_ms", std::to_string(summary.objectiveMs) },
            { "first_start_ms", std::to_string(summary.firstStartMs) },
            { "tasks", std::to_string(summary.taskCount) },
            { "attempts", std::to_string(summary.attemptCount) },
            { "failures", std::to_string(summary.failureCount) },
            { "reason", std::string(summary.reason) } });
}

void ShardHost::delegateTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer)
{
    Utils::log(Utils::LogLevel::Info, "task-lent",
        { { "job", transfer.job().id() },
            { "task", describe({ {}, transfer.occurrence(), transfer.step(), transfer.index() }) },
            { "from", shard_ }, { "to", shard }, { "transfer", std::to_string(transfer.transfer()) } });
    FleetSchema::PeerRequest request;
    request.set_shard(shard);
    *request.mutable_adopt() = transfer;
    callUntilStored(request, [this, transfer, shard] { scheduler_.onDelegationStored(transfer, shard); });
}

void ShardHost::sendTaskResult(const std::string& originShard, const FleetSchema::TaskResult& result)
{
    Utils::log(Utils::LogLevel::Info, "task-handed-back",
        { { "job", result.job() },
            { "task", describe({ {}, result.occurrence(), result.step(), result.index() }) },
            { "from", shard_ }, { "to", originShard }, { "transfer", std::to_string(result.transfer()) },
            { "result", FleetSchema::TaskResultKind_Name(result.kind()) } });
    FleetSchema::PeerRequest request;
    request.set_shard(originShard);
    *request.mutable_result() = result;
    callUntilStored(request, [this, result] {
        scheduler_.onTaskResultStored(result, NodeContext::nowUnixMs());
        requestRound();
    });
}

void ShardHost::cancelDelegatedTasks(const std::string& shard, const FleetSchema::JobSpec& job)
{
    FleetSchema::PeerRequest request;
    request.set_shard(shard);
    *request.mutable_cancel_part() = job;
    callUntilStored(
        request, [this, id = job.id(), shard] { scheduler_.onDelegatedTasksCancelled(id, shard); });
}

void ShardHost::queryOrigin(const std::string& originShard, const std::string& job)
{
    FleetSchema::PeerRequest request;
    request.set_shard(originShard);
    request.set_query(job);
    callOtherShard(request, [this, job](const FleetSchema::PeerReply& reply) {
        if (reply.outcome() == FleetSchema::PEER_OK)
            onOriginState(job, reply.state());
        else if (reply.outcome() == FleetSchema::PEER_UNKNOWN_JOB)
            onOriginState(job, FleetSchema::JOB_COMPLETED);
    });
}

void ShardHost::readOrigin(const std::string& originShard, const std::string& job)
{
    originReader_.read(originShard, job);
}

void ShardHost::onOriginState(const std::string& job, FleetSchema::JobState state)
{
    if (isClosed_)
        return;
    scheduler_.onOriginState(job, state, NodeContext::nowUnixMs());
    requestRound();
}

// Does not retry, because the scheduler repeats a call that is not made or gets no reply.
void ShardHost::callOtherShard(
    const FleetSchema::PeerRequest& request, std::function<void(const FleetSchema::PeerReply&)> onAnswer)
{
    if (!isOwnershipCertain())
        return;
    otherShards_.callOwner(request,
        [this, weak = std::weak_ptr<bool>(alive_), onAnswer = std::move(onAnswer)](
            const Utils::Result<FleetSchema::PeerReply>& result) {
            if (!weak.lock() || isClosed_)
                return;
            if (!Utils::isOk(result))
                return Utils::logError("neighbour-unanswered", Utils::error(result));
            onAnswer(Utils::value(result));
        });
}

void ShardHost::callUntilStored(const FleetSchema::PeerRequest& request, std::function<void()> onStored)
{
    callOtherShard(request, [onStored = std::move(onStored)](const FleetSchema::PeerReply& reply) {
        if (reply.outcome() == FleetSchema::PEER_OK)
            onStored();
    });
}

} // namespace FleetNode
