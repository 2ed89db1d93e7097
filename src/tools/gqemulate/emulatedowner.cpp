#include "emulatedowner.h"

#include "emulatedfleet.h"

#include "fleet/fencingtokens.h"

#include <iostream>
#include <limits>

namespace Emulate {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t pollIntervalMs = 250;
constexpr std::int64_t pollRetryDelayMs = 300;
// Time until a poll that is not answered counts as failed, on days of losses. A worker that has lost power
// counts as answering until then.
constexpr std::int64_t pollTimeoutMs = 700;

Fleet::SchedulerOptions optionsFor(const FleetScenario& scenario, std::size_t shard)
{
    const FleetVariant variant = scenario.variant;
    Fleet::SchedulerOptions options;
    options.shard = EmulatedFleet::shardName(shard);
    options.workerLease = milliseconds(EmulatedOwnerRow::leaseMs);
    options.workerLeaseLimit = milliseconds(EmulatedOwnerRow::leaseLimitMs);
    options.orphanGrace = milliseconds(scenario.renewalMs);
    options.stopLimit = milliseconds(200);
    options.retention = std::chrono::seconds(120);
    options.interferenceLimit = milliseconds(4000);
    options.availabilityDelay = milliseconds(5500);
    options.workerListLimit = milliseconds(3500);
    if (variant == FleetVariant::UnboundedSearches) {
        options.searchStepLimit = std::numeric_limits<std::size_t>::max();
        options.relocationStepLimit = std::numeric_limits<std::size_t>::max();
        options.tickStepLimit = std::numeric_limits<std::size_t>::max();
    }
    if (variant == FleetVariant::CallsToAnyIncarnation) {
        options.workerLeaseLimit = options.workerLease;
        options.callDelayLimit = -options.workerLeaseLimit;
    }
    if (variant == FleetVariant::NoStartCheck)
        options.startCheckLimit = {};
    if (variant == FleetVariant::NoLeaseWait) {
        options.orphanGrace = {};
        options.workerLeaseLimit = {};
        options.stopLimit = {};
    }
    return options;
}

// Returns what is sent instead of a poll that is the first on its connection.
Ports::PollRequest toFirstPoll(Ports::PollRequest request, FleetVariant variant)
{
    if (variant == FleetVariant::CallsToAnyIncarnation)
        return request;
    request.acknowledgedUpTo = 0;
    request.leaseUntilMs = 0;
    return request;
}

} // namespace

EmulatedOwner::EmulatedOwner(EmulatedFleet& fleet, std::size_t node, std::size_t shard)
    : fleet_(fleet)
    , node_(node)
    , shard_(shard)
    , incarnation_(fleet.node(node).incarnation)
    , renewalMs_(fleet.scenario().renewalMs)
    , row_(renewalMs_)
    , scheduler_(std::make_unique<Fleet::ShardScheduler>(optionsFor(fleet.scenario(), shard),
          static_cast<Fleet::SchedulerOutput&>(*this), fleet.node(node).tailLatencyModel))
{
}

EmulatedOwner::~EmulatedOwner() = default;

// Runs the function unless the ownership has ended; a frozen node runs it when it thaws, and one whose event
// loop is occupied by a pass after that.
void EmulatedOwner::runLater(std::int64_t delayMs, std::function<void()> function)
{
    fleet_.time().schedule(delayMs, [weak = weak_from_this(), function = std::move(function)] {
        const auto self = weak.lock();
        if (!self || self->isClosed_)
            return;
        const std::int64_t nowMs = self->fleet_.nowMs();
        const EmulatedNode& node = self->fleet_.node(self->node_);
        const std::int64_t waitMs = std::max(node.frozenUntilMs - nowMs, node.busyMs(nowMs));
        if (waitMs > 0)
            return self->runLater(waitMs, function);
        function();
    });
}

void EmulatedOwner::runWhenFree(std::function<void()> function)
{
    if (!isBusy())
        return function();
    runLater(fleet_.node(node_).busyMs(fleet_.nowMs()), std::move(function));
}

bool EmulatedOwner::isBusy() const
{
    return fleet_.node(node_).busyMs(fleet_.nowMs()) > 0;
}

void EmulatedOwner::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    if (!isLoaded_)
        return;
    finalLeaseEnds_ = scheduler_->leaseEnds();
    unstoredEnds_ = scheduler_->unstoredEnds();
}

FleetSchema::ShardLoad EmulatedOwner::currentLoad() const
{
    FleetSchema::ShardLoad load = scheduler_->load(fleet_.time().now());
    load.set_epoch(epoch());
    return load;
}

