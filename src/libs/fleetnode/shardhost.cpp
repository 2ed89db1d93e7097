#include "shardhost.h"

#include "utils/log/log.h"

#include <boost/asio/post.hpp>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Least time between transactions of a shard; lets a transaction carry several decisions.
constexpr milliseconds commitInterval { 40 };
// An idle owner proves its ownership this often, well within the orphan grace.
constexpr milliseconds renewInterval { 2000 };
// Pause before jobs are read again after a failure.
constexpr milliseconds loadRetryPause { 200 };
// A worker with tasks is polled so often that interference is seen within a second.
constexpr milliseconds busyPollWait { 400 };
constexpr milliseconds idlePollWait { 2000 };

Fleet::SchedulerOptions schedulerOptions(const NodeContext& context, const std::string& shard)
{
    const Schema::DispatchSettings& settings = context.settings.dispatch();
    Fleet::SchedulerOptions options;
    options.shard = shard;
    options.workerLeaseLimit = milliseconds(settings.worker_lease_limit_ms());
    options.workerLease
        = std::min<Utils::Duration>(milliseconds(settings.worker_lease_ms()), options.workerLeaseLimit);
    options.orphanGrace = milliseconds(settings.orphan_grace_ms());
    options.stopLimit = milliseconds(settings.stop_ms());
    options.retention = std::chrono::seconds(settings.retention_s());
    options.interferenceLimit = milliseconds(settings.interference_ms());
    options.disruptionNotice = milliseconds(settings.disruption_notice_ms());
    return options;
}

std::string describe(const Ports::TaskKey& task)
{
    return std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

} // namespace

ShardHost::ShardHost(NodeContext& context, std::string shard, ShardNeighbours& neighbours,
    Fleet::TailModel& tailModel, std::function<void()> onEnded)
    : context_(context)
    , shard_(std::move(shard))
    , neighbours_(neighbours)
    , onEnded_(std::move(onEnded))
    , scheduler_(schedulerOptions(context, shard_), *this, tailModel)
    , writer_(context, shard_, [this] { end("taken-over"); })
    , roundTimer_(context.io)
    , loadTimer_(context.io)
    , endTimer_(context.io)
{
}

ShardHost::~ShardHost() = default;

void ShardHost::takeOver(const FleetSchema::ShardRecord& former, std::uint64_t version)
{
    writer_.takeOver(former, version, [this, former] {
        Utils::log(Utils::LogLevel::Info, "shard-owned",
            { { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) },
                { "former_owner", former.owner() } });
        load({});
    });
}

void ShardHost::load(const std::string& fromJob)
{
    Ports::RowRange range;
    range.table = jobTable;
    range.partition = shard_;
    range.from = fromJob;
    context_.store.read(range,
        [this, weak = std::weak_ptr<bool>(alive_), fromJob](const Utils::Result<Ports::RowPage>& result) {
            if (!weak.lock())
                return;
            if (Utils::isOk(result))
                return onPage(result);
            Utils::logError("shard-load-retried", Utils::error(result));
            loadTimer_.start(loadRetryPause, [this, fromJob] { load(fromJob); });
        });
}

void ShardHost::onPage(const Utils::Result<Ports::RowPage>& result)
{
    const Ports::RowPage& page = Utils::value(result);
    for (const Ports::Row& row : page.rows) {
        FleetSchema::JobRecord record;
        const std::string fault
            = record.ParseFromString(row.value) ? Fleet::checkSpec(record.spec()) : "cannot be parsed";
        if (fault.empty())
            scheduler_.restore(record, context_.now(), NodeContext::nowUnixMs());
        else
            Utils::log(Utils::LogLevel::Error, "job-record-damaged",
                { { "shard", shard_ }, { "job", row.name.key }, { "fault", fault } });
    }
    if (page.hasMore && !page.rows.empty()) {
        // The next key after the last one read.
        return load(page.rows.back().name.key + '\0');
    }
    isLoaded_ = true;
    applyWorkers();
    wantRound();
}

void ShardHost::setWorkers(std::vector<Ports::WorkerInfo> workers)
{
    workers_ = std::move(workers);
    if (isLoaded_ && !isEnding_)
        applyWorkers();
}

