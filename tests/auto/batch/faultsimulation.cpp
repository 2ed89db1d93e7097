#include "faultsimulation.h"

#include <batch/rowkeys.h>

#include <algorithm>

namespace Testing {

namespace {

constexpr std::size_t ownerCount = 3;
constexpr std::size_t workerCount = 4;
constexpr Milliseconds stepDuration(10);
constexpr double workerProcessors = 4;

} // namespace

FaultSimulation::FaultSimulation(std::uint32_t seed, FaultPlan plan, BrokenRule brokenRule)
    : random_(seed)
    , plan_(plan)
    , brokenRule_(brokenRule)
    , owners_(ownerCount)
    , workers_(workerCount)
    , linkCut_(ownerCount, std::vector<bool>(workerCount, false))
{
    for (std::size_t index = 0; index < workerCount; ++index)
        makeWorker(index);
    for (std::size_t index = 0; index < ownerCount; ++index)
        makeOwner(index);
}

void FaultSimulation::submit(const std::string& id, std::uint32_t count, std::uint64_t runMs,
    Schema::JobKind kind, const std::string& priorityClass)
{
    Schema::InboxRow row;
    row.set_job(id);
    row.mutable_part()->set_shard(shardName);
    row.mutable_part()->set_count(count);
    Schema::JobSpec& spec = *row.mutable_spec();
    spec.set_id(id);
    spec.set_kind(kind);
    spec.set_count(count);
    spec.mutable_size()->set_processors(1);
    spec.set_run_ms(runMs);
    spec.set_checkpointable(true);
    spec.set_priority_class(priorityClass);
    Schema::CommitRequest request;
    request.set_write_id("submit " + id);
    Schema::RowPut* put = request.add_puts();
    put->set_key(Batch::inboxSubmitKey(shardName, id));
    put->set_value(row.SerializeAsString());
    table_.commit(request);
    if (kind == Schema::BATCH)
        batchJobs_.push_back(id);
}

void FaultSimulation::cancel(const std::string& id)
{
    Schema::InboxRow row;
    row.set_job(id);
    row.set_cancel(true);
    Schema::CommitRequest request;
    request.set_write_id("cancel " + id);
    Schema::RowPut* put = request.add_puts();
    put->set_key(Batch::inboxCancelKey(shardName, id));
    put->set_value(row.SerializeAsString());
    table_.commit(request);
}

std::vector<std::string> FaultSimulation::run()
{
    while (now_ - simulationStart_ < plan_.maxDuration) {
        step();
        if (now_ - simulationStart_ > plan_.faultDuration && allFinished())
            break;
    }
    return checkInvariants();
}

void FaultSimulation::advance(Milliseconds duration)
{
    for (const Utils::TimePoint end = now_ + duration; now_ < end;)
        step();
}

Milliseconds FaultSimulation::firstStartDelay(const std::string& job) const
{
    for (const AttemptRun& run : runs_) {
        if (run.attempt.job == job)
            return std::chrono::duration_cast<Milliseconds>(run.startedAt - simulationStart_);
    }
    return Milliseconds(-1);
}

void FaultSimulation::step()
{
    now_ += stepDuration;
    if (now_ - simulationStart_ < plan_.faultDuration)
        injectFaults();
    while (!events_.empty() && events_.begin()->first <= now_) {
        const Event event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
    std::vector<Schema::VmEntry> list;
    for (Worker& worker : workers_) {
        runTasks(worker);
        list.push_back(worker.vm);
    }
    for (std::size_t index = 0; index < ownerCount; ++index) {
        if (now_ < owners_[index].pausedUntil)
            continue;
        owners_[index].core->onWorkers(list, now_);
        performActions(index, owners_[index].core->tick(now_));
    }
}

void FaultSimulation::injectFaults()
{
    const std::size_t index = random_() % ownerCount;
    const std::size_t worker = random_() % workerCount;
    const Milliseconds baseDuration(random_() % 4000);
    if (plan_.ownerKills && chance(0.002))
        killOwner(index);
    if (plan_.ownerPauses && chance(0.004))
        owners_[index].pausedUntil = now_ + Milliseconds(500 + random_() % 9000);
    if (plan_.outages && chance(0.001)) {
        outage_ = true;
        schedule(baseDuration * 4, [this] { outage_ = false; });
    }
    if (plan_.outages && chance(0.002)) {
        owners_[index].tableUnreachable = true;
        schedule(baseDuration * 3, [this, index] { owners_[index].tableUnreachable = false; });
    }
    if (plan_.partitions && chance(0.004)) {
        linkCut_[index][worker] = true;
        schedule(baseDuration * 3, [this, index, worker] { linkCut_[index][worker] = false; });
    }
    if (plan_.workerKills && chance(0.0005))
        makeWorker(worker);
    if (!plan_.evictions || !chance(0.02) || runs_.empty())
        return;
    const AttemptRun& run = runs_[runs_.size() - 1 - random_() % std::min<std::size_t>(runs_.size(), 16)];
    if (run.state == Schema::ATTEMPT_RUNNING && ownerIndex() >= 0)
        owners_[static_cast<std::size_t>(ownerIndex())].core->evict(Batch::attemptRef(run.attempt));
}

Milliseconds FaultSimulation::randomLatency()
{
    const bool faultsActive = now_ - simulationStart_ < plan_.faultDuration;
    if (faultsActive && plan_.partitions && chance(0.02))
        return Milliseconds(random_() % 12000);
    return Milliseconds(1 + random_() % 30);
}

int FaultSimulation::ownerIndex() const
{
    const auto isOwner = [](const Owner& candidate) { return candidate.core->statistics().isOwner; };
    const auto found = std::ranges::find_if(owners_, isOwner);
    return found == owners_.end() ? -1 : static_cast<int>(found - owners_.begin());
}

void FaultSimulation::killOwner(std::size_t index)
{
    makeOwner(index);
    owners_[index].pausedUntil = now_ + Milliseconds(500);
}

void FaultSimulation::makeOwner(std::size_t index)
{
    Batch::ShardOwnerOptions options;
    options.shard = shardName;
    options.owner = "owner-" + std::to_string(index) + "-" + std::to_string(++owners_[index].generation);
    options.maxRecordedAhead = 6;
    options.maxSegments = 4;
    options.maxRecordsPerFlush = 50;
    options.outageGrace = std::chrono::seconds(30);
    if (brokenRule_ == BrokenRule::LeaseUnderestimated)
        options.lease = Milliseconds(600);
    owners_[index].core = std::make_unique<Batch::ShardOwner>(options, placer_);
    Schema::PolicyDocument policy;
    policy.add_priority_class()->set_name("urgent");
    owners_[index].core->setPolicy(policy);
}

void FaultSimulation::makeWorker(std::size_t index)
{
    Worker& worker = workers_[index];
    if (worker.core)
        processRunLog(worker);
    worker.vm.set_name("worker-" + std::to_string(index));
    worker.vm.set_processors(workerProcessors);
    for (AttemptRun& run : runs_) {
        if (run.worker == worker.vm.name() && run.endedAt == Utils::TimePoint::max()) {
            run.endedAt = now_;
            run.state = Schema::ATTEMPT_LAPSED;
        }
    }
    worker.core = std::make_unique<Batch::WorkerCore>(
        worker.vm.name(), "incarnation-" + std::to_string(++worker.incarnation));
    worker.clockRate = 0.99 + 0.02 * std::uniform_real_distribution<>()(random_);
    worker.runLogPosition = 0;
    worker.endTimes.clear();
    worker.checkpointTimes.clear();
    worker.sizes.clear();
}

void FaultSimulation::deliverToOwner(
    std::size_t index, int generation, const std::function<void(Batch::ShardOwner&)>& event)
{
    Owner& owner = owners_[index];
    if (owner.generation != generation)
        return;
    if (now_ >= owner.pausedUntil) {
        event(*owner.core);
        return;
    }
    events_.emplace(
        owner.pausedUntil, [this, index, generation, event] { deliverToOwner(index, generation, event); });
}

void FaultSimulation::performActions(std::size_t index, const Batch::Actions& actions)
{
    const int generation = owners_[index].generation;
    for (const Batch::ReadAction& read : actions.reads) {
        schedule(randomLatency(), [=, this] {
            const bool reached = tableReachable(index);
            const Schema::Row row = Utils::value(table_.get(read.key));
            schedule(randomLatency(), [=, this] {
                deliverToOwner(index, generation,
                    [=, this](auto& core) { core.onRow(read.id, reached ? &row : nullptr, now_); });
            });
        });
    }
    for (const Batch::ScanAction& scan : actions.scans) {
        schedule(randomLatency(), [=, this] {
            const bool reached = tableReachable(index);
            const auto reply = Utils::value(table_.scan(scan.prefix, "", 100000));
            const std::vector<Schema::Row> rows(reply.rows().begin(), reply.rows().end());
            schedule(randomLatency(), [=, this] {
                deliverToOwner(index, generation,
                    [=, this](auto& core) { core.onRows(scan.id, reached ? &rows : nullptr, now_); });
            });
        });
    }
    for (const Batch::CommitAction& commit : actions.commits)
        performCommit(index, commit.request);
    for (const Batch::SendAction& send : actions.sends)
        performSend(index, send);
}

void FaultSimulation::performCommit(std::size_t index, const Schema::CommitRequest& request)
{
    const int generation = owners_[index].generation;
    const int copyCount = plan_.partitions && chance(0.02) ? 2 : 1;
    for (int copy = 0; copy < copyCount; ++copy) {
        schedule(randomLatency(), [=, this] {
            Schema::CommitRequest sent = request;
            if (brokenRule_ == BrokenRule::ConditionsIgnored)
                sent.clear_conditions();
            Batch::CommitOutcome outcome = Batch::CommitOutcome::Unknown;
            std::uint64_t version = 0;
            const bool answered = tableReachable(index) && !(plan_.outages && chance(0.03));
            if (tableReachable(index)) {
                const Schema::CommitReply reply = Utils::value(table_.commit(sent));
                version = reply.version();
                if (reply.committed())
                    recordCommittedEnds(sent);
                if (answered)
                    outcome = reply.committed() ? Batch::CommitOutcome::Committed
                                                : Batch::CommitOutcome::Conflict;
            }
            schedule(answered ? randomLatency() : Milliseconds(2000), [=, this] {
                deliverToOwner(index, generation,
                    [=, this](auto& core) { core.onCommit(request.write_id(), outcome, version, now_); });
            });
        });
    }
}

void FaultSimulation::performSend(std::size_t index, const Batch::SendAction& action)
{
    const int generation = owners_[index].generation;
    const auto isTarget = [&](const Worker& worker) { return worker.vm.name() == action.worker; };
    const auto found = std::ranges::find_if(workers_, isTarget);
    if (found == workers_.end())
        return;
    const auto worker = static_cast<std::size_t>(found - workers_.begin());
    const bool faultsActive = now_ - simulationStart_ < plan_.faultDuration;
    Milliseconds delay = randomLatency();
    // A process may be paused between its decision and the send, so that the batch arrives late.
    if (faultsActive && plan_.ownerPauses && chance(0.001))
        delay = Milliseconds(random_() % 15000);
    // A start may arrive long after its attempt was counted as lost. Until shortly before, the cut link keeps
    // newer batches from the worker, which would otherwise make it reject the start.
    if (faultsActive && plan_.partitions && action.batch.starts_size() > 0 && chance(0.04)) {
        delay = Milliseconds(3000 + random_() % 6000);
        linkCut_[index][worker] = true;
        schedule(delay - stepDuration, [this, index, worker] { linkCut_[index][worker] = false; });
    }
    const int copyCount = plan_.partitions && chance(0.03) ? 2 : 1;
    for (int copy = 0; copy < copyCount; ++copy) {
        schedule(copy == 0 ? delay : Milliseconds(random_() % 3000),
            [=, this] { deliverBatch(index, generation, worker, action.batch); });
    }
}

void FaultSimulation::deliverBatch(
    std::size_t index, int generation, std::size_t worker, Schema::CommandBatch batch)
{
    const std::uint64_t sequence = batch.sequence();
    const std::uint64_t epoch = batch.epoch();
    const std::string name = workers_[worker].vm.name();
    if (linkCut_[index][worker]) {
        schedule(Milliseconds(1000), [=, this] {
            deliverToOwner(
                index, generation, [=, this](auto& core) { core.onReport(name, sequence, nullptr, now_); });
        });
        return;
    }
    const Utils::TimePoint localNow = localTime(workers_[worker]);
    const auto localMs = std::chrono::duration_cast<Milliseconds>(localNow.time_since_epoch()).count();
    if (brokenRule_ == BrokenRule::EpochIgnored)
        batch.set_epoch(1);
    if (brokenRule_ == BrokenRule::EpochIgnored || brokenRule_ == BrokenRule::StartsRepeated)
        batch.set_sequence(++freshSequence_);
    if (brokenRule_ == BrokenRule::GrantAgeIgnored && batch.granted_from_ms() > 0)
        batch.set_granted_from_ms(localMs);
    if (brokenRule_ == BrokenRule::LeaseUnderestimated)
        batch.set_lease_ms(3000);
    Batch::RunnerCommands commands;
    Schema::WorkerReport report = workers_[worker].core->onBatch(batch, localNow, commands);
    executeCommands(workers_[worker], commands);
    if (brokenRule_ == BrokenRule::EpochIgnored)
        report.set_highest_epoch(epoch);
    if (brokenRule_ == BrokenRule::EndsAcknowledgedEarly) {
        Schema::CommandBatch forget = batch;
        forget.clear_starts();
        forget.set_sequence(batch.sequence() + 1);
        for (const Schema::AttemptReport& attempt : report.attempts())
            *forget.add_acknowledged() = attempt.attempt();
        Batch::RunnerCommands ignored;
        workers_[worker].core->onBatch(forget, localNow, ignored);
    }
    schedule(randomLatency(), [=, this] {
        const bool cut = linkCut_[index][worker];
        deliverToOwner(index, generation,
            [=, this](auto& core) { core.onReport(name, sequence, cut ? nullptr : &report, now_); });
    });
}

Utils::TimePoint FaultSimulation::localTime(const Worker& worker) const
{
    const auto elapsed = static_cast<double>((now_ - simulationStart_).count()) * worker.clockRate;
    return simulationStart_ + Utils::Duration(static_cast<Utils::Duration::rep>(elapsed));
}

void FaultSimulation::executeCommands(Worker& worker, const Batch::RunnerCommands& commands)
{
    for (const Schema::StartCommand& start : commands.starts) {
        const Batch::AttemptId id = Batch::attemptId(start.attempt());
        worker.endTimes[id] = now_ + Milliseconds(start.run_ms() / (start.checkpoint().empty() ? 1 : 2));
        worker.sizes[id] = start.size();
    }
    for (const Batch::AttemptId& id : commands.checkpoints)
        worker.checkpointTimes.try_emplace(id, now_ + Milliseconds(100));
    for (const Batch::AttemptId& id : commands.stops)
        worker.endTimes.erase(id);
    processRunLog(worker);
}

void FaultSimulation::runTasks(Worker& worker)
{
    Batch::RunnerCommands commands;
    worker.core->tick(localTime(worker), commands);
    executeCommands(worker, commands);
    std::vector<Batch::AttemptId> due;
    for (const auto& [id, end] : worker.endTimes) {
        if (end <= now_)
            due.push_back(id);
    }
    for (const Batch::AttemptId& id : due) {
        worker.endTimes.erase(id);
        worker.core->onAttemptEnded(id, Schema::ATTEMPT_SUCCEEDED, "", "", localTime(worker));
    }
    due.clear();
    for (const auto& [id, end] : worker.checkpointTimes) {
        if (end <= now_)
            due.push_back(id);
    }
    for (const Batch::AttemptId& id : due) {
        worker.checkpointTimes.erase(id);
        if (worker.endTimes.erase(id) > 0)
            worker.core->onAttemptEnded(
                id, Schema::ATTEMPT_CHECKPOINTED, attemptName(id), "", localTime(worker));
    }
    processRunLog(worker);
}

void FaultSimulation::processRunLog(Worker& worker)
{
    const auto& log = worker.core->runLog();
    for (; worker.runLogPosition < log.size(); ++worker.runLogPosition) {
        const Batch::RunLogEntry& entry = log[worker.runLogPosition];
        if (entry.isStart) {
            AttemptRun run;
            run.attempt = entry.attempt;
            run.worker = worker.vm.name();
            run.resumedFrom = entry.checkpoint;
            run.startedAt = now_;
            runs_.push_back(run);
            ++startCount_;
            resumedCount_ += entry.checkpoint.empty() ? 0 : 1;
            continue;
        }
        for (AttemptRun& run : runs_) {
            const bool same = run.attempt == entry.attempt && run.worker == worker.vm.name();
            if (!same || run.endedAt != Utils::TimePoint::max())
                continue;
            run.endedAt = now_;
            run.state = entry.state;
            run.writtenCheckpoint = entry.checkpoint;
        }
    }
    double used = 0;
    for (const auto& [id, end] : worker.endTimes)
        used += worker.sizes[id].processors();
    if (used > worker.vm.processors())
        violations_.push_back("worker " + worker.vm.name() + " is committed beyond its processors");
}

Schema::JobPartState FaultSimulation::jobState(const std::string& job)
{
    Schema::JobPartState state;
    state.ParseFromString(Utils::value(table_.get(Batch::jobStateKey(job, shardName))).value());
    return state;
}

bool FaultSimulation::allFinished()
{
    return std::ranges::all_of(batchJobs_, [this](const std::string& job) {
        const Schema::JobPartState part = jobState(job);
        return part.done() + part.cancelled() > 0 && part.pending() + part.running() + part.never() == 0;
    });
}

} // namespace Testing