std::uint64_t EmulatedOwner::tokenFor(const std::string& worker) const
{
    return Fleet::fencingToken(epoch(), scheduler_->restartCount(worker));
}

void EmulatedOwner::pollWorkers()
{
    for (auto& [id, nextMs] : nextPollMs_) {
        if (fleet_.nowMs() < nextMs)
            continue;
        nextMs = fleet_.nowMs() + pollIntervalMs;
        poll(id);
    }
}

void EmulatedOwner::poll(const std::string& id, bool isRightAfterAnswer)
{
    const bool mayRenew = !isReleaseSent_ && fleet_.nowMs() - confirmedMs_ < renewalMs_;
    const Fleet::PollPlan plan = scheduler_->planPoll(id, fleet_.time().now(), mayRenew);
    Ports::PollRequest request;
    request.leaseUntilMs = plan.leaseUntilMs;
    if (mayRenew && fleet_.scenario().variant == FleetVariant::IgnoredLeaseStatement)
        request.leaseUntilMs = ignoredStatementLease(id, plan);
    request.acknowledgedUpTo = plan.acknowledged;
    request.authority.epoch = tokenFor(id);
    fleet_.time().schedule(fleet_.time().latencyMs(),
        [weak = weak_from_this(), &fleet = fleet_, id, request, sentAt = fleet_.time().now(),
            connectedTo = connectedIncarnations_[id], isRightAfterAnswer] {
            const PollResult result = carryOutPoll(fleet, id, request, connectedTo, isRightAfterAnswer);
            const auto self = weak.lock();
            if (!self)
                return;
            const bool isSilent = !result.report && !result.isAbsent && !result.isFenced;
            const std::int64_t delayMs = isSilent && fleet.scenario().hasLosses ? pollTimeoutMs : 0;
            if (const auto next = self->nextPollMs_.find(id); delayMs > 0 && next != self->nextPollMs_.end())
                next->second = fleet.nowMs() + delayMs + pollRetryDelayMs;
            self->runLater(delayMs,
                [owner = self.get(), id, sentAt, result] { owner->onPollResult(id, sentAt, result); });
        });
}

EmulatedOwner::PollResult EmulatedOwner::carryOutPoll(EmulatedFleet& fleet, const std::string& id,
    Ports::PollRequest request, std::int64_t connectedTo, bool isRightAfterAnswer)
{
    FleetWorker* const worker = fleet.platform().findWorker(id);
    PollResult result;
    result.token = request.authority.epoch;
    result.isAbsent = !worker || worker->refusesCalls();
    result.isFenced = worker && worker->answers() && worker->simulated.rejectsEpoch(result.token);
    const bool isSameIncarnation = worker && worker->simulated.info().startedUnixMs == connectedTo;
    const bool endWithAnswer = fleet.scenario().connections == ConnectionKind::EndWithAnswer;
    const bool endWithProcess = fleet.scenario().connections == ConnectionKind::EndWithProcess;
    const bool isFirstOnConnection
        = endWithAnswer ? !isRightAfterAnswer : endWithProcess && !isSameIncarnation;
    if (isFirstOnConnection)
        request = toFirstPoll(request, fleet.scenario().variant);
    result.mustRepeat = endWithAnswer && isFirstOnConnection && isSameIncarnation;
    if (!worker || !worker->carriesOutCalls()) {
        fleet.repeatOnceUp(id,
            [&fleet, request](FleetWorker& restarted) { restarted.simulated.poll(request, fleet.nowMs()); });
        return result;
    }
    result.report = worker->simulated.poll(request, fleet.nowMs());
    if (!worker->answers())
        result.report.reset();
    if (result.report)
        result.report->isFirstOnConnection = isFirstOnConnection;
    return result;
}

void EmulatedOwner::onPollResult(const std::string& id, Utils::TimePoint sentAt, const PollResult& result)
{
    if (result.isFenced && result.token == tokenFor(id))
        return close();
    connectedIncarnations_[id] = result.report ? result.report->startedUnixMs : 0;
    if (result.report) {
        scheduler_->onReport(id, sentAt, *result.report, fleet_.time().now(), fleet_.nowMs());
        return result.mustRepeat ? poll(id, true) : void();
    }
    const auto next = nextPollMs_.find(id);
    if (next != nextPollMs_.end())
        next->second = fleet_.nowMs() + pollRetryDelayMs;
    scheduler_->onPollFailed(id, result.isAbsent);
}