void ShardHost::applyWorkers()
{
    scheduler_.setWorkers(workers_, context_.now());
    for (const Ports::WorkerInfo& info : workers_) {
        std::unique_ptr<WorkerLink>& link = links_[info.id];
        if (!link || link->address() != info.address)
            link = std::make_unique<WorkerLink>(context_, info, static_cast<WorkerLinkOwner&>(*this));
    }
    wantRound();
}

void ShardHost::submit(const FleetSchema::JobSpec& spec, JobHandler handler)
{
    // What would only wait for the store is refused at once; the job was not taken in, so that is true.
    if (writer_.isStalled() && !scheduler_.knowsJob(spec.id()))
        return handler({ FleetSchema::PEER_UNAVAILABLE, FleetSchema::JOB_QUEUED, 0 });
    const std::uint64_t ticket = nextTicket_++;
    handlers_[ticket] = [this, id = spec.id(), startedAt = context_.now(), handler = std::move(handler)](
                            const Fleet::JobAnswer& answer) {
        const auto took = std::chrono::duration_cast<milliseconds>(context_.now() - startedAt).count();
        Utils::log(Utils::LogLevel::Info, "job-stored",
            { { "job", id }, { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) },
                { "outcome", FleetSchema::PeerOutcome_Name(answer.outcome) },
                { "ms", std::to_string(took) } });
        handler(answer);
    };
    scheduler_.submit(spec, ticket, context_.now(), NodeContext::nowUnixMs());
    wantRound();
}

void ShardHost::adopt(const FleetSchema::TaskTransfer& transfer, JobHandler handler)
{
    const std::uint64_t ticket = nextTicket_++;
    handlers_[ticket] = std::move(handler);
    scheduler_.adopt(transfer, ticket, context_.now());
    wantRound();
}

std::string ShardHost::findShardWithRoom(const FleetSchema::JobSpec& spec, std::uint32_t step)
{
    return neighbours_.findShardWithRoom(shard_, spec, step);
}

void ShardHost::lendTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer)
{
    Utils::log(Utils::LogLevel::Info, "task-lent",
        { { "job", transfer.job().id() }, { "task", std::to_string(transfer.index()) }, { "from", shard_ },
            { "to", shard }, { "transfer", std::to_string(transfer.transfer()) } });
    FleetSchema::PeerRequest request;
    request.set_shard(shard);
    *request.mutable_adopt() = transfer;
    sendToNeighbour(request, [this, transfer, shard] { scheduler_.onLendAnswered(transfer, shard); });
}

void ShardHost::cancelLent(const std::string& shard, const FleetSchema::JobSpec& job)
{
    FleetSchema::PeerRequest request;
    request.set_shard(shard);
    *request.mutable_cancel_part() = job;
    sendToNeighbour(request, [this, id = job.id(), shard] { scheduler_.onPartCancelled(id, shard); });
}

// A call without an answer is repeated by the scheduler.
void ShardHost::sendToNeighbour(const FleetSchema::PeerRequest& request, std::function<void()> onStored)
{
    neighbours_.callOwner(request,
        [this, weak = std::weak_ptr<bool>(alive_), onStored = std::move(onStored)](
            const Utils::Result<FleetSchema::PeerReply>& result) {
            if (!weak.lock() || isEnding_)
                return;
            if (!Utils::isOk(result))
                return Utils::logError("neighbour-unanswered", Utils::error(result));
            if (Utils::value(result).outcome() == FleetSchema::PEER_OK)
                onStored();
        });
}

void ShardHost::cancelPart(const FleetSchema::JobSpec& job, JobHandler handler)
{
    const std::uint64_t ticket = nextTicket_++;
    handlers_[ticket] = std::move(handler);
    scheduler_.cancelPart(job, ticket, context_.now(), NodeContext::nowUnixMs());
    wantRound();
}

void ShardHost::cancel(const std::string& job, JobHandler handler)
{
    const std::uint64_t ticket = nextTicket_++;
    handlers_[ticket] = std::move(handler);
    scheduler_.cancel(job, ticket, NodeContext::nowUnixMs());
    wantRound();
}

void ShardHost::answer(std::uint64_t ticket, const Fleet::JobAnswer& answer)
{
    const auto found = handlers_.find(ticket);
    if (found == handlers_.end())
        return;
    const JobHandler handler = std::move(found->second);
    handlers_.erase(found);
    handler(answer);
}

