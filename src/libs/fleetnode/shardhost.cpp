#include "shardhost.h"

#include "leaserenewal.h"

#include "utils/log/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Delay before a failed read of the jobs is repeated.
constexpr milliseconds loadRetryPause { 200 };
// How long a worker with tasks may delay its report; short enough to detect interference within a second.
constexpr milliseconds busyPollWait { 400 };
// Also bounds the time until a poll renews the lease of a first start.
constexpr milliseconds idlePollWait { 1500 };
// Longest time from the plan of a poll until it is sent.
constexpr milliseconds pollSendLimit { 700 };

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
    options.workerListLimit = workerListLimit;
    options.maxRowBytes = maxRowBytes(context);
    options.retention = std::chrono::seconds(settings.retention_s());
    options.sharedLoadMinWorkers = settings.shared_load_min_workers();
    options.interferenceLimit = milliseconds(settings.interference_ms());
    options.availabilityDelay = milliseconds(settings.disruption_notice_ms());
    return options;
}

std::string toMilliseconds(Utils::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

bool isReleased(const FleetSchema::ShardRecord& former)
{
    return former.epoch() > 0 && former.owner().empty();
}

} // namespace

ShardHost::ShardHost(NodeContext& context, std::string shard, OtherShards& otherShards,
    const Fleet::MembershipLease& membership, Fleet::TailLatencyModel& tailLatencyModel,
    std::function<void()> onClosed)
    : context_(context)
    , shard_(std::move(shard))
    , otherShards_(otherShards)
    , membership_(membership)
    , onClosed_(std::move(onClosed))
    , scheduler_(schedulerOptions(context, shard_), *this, tailLatencyModel)
    , passMonitor_(context, shard_)
    , writer_(
          context, shard_, [this] { close("taken-over"); }, [this] { onBatchRejected(); })
    , formerOwnerInquiry_(context, otherShards, shard_)
    , originReader_(
          context, [this](const std::string& job, FleetSchema::JobState state) { onOriginState(job, state); })
    , roundTimer_(context.io)
    , loadTimer_(context.io)
    , closeTimer_(context.io)
{
}

ShardHost::~ShardHost() = default;

void ShardHost::takeOver(
    const FleetSchema::ShardRecord& former, std::uint64_t version, const Fleet::StoreClock& clock)
{
    // The row does not change until this node has taken the shard over, so what it states still holds then.
    const Fleet::FormerLeases atRead = findFormerLeases(former, isOwnerGone(former), clock);
    formerOwner_ = former;
    writer_.takeOver(former, version, clock, atRead, [this, ends = atRead.ends] { onTookOver(ends); });
}

void ShardHost::onTookOver(const Fleet::LeaseEnds& statedEnds)
{
    const Fleet::FormerLeases leases
        = findFormerLeases(formerOwner_, isOwnerGone(formerOwner_), writer_.storeClock());
    Utils::log(Utils::LogLevel::Info, "shard-owned",
        { { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) },
            { "former_owner", formerOwner_.owner() }, { "former_write_age_ms", std::to_string(leases.ageMs) },
            { "former_renewal_ms", toMilliseconds(leases.renewal) },
            { "longest_wait_ms", toMilliseconds(leases.longestWait()) },
            { "stated_lease_ends", std::to_string(statedEnds.size()) } });
    formerRenewalEnd_ = context_.now() + leases.renewal;
    formerStartEnd_ = context_.now() + leases.start;
    scheduler_.setFormerLease(leases.lease);
    scheduler_.setFormerHeldLeaseEnd(context_.now() + leases.held);
    scheduler_.setFormerLeaseEnds(statedEnds);
    scheduler_.adoptStatedLeaseEnds(statedEnds);
    loadJobs({});
}

void ShardHost::onLeaseReport(const FleetSchema::LeaseReport& report)
{
    const Utils::TimePoint now = context_.now();
    Fleet::LeaseEnds ends;
    for (const auto& [worker, remainingMs] : report.remaining_ms())
        ends[worker] = now + milliseconds(remainingMs);
    const Fleet::FormerLeases leases = findFormerLeases(formerOwner_, true, writer_.storeClock());
    scheduler_.limitFormerLeases(ends, now + leases.longestWait());
    scheduler_.onFormerOwnersEnds(
        { report.ended().begin(), report.ended().end() }, now, NodeContext::nowUnixMs());
    requestRound();
}