// Returns the lease that a poll would request if the owner had stated no ends of leases.
std::int64_t EmulatedOwner::ignoredStatementLease(const std::string& worker, const Fleet::PollPlan& plan)
{
    if (plan.leaseUntilMs > 0)
        leaseLeadMs_[worker] = plan.leaseUntilMs - fleet_.nowMs();
    const auto lead = leaseLeadMs_.find(worker);
    if (!plan.isWorkerResponsive || !plan.hasTasks || lead == leaseLeadMs_.end())
        return plan.leaseUntilMs;
    return lead->second + fleet_.nowMs();
}

void EmulatedOwner::trace(const Ports::TaskKey& task, const std::string& event) const
{
    const std::string& traced = fleet_.scenario().traceJob;
    if (task.job != traced && traced != "all")
        return;
    std::cout << fleet_.nowMs() << " ms " << task.job << "." << task.occurrence << "." << task.step << "."
              << task.index << " shard " << shard_ << " epoch " << epoch() << " node " << node_ << ": "
              << event << "\n";
}

void EmulatedOwner::quarantineChanged(const std::string& worker, Utils::Duration time)
{
    if (time == Utils::Duration::zero())
        quarantinedWorkers_.erase(worker);
    else
        quarantinedWorkers_.insert(worker);
}

void EmulatedOwner::throttleAttempt(
    const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, int percent)
{
    trace(task, "speed " + std::to_string(percent) + " ordered at " + worker);
    fleet_.time().schedule(fleet_.time().latencyMs(),
        [&fleet = fleet_, worker, task, attempt, percent, epoch = tokenFor(worker)] {
            FleetWorker* const target = fleet.platform().findWorker(worker);
            if (target && target->carriesOutCalls())
                target->simulated.throttle(task, attempt, percent, epoch);
        });
}

bool EmulatedOwner::hasShardWithRoom(const FleetSchema::JobSpec& spec, std::uint32_t step)
{
    return fleet_.node(node_).chooser.hasRoomElsewhere(EmulatedFleet::shardName(shard_), spec, step);
}

std::string EmulatedOwner::findShardWithCapacity(const FleetSchema::JobSpec& spec, std::uint32_t step,
    Utils::Duration waited, std::span<const std::string> returnedBy)
{
    if (fleet_.scenario().variant == FleetVariant::NoDelegationOfEndingTasks
        && !spec.steps(static_cast<int>(step)).lasting())
        return {};
    std::string chosen = fleet_.node(node_).chooser.chooseForTask(
        EmulatedFleet::shardName(shard_), spec, step, waited, fleet_.countAliveNodes(), returnedBy);
    trace({ spec.id(), 0, step, 0 },
        "looks for another shard: " + (chosen.empty() ? std::string("none") : chosen));
    return chosen;
}

void EmulatedOwner::delegateTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer)
{
    trace({ transfer.job().id(), transfer.occurrence(), transfer.step(), transfer.index() },
        "delegated to " + shard + ", transfer " + std::to_string(transfer.transfer()));
    fleet_.countDelegation();
    fleet_.callShard(
        node_, shard,
        [transfer](EmulatedOwner& owner, AnswerHandler handler) {
            owner.acceptDelegatedTask(transfer, std::move(handler));
        },
        [weak = weak_from_this(), transfer, shard](const Fleet::JobAnswer& answer) {
            if (const auto self = weak.lock(); self && answer.outcome == FleetSchema::PEER_OK)
                self->runLater(0, [owner = self.get(), transfer, shard] {
                    owner->scheduler_->onDelegationStored(transfer, shard);
                });
        });
}

void EmulatedOwner::cancelDelegatedTasks(const std::string& shard, const FleetSchema::JobSpec& job)
{
    trace({ job.id(), 0, 0, 0 }, "cancellation sent to " + shard);
    fleet_.callShard(
        node_, shard,
        [job](EmulatedOwner& owner, AnswerHandler handler) {
            owner.cancelHostedTasks(job, std::move(handler));
        },
        [weak = weak_from_this(), id = job.id(), shard](const Fleet::JobAnswer& answer) {
            if (const auto self = weak.lock(); self && answer.outcome == FleetSchema::PEER_OK)
                self->runLater(0, [owner = self.get(), id, shard] {
                    owner->scheduler_->onDelegatedTasksCancelled(id, shard);
                });
        });
}

void EmulatedOwner::sendTaskResult(const std::string& originShard, const FleetSchema::TaskResult& result)
{
    trace({ result.job(), result.occurrence(), result.step(), result.index() },
        "result " + std::to_string(result.kind()) + " sent to " + originShard + ", transfer "
            + std::to_string(result.transfer()));
    fleet_.callShard(
        node_, originShard,
        [result](EmulatedOwner& owner, AnswerHandler handler) {
            owner.acceptTaskResult(result, std::move(handler));
        },
        [weak = weak_from_this(), result](const Fleet::JobAnswer& answer) {
            if (const auto self = weak.lock(); self && answer.outcome == FleetSchema::PEER_OK)
                self->runLater(0, [owner = self.get(), result] {
                    owner->scheduler_->onTaskResultStored(result, owner->fleet_.nowMs());
                });
        });
}