void ShardHost::attemptEnded(
    const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, std::string_view how)
{
    context_.metrics.add("geraniumquay_attempts_ended_total", Telemetry::label("how", how));
    Utils::log(Utils::LogLevel::Info, "attempt-ended",
        { { "job", task.job }, { "task", describe(task) }, { "attempt", std::to_string(attempt) },
            { "worker", worker }, { "how", std::string(how) } });
}

void ShardHost::jobEnded(const Fleet::JobSummary& summary)
{
    static constexpr const char* names[] = { "queued", "running", "completed", "failed", "cancelled" };
    const char* const state = names[summary.state];
    context_.metrics.add("geraniumquay_jobs_ended_total", Telemetry::label("state", state));
    Utils::log(Utils::LogLevel::Info, "job-ended",
        { { "job", summary.job }, { "shard", shard_ }, { "state", state },
            { "age_ms", std::to_string(summary.ageMs) },
            { "objective_ms", std::to_string(summary.objectiveMs) },
            { "first_start_ms", std::to_string(summary.firstStartMs) },
            { "tasks", std::to_string(summary.tasks) }, { "attempts", std::to_string(summary.attempts) },
            { "failures", std::to_string(summary.failures) } });
}

void ShardHost::release()
{
    isReleasing_ = true;
    wantRound();
}

void ShardHost::wantRound()
{
    if (!isLoaded_ || isEnding_ || writer_.isBusy() || roundTimer_.isSet())
        return;
    const Utils::Duration delay = std::max(Utils::Duration::zero(), roundAllowedAt_ - context_.now());
    roundTimer_.start(delay, [this] { round(); });
}

// Decides and stores what was decided.
void ShardHost::round()
{
    if (isEnding_ || writer_.isBusy())
        return;
    const Utils::TimePoint now = context_.now();
    if (!isReleasing_)
        scheduler_.schedule(now, NodeContext::nowUnixMs());
    const std::optional<Fleet::RecordBatch> batch = scheduler_.takeBatch(NodeContext::nowUnixMs());
    const bool isLast = isReleasing_ && !scheduler_.hasChanges();
    if (!batch && !isLast && now - writer_.confirmedAt() < renewInterval) {
        for (const auto& [worker, link] : links_)
            link->wake();
        return;
    }
    roundAllowedAt_ = now + commitInterval;
    writer_.write(batch.value_or(Fleet::RecordBatch()), isLast, [this, isLast] {
        onStored();
        if (isLast)
            end("released");
    });
}

void ShardHost::onStored()
{
    scheduler_.onCommitted(context_.now());
    for (const auto& [worker, link] : links_)
        link->wake();
    if (scheduler_.hasChanges() || isReleasing_ || scheduler_.isScheduleDue())
        wantRound();
}

void ShardHost::tick()
{
    if (!isLoaded_ || isEnding_)
        return;
    scheduler_.onTick(context_.now(), NodeContext::nowUnixMs());
    std::erase_if(links_, [this](const auto& entry) { return !scheduler_.knowsWorker(entry.first); });
    if (scheduler_.hasChanges() || scheduler_.isScheduleDue()
        || context_.now() - writer_.confirmedAt() > renewInterval) {
        wantRound();
    }
}

void ShardHost::end(const char* reason)
{
    if (isEnding_)
        return;
    isEnding_ = true;
    Utils::log(Utils::LogLevel::Info, "shard-given-up",
        { { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) }, { "reason", reason } });
    links_.clear();
    const auto handlers = std::move(handlers_);
    handlers_.clear();
    for (const auto& [ticket, handler] : handlers)
        handler({ FleetSchema::PEER_UNDECIDED, FleetSchema::JOB_QUEUED, 0 });
    endTimer_.start(Utils::Duration::zero(), [this] {
        const auto onEnded = onEnded_;
        onEnded();
    });
}

WorkerLink* ShardHost::link(const std::string& worker)
{
    const auto found = links_.find(worker);
    return found == links_.end() ? nullptr : found->second.get();
}