// An owner that has released the shard, or was an earlier process of this node, renews no leases any more,
// but the owner before it may still do so.
bool ShardHost::isOwnerGone(const FleetSchema::ShardRecord& former) const
{
    return isReleased(former) || former.owner() == context_.settings.node().name();
}

Fleet::FormerLeases ShardHost::findFormerLeases(
    const FleetSchema::ShardRecord& former, bool isGone, const Fleet::StoreClock& clock) const
{
    const Schema::DispatchSettings& settings = context_.settings.dispatch();
    return Fleet::findFormerLeases(former, isGone, clock, context_.now(),
        { milliseconds(settings.orphan_grace_ms()), milliseconds(settings.worker_lease_limit_ms()),
            startTime(settings) });
}

void ShardHost::loadJobs(const std::string& fromJob)
{
    Ports::RowRange range;
    range.table = jobTable;
    range.partition = shard_;
    range.from = fromJob;
    range.isBulk = true;
    context_.store.read(range,
        [this, weak = std::weak_ptr<bool>(alive_), fromJob](const Utils::Result<Ports::RowPage>& result) {
            if (!weak.lock())
                return;
            if (Utils::isOk(result))
                return onJobPage(result);
            Utils::logError("shard-load-retried", Utils::error(result));
            loadTimer_.start(loadRetryPause, [this, fromJob] { loadJobs(fromJob); });
        });
}

void ShardHost::onJobPage(const Utils::Result<Ports::RowPage>& result)
{
    const Ports::RowPage& page = Utils::value(result);
    // The time for which former owners renew leases does not depend on how long the jobs take to read.
    scheduler_.setFormerRenewal(formerRenewalEnd_ - context_.now());
    scheduler_.setFormerStart(formerStartEnd_ - context_.now());
    const auto logDamage = [this](const std::string& key, const std::string& fault) {
        Utils::log(Utils::LogLevel::Error, "job-record-damaged",
            { { "shard", shard_ }, { "job", key }, { "fault", fault } });
    };
    for (const Ports::Row& row : page.rows) {
        const auto record = rowReader_.read(row.name.key, row.value);
        if (!record)
            continue;
        const std::string fault = Fleet::validateJobSpec(record->spec());
        if (fault.empty())
            scheduler_.restore(*record, context_.now(), NodeContext::nowUnixMs());
        else
            logDamage(row.name.key, fault);
    }
    if (page.hasMore && !page.rows.empty()) {
        // The smallest key after the last one read.
        return loadJobs(page.rows.back().name.key + '\0');
    }
    for (const std::string& key : rowReader_.incompleteRows())
        logDamage(key, "cannot be parsed or put together");
    rowReader_ = {};
    isLoaded_ = true;
    applyWorkers();
    const std::size_t unconfirmed = scheduler_.countUnconfirmedAttempts();
    Utils::log(Utils::LogLevel::Info, "shard-loaded",
        { { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) },
            { "unconfirmed_attempts", std::to_string(unconfirmed) },
            { "at_unlisted_workers", std::to_string(scheduler_.countAttemptsOnUnlistedWorkers()) } });
    formerOwnerInquiry_.start(
        formerOwner_, [this](const FleetSchema::LeaseReport& report) { onLeaseReport(report); });
    requestRound();
}

void ShardHost::setWorkers(std::vector<Ports::WorkerInfo> workers, Utils::TimePoint readAt)
{
    workers_ = std::move(workers);
    workersReadAt_ = readAt;
    if (isLoaded_ && !isClosed_)
        applyWorkers();
}

// Logs how many workers the shard has; a shard whose racks lose their workers cannot run its jobs.
void ShardHost::logWorkerCount()
{
    std::set<std::string> racks;
    WorkerCount count;
    for (const Ports::WorkerInfo& info : workers_) {
        ++count.listed;
        count.draining += info.isDraining ? 1 : 0;
        racks.insert(info.rack);
    }
    count.racks = racks.size();
    if (count == workerCount_)
        return;
    workerCount_ = count;
    context_.metrics.set("geraniumquay_shard_workers", Telemetry::label("shard", shard_),
        static_cast<double>(count.listed - count.draining));
    Utils::log(count.listed > count.draining ? Utils::LogLevel::Info : Utils::LogLevel::Warning,
        "shard-workers",
        { { "shard", shard_ }, { "listed", std::to_string(count.listed) },
            { "draining", std::to_string(count.draining) }, { "racks", std::to_string(count.racks) } });
}