void EmulatedOwner::queryOrigin(const std::string& originShard, const std::string& job)
{
    fleet_.callShard(
        node_, originShard,
        [job](EmulatedOwner& owner, const AnswerHandler& handler) {
            if (const auto state = owner.scheduler_->state(job))
                handler({ FleetSchema::PEER_OK, *state, 0 });
        },
        [weak = weak_from_this(), job](const Fleet::JobAnswer& answer) {
            if (const auto self = weak.lock(); self && answer.outcome == FleetSchema::PEER_OK)
                self->runLater(0, [owner = self.get(), job, state = answer.state] {
                    owner->scheduler_->onOriginState(job, state, owner->fleet_.nowMs());
                });
        });
}

void EmulatedOwner::readOrigin(const std::string& originShard, const std::string& job)
{
    if (!fleet_.isStoreReachable(node_))
        return;
    const auto& rows = fleet_.rows(EmulatedFleet::shardNumber(originShard));
    const auto row = rows.find(job);
    const FleetSchema::JobState state = row == rows.end() ? FleetSchema::JOB_COMPLETED : row->second.state();
    // Time of the answer.
    runLater(2 + fleet_.time().random(10),
        [this, job, state] { scheduler_->onOriginState(job, state, fleet_.nowMs()); });
}

void EmulatedOwner::attemptEnded(
    const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, std::string_view reason)
{
    trace(task, "attempt " + std::to_string(attempt) + " at " + worker + " over: " + std::string(reason));
    if (reason == "failed")
        failedTasks_.insert(task);
}

void EmulatedOwner::workerCrashed(const std::string& worker, const Ports::TaskKey& task,
    std::uint32_t attempt, const Fleet::CrashCount& crashes)
{
    attemptEnded(worker, task, attempt,
        "worker crashed, number " + std::to_string(crashes.proved) + ", unanswered "
            + std::to_string(crashes.unanswered));
}

void EmulatedOwner::taskWaiting(const Fleet::WaitReport& report)
{
    trace(report.task,
        "waits " + std::to_string(report.waitedMs) + " ms, " + std::string(report.phase) + ", obstacles "
            + report.obstacles + ", workers " + std::to_string(report.usableWorkers) + "/"
            + std::to_string(report.listedWorkers) + ", worker " + report.worker + " lease "
            + std::to_string(report.leaseRemainingMs) + " ms, host " + report.hostShard);
}

void EmulatedOwner::jobEnded(const Fleet::JobSummary& summary)
{
    trace({ summary.job, 0, 0, 0 }, "job ended with state " + std::to_string(summary.state));
}

std::uint64_t EmulatedOwner::addHandler(AnswerHandler handler)
{
    answerHandlers_[nextTicket_] = std::move(handler);
    return nextTicket_++;
}

void EmulatedOwner::answer(std::uint64_t ticket, const Fleet::JobAnswer& answer)
{
    const auto found = answerHandlers_.find(ticket);
    if (found == answerHandlers_.end())
        return;
    const AnswerHandler handler = std::move(found->second);
    answerHandlers_.erase(found);
    handler(answer);
}

void EmulatedOwner::submit(const FleetSchema::JobSpec& spec, AnswerHandler handler)
{
    scheduler_->submit(spec, addHandler(std::move(handler)), fleet_.time().now(), fleet_.nowMs());
}

void EmulatedOwner::cancel(const std::string& job, AnswerHandler handler)
{
    trace({ job, 0, 0, 0 }, "cancelled");
    scheduler_->cancel(job, addHandler(std::move(handler)), fleet_.nowMs());
}

void EmulatedOwner::acceptDelegatedTask(const FleetSchema::TaskTransfer& transfer, AnswerHandler handler)
{
    scheduler_->acceptDelegatedTask(transfer, addHandler(std::move(handler)), fleet_.time().now());
}

void EmulatedOwner::acceptTaskResult(const FleetSchema::TaskResult& result, AnswerHandler handler)
{
    scheduler_->acceptTaskResult(result, addHandler(std::move(handler)), fleet_.time().now(), fleet_.nowMs());
}

void EmulatedOwner::cancelHostedTasks(const FleetSchema::JobSpec& spec, AnswerHandler handler)
{
    scheduler_->cancelHostedTasks(spec, addHandler(std::move(handler)), fleet_.time().now(), fleet_.nowMs());
}

} // namespace Emulate