void ShardHost::startAttempt(const Fleet::AttemptStart& start)
{
    WorkerLink* const link = this->link(start.worker);
    const auto reply = [this, weak = std::weak_ptr<bool>(alive_), worker = start.worker, task = start.task,
                           attempt = start.attempt](const Utils::Result<Ports::CommandReply>& result) {
        if (!weak.lock() || isEnding_)
            return;
        if (!Utils::isOk(result))
            Utils::logError("start-unanswered", Utils::error(result));
        scheduler_.onStartReply(worker, task, attempt, result, context_.now());
        checkReply(result);
        wantRound();
    };
    context_.metrics.add("geraniumquay_attempt_starts_total");
    Utils::log(Utils::LogLevel::Info, "attempt-started",
        { { "job", start.task.job }, { "task", describe(start.task) },
            { "attempt", std::to_string(start.attempt) }, { "worker", start.worker }, { "shard", shard_ } });
    if (!link) {
        boost::asio::post(context_.io, [reply, worker = start.worker] {
            reply(Utils::Error {
                Utils::ErrorCode::Unavailable, "worker.start", worker, "no link to the worker" });
        });
        return;
    }
    Ports::StartCommand order;
    order.task = start.task;
    order.attempt = start.attempt;
    order.payload = start.payload;
    order.checkpoint = start.checkpoint;
    order.leaseUntilMs = start.leaseUntilMs;
    order.epoch = writer_.epoch();
    link->agent().start(order, reply);
}

void ShardHost::stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt)
{
    context_.metrics.add("geraniumquay_attempt_stops_total");
    Utils::log(Utils::LogLevel::Info, "attempt-stopped",
        { { "job", task.job }, { "task", describe(task) }, { "attempt", std::to_string(attempt) },
            { "worker", worker }, { "shard", shard_ } });
    WorkerLink* const link = this->link(worker);
    if (!link)
        return; // Sent again while the attempt is open.
    link->agent().stop(task, attempt, writer_.epoch(),
        [this, weak = std::weak_ptr<bool>(alive_), worker, task, attempt](
            const Utils::Result<Ports::CommandReply>& result) {
            if (!weak.lock() || isEnding_)
                return;
            scheduler_.onStopReply(worker, task, attempt, result, context_.now());
            checkReply(result);
            wantRound();
        });
}

void ShardHost::throttleAttempt(
    const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, int percent)
{
    context_.metrics.add("geraniumquay_attempt_throttles_total");
    if (WorkerLink* const link = this->link(worker)) {
        link->agent().throttle(task, attempt, percent, writer_.epoch(),
            [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<Ports::CommandReply>& result) {
                if (weak.lock() && !isEnding_)
                    checkReply(result);
            });
    }
}

// A worker that has heard a higher epoch tells that another node owns the shard.
void ShardHost::checkReply(const Utils::Result<Ports::CommandReply>& reply)
{
    if (Utils::isOk(reply) && Utils::value(reply).outcome == Ports::CommandOutcome::Fenced)
        end("fenced-by-worker");
}

Ports::PollRequest ShardHost::planPoll(const std::string& worker)
{
    const Utils::TimePoint now = context_.now();
    const auto grace = milliseconds(context_.settings.dispatch().orphan_grace_ms());
    const Fleet::PollPlan plan = scheduler_.planPoll(worker, now, now - writer_.confirmedAt() < grace);
    Ports::PollRequest order;
    order.leaseUntilMs = plan.leaseUntilMs;
    order.acknowledgedUpTo = plan.acknowledged;
    order.epoch = writer_.epoch();
    if (plan.isKnown)
        order.wait = plan.hasTasks ? busyPollWait : idlePollWait;
    return order;
}

void ShardHost::onReport(
    const std::string& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report)
{
    scheduler_.onReport(worker, sentAt, report, context_.now(), NodeContext::nowUnixMs());
    if (scheduler_.hasChanges() || scheduler_.isScheduleDue() || !report.ended.empty())
        wantRound();
}

void ShardHost::onPollFailed(const std::string& worker, const Utils::Error& error)
{
    if (error.code == Utils::ErrorCode::Conflict)
        return end("fenced-by-worker");
    scheduler_.onPollFailed(worker);
}

FleetSchema::ShardLoad ShardHost::load() const
{
    FleetSchema::ShardLoad load = scheduler_.load();
    load.set_epoch(writer_.epoch());
    return load;
}

} // namespace FleetNode