void ShardHost::applyWorkers()
{
    scheduler_.setWorkers(workers_, context_.now(), workersReadAt_);
    logWorkerCount();
    for (const Ports::WorkerInfo& info : workers_)
        connect(info);
    // The entry of a worker may be missing although the worker lives, and only the worker or the end of its
    // lease can tell what became of its attempts.
    for (const Ports::WorkerInfo& info : scheduler_.unlistedWorkers())
        connect(info);
    requestRound();
}

void ShardHost::connect(const Ports::WorkerInfo& info)
{
    std::unique_ptr<WorkerConnection>& connection = connections_[info.id];
    if (!connection || connection->address() != info.address)
        connection = std::make_unique<WorkerConnection>(
            context_, info, static_cast<WorkerConnectionHandler&>(*this));
}

void ShardHost::submit(const FleetSchema::JobSpec& spec, JobAnswerHandler handler)
{
    // A new job is rejected at once instead of waiting for a stalled store. This is safe, because the shard
    // has not accepted the job.
    if (writer_.isStalled() && !scheduler_.knowsJob(spec.id()))
        return handler({ FleetSchema::PEER_UNAVAILABLE, FleetSchema::JOB_QUEUED, 0 });
    const std::uint64_t requestId = nextRequestId_++;
    answerHandlers_[requestId] = [this, id = spec.id(), startedAt = context_.now(),
                                     handler = std::move(handler)](const Fleet::JobAnswer& answer) {
        const auto took = std::chrono::duration_cast<milliseconds>(context_.now() - startedAt).count();
        Utils::log(Utils::LogLevel::Info, "job-stored",
            { { "job", id }, { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) },
                { "outcome", FleetSchema::PeerOutcome_Name(answer.outcome) },
                { "ms", std::to_string(took) } });
        handler(answer);
    };
    scheduler_.submit(spec, requestId, context_.now(), NodeContext::nowUnixMs());
    requestRound();
}

void ShardHost::acceptDelegatedTask(const FleetSchema::TaskTransfer& transfer, JobAnswerHandler handler)
{
    const std::uint64_t requestId = nextRequestId_++;
    answerHandlers_[requestId] = std::move(handler);
    scheduler_.acceptDelegatedTask(transfer, requestId, context_.now());
    requestRound();
}

bool ShardHost::hasShardWithRoom(const FleetSchema::JobSpec& spec, std::uint32_t step)
{
    return otherShards_.hasShardWithRoom(shard_, spec, step);
}

std::string ShardHost::findShardWithCapacity(const FleetSchema::JobSpec& spec, std::uint32_t step,
    Utils::Duration waited, std::span<const std::string> returnedBy)
{
    return otherShards_.findShardWithCapacity(shard_, spec, step, waited, returnedBy);
}

void ShardHost::acceptTaskResult(const FleetSchema::TaskResult& result, JobAnswerHandler handler)
{
    // A successor may have delegated the task.
    if (!scheduler_.knowsJob(result.job()) && !isOwnershipCertain())
        return handler({ FleetSchema::PEER_NOT_OWNER, FleetSchema::JOB_QUEUED, 0 });
    const std::uint64_t requestId = nextRequestId_++;
    answerHandlers_[requestId] = std::move(handler);
    scheduler_.acceptTaskResult(result, requestId, context_.now(), NodeContext::nowUnixMs());
    requestRound();
}

void ShardHost::cancelHostedTasks(const FleetSchema::JobSpec& job, JobAnswerHandler handler)
{
    const std::uint64_t requestId = nextRequestId_++;
    answerHandlers_[requestId] = std::move(handler);
    scheduler_.cancelHostedTasks(job, requestId, context_.now(), NodeContext::nowUnixMs());
    requestRound();
}

void ShardHost::cancel(const std::string& job, JobAnswerHandler handler)
{
    // A successor may have accepted the job.
    if (!scheduler_.knowsJob(job) && !isOwnershipCertain())
        return handler({ FleetSchema::PEER_NOT_OWNER, FleetSchema::JOB_QUEUED, 0 });
    const std::uint64_t requestId = nextRequestId_++;
    answerHandlers_[requestId] = std::move(handler);
    scheduler_.cancel(job, requestId, NodeContext::nowUnixMs());
    requestRound();
}

void ShardHost::answer(std::uint64_t requestId, const Fleet::JobAnswer& answer)
{
    const auto found = answerHandlers_.find(requestId);
    if (found == answerHandlers_.end())
        return;
    const JobAnswerHandler handler = std::move(found->second);
    answerHandlers_.erase(found);
    handler(answer);
}

void ShardHost::release()
{
    isReleasing_ = true;
    requestRound();
}

// Starts and stops, and calls to other shards, must not follow those of a successor.
Utils::TimePoint ShardHost::commandRightEnd() const
{
    return std::min(membership_.endFor(writer_.confirmedAt()), renewalRightEnd());
}

// A successor relies on no start being sent once the shard is released.
Utils::TimePoint ShardHost::startRightEnd() const
{
    if (isReleaseSent_)
        return Utils::TimePoint::min();
    return std::min(passRightEnd(), writer_.firstSentAt() + startTime(context_.settings.dispatch()));
}

// A pass assigns no worker once the operator may have evacuated the failure domain without this node's
// knowledge.
Utils::TimePoint ShardHost::passRightEnd() const
{
    return std::min(commandRightEnd(), evacuationKnownUntil_);
}

// Successors expect leases to be renewed until this time.
Utils::TimePoint ShardHost::renewalRightEnd() const
{
    return writer_.confirmedAt() + renewalTime(context_.settings.dispatch());
}

bool ShardHost::isOwnershipCertain() const
{
    return context_.now() < commandRightEnd();
}

// Whether a transaction would make the ownership certain again.
bool ShardHost::needsConfirmation() const
{
    return !isOwnershipCertain() && context_.now() < membership_.end();
}

void ShardHost::close(const char* reason)
{
    if (isClosed_)
        return;
    isClosed_ = true;
    if (isLoaded_)
        finalState_ = FinalState { scheduler_.leaseEnds(), scheduler_.unstoredEnds() };
    Utils::log(Utils::LogLevel::Info, "shard-given-up",
        { { "shard", shard_ }, { "epoch", std::to_string(writer_.epoch()) }, { "reason", reason } });
    connections_.clear();
    const auto handlers = std::move(answerHandlers_);
    answerHandlers_.clear();
    for (const auto& [requestId, handler] : handlers)
        handler({ FleetSchema::PEER_UNDECIDED, FleetSchema::JOB_QUEUED, 0 });
    closeTimer_.start(Utils::Duration::zero(), [this] {
        const auto onClosed = onClosed_;
        onClosed();
    });
}

WorkerConnection* ShardHost::findConnection(const std::string& worker)
{
    const auto found = connections_.find(worker);
    return found == connections_.end() ? nullptr : found->second.get();
}

Ports::PollRequest ShardHost::planPoll(const std::string& worker)
{
    const Utils::TimePoint now = context_.now();
    // A successor relies on leases not being renewed once the shard is released.
    const bool mayRenew = !isReleaseSent_ && now < renewalRightEnd();
    const Fleet::PollPlan plan = scheduler_.planPoll(worker, now, mayRenew);
    Ports::PollRequest request;
    request.leaseUntilMs = plan.leaseUntilMs;
    request.acknowledgedUpTo = plan.acknowledged;
    // A poll that waits longer, for example in a paused process, is planned anew.
    request.authority = { tokenFor(worker), now + pollSendLimit };
    if (plan.isWorkerResponsive)
        request.wait = plan.hasTasks ? busyPollWait : idlePollWait;
    return request;
}

void ShardHost::onReport(
    const std::string& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report)
{
    scheduler_.onReport(worker, sentAt, report, context_.now(), NodeContext::nowUnixMs());
    if (scheduler_.hasChanges() || scheduler_.isScheduleDue() || !report.ended.empty())
        requestRound();
}

void ShardHost::onPollFailed(const std::string& worker, const Utils::Error& error)
{
    if (error.code == Utils::ErrorCode::Conflict)
        return close("fenced-by-worker");
    if (error.code == Utils::ErrorCode::NotFound) {
        scheduler_.onWorkerReplaced(worker, context_.now(), NodeContext::nowUnixMs());
        return requestRound();
    }
    scheduler_.onPollFailed(worker, error.isPeerAbsent);
}

const FleetSchema::ShardLoad& ShardHost::load()
{
    // Each call of a caller for the state of a queue asks for it.
    constexpr milliseconds lifetime { 100 };
    const Utils::TimePoint now = context_.now();
    if (loadComputedAt_ == Utils::TimePoint {} || now - loadComputedAt_ >= lifetime) {
        loadComputedAt_ = now;
        load_ = scheduler_.load(now);
    }
    load_.set_epoch(writer_.epoch());
    return load_;
}

} // namespace FleetNode
