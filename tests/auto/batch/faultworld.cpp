#include "faultworld.h"

#include <batch/rowkeys.h>

#include <algorithm>

namespace Testing {

namespace {

const std::string shardName = "north/rack-1";
constexpr std::size_t ownerCount = 3;
constexpr std::size_t workerCount = 4;
constexpr Milliseconds stepLength(10);
constexpr double workerProcessors = 4;

std::string text(const Batch::AttemptId& id)
{
    return id.job + "/" + std::to_string(id.task) + "/" + std::to_string(id.attempt);
}

} // namespace

FaultWorld::FaultWorld(std::uint32_t seed, FaultPlan plan, Broken broken)
    : random_(seed)
    , plan_(plan)
    , broken_(broken)
    , owners_(ownerCount)
    , workers_(workerCount)
    , cut_(ownerCount, std::vector<bool>(workerCount, false))
{
    for (std::size_t index = 0; index < workerCount; ++index)
        makeWorker(index);
    for (std::size_t index = 0; index < ownerCount; ++index)
        makeOwner(index);
}

void FaultWorld::submit(const std::string& id, std::uint32_t count, std::uint64_t runMs, Schema::JobKind kind,
    const std::string& priorityClass)
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

void FaultWorld::cancel(const std::string& id)
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

std::vector<std::string> FaultWorld::run()
{
    while (now_ - started_ < plan_.endsBy) {
        step();
        if (now_ - started_ > plan_.faultsUntil && allFinished())
            break;
    }
    return judge();
}

void FaultWorld::advance(Milliseconds duration)
{
    for (const Utils::TimePoint end = now_ + duration; now_ < end;)
        step();
}

Milliseconds FaultWorld::firstStart(const std::string& job) const
{
    for (const Run& run : runs_) {
        if (run.attempt.job == job)
            return std::chrono::duration_cast<Milliseconds>(run.from - started_);
    }
    return Milliseconds(-1);
}

void FaultWorld::step()
{
    now_ += stepLength;
    if (now_ - started_ < plan_.faultsUntil)
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
        perform(index, owners_[index].core->tick(now_));
    }
}

void FaultWorld::injectFaults()
{
    const std::size_t index = random_() % ownerCount;
    const std::size_t worker = random_() % workerCount;
    const Milliseconds shortWhile(random_() % 4000);
    if (plan_.ownerKills && chance(0.002))
        killOwner(index);
    if (plan_.ownerPauses && chance(0.004))
        owners_[index].pausedUntil = now_ + Milliseconds(500 + random_() % 9000);
    if (plan_.outages && chance(0.001)) {
        outage_ = true;
        later(shortWhile * 4, [this] { outage_ = false; });
    }
    if (plan_.outages && chance(0.002)) {
        owners_[index].cutFromTable = true;
        later(shortWhile * 3, [this, index] { owners_[index].cutFromTable = false; });
    }
    if (plan_.partitions && chance(0.004)) {
        cut_[index][worker] = true;
        later(shortWhile * 3, [this, index, worker] { cut_[index][worker] = false; });
    }
    if (plan_.workerKills && chance(0.0005))
        makeWorker(worker);
    if (!plan_.evictions || !chance(0.02) || runs_.empty())
        return;
    const Run& run = runs_[runs_.size() - 1 - random_() % std::min<std::size_t>(runs_.size(), 16)];
    if (run.state == Schema::ATTEMPT_RUNNING && owner() >= 0)
        owners_[static_cast<std::size_t>(owner())].core->evict(Batch::attemptRef(run.attempt));
}

Milliseconds FaultWorld::latency()
{
    const bool faulty = now_ - started_ < plan_.faultsUntil;
    if (faulty && plan_.partitions && chance(0.02))
        return Milliseconds(random_() % 12000);
    return Milliseconds(1 + random_() % 30);
}

int FaultWorld::owner() const
{
    const auto owning = [](const Owner& candidate) { return candidate.core->statistics().owning; };
    const auto found = std::ranges::find_if(owners_, owning);
    return found == owners_.end() ? -1 : static_cast<int>(found - owners_.begin());
}

void FaultWorld::killOwner(std::size_t index)
{
    makeOwner(index);
    owners_[index].pausedUntil = now_ + Milliseconds(500);
}

void FaultWorld::makeOwner(std::size_t index)
{
    Batch::ShardOwnerOptions options;
    options.shard = shardName;
    options.owner = "owner-" + std::to_string(index) + "-" + std::to_string(++owners_[index].generation);
    options.stock = 6;
    options.maxSegments = 4;
    options.maxRecordsPerFlush = 50;
    options.outageGrace = std::chrono::seconds(30);
    if (broken_ == Broken::LeaseUnderestimated)
        options.lease = Milliseconds(600);
    owners_[index].core = std::make_unique<Batch::ShardOwner>(options, placer_);
    Schema::PolicyDocument policy;
    policy.add_priority_class()->set_name("urgent");
    owners_[index].core->setPolicy(policy);
}

void FaultWorld::makeWorker(std::size_t index)
{
    Worker& worker = workers_[index];
    if (worker.core)
        readLog(worker);
    worker.vm.set_name("worker-" + std::to_string(index));
    worker.vm.set_processors(workerProcessors);
    for (Run& run : runs_) {
        if (run.worker == worker.vm.name() && run.to == Utils::TimePoint::max()) {
            run.to = now_;
            run.state = Schema::ATTEMPT_LAPSED;
        }
    }
    worker.core = std::make_unique<Batch::WorkerCore>(
        worker.vm.name(), "incarnation-" + std::to_string(++worker.incarnation));
    worker.clockRate = 0.99 + 0.02 * std::uniform_real_distribution<>()(random_);
    worker.readLog = 0;
    worker.ends.clear();
    worker.checkpoints.clear();
    worker.sizes.clear();
}

void FaultWorld::toOwner(
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
        owner.pausedUntil, [this, index, generation, event] { toOwner(index, generation, event); });
}

void FaultWorld::perform(std::size_t index, const Batch::Actions& actions)
{
    const int generation = owners_[index].generation;
    for (const Batch::ReadAction& read : actions.reads) {
        later(latency(), [=, this] {
            const bool reached = tableReachable(index);
            const Schema::Row row = Utils::value(table_.get(read.key));
            later(latency(), [=, this] {
                toOwner(index, generation,
                    [=, this](auto& core) { core.onRow(read.id, reached ? &row : nullptr, now_); });
            });
        });
    }
    for (const Batch::ScanAction& scan : actions.scans) {
        later(latency(), [=, this] {
            const bool reached = tableReachable(index);
            const auto reply = Utils::value(table_.scan(scan.prefix, "", 100000));
            const std::vector<Schema::Row> rows(reply.rows().begin(), reply.rows().end());
            later(latency(), [=, this] {
                toOwner(index, generation,
                    [=, this](auto& core) { core.onRows(scan.id, reached ? &rows : nullptr, now_); });
            });
        });
    }
    for (const Batch::CommitAction& commit : actions.commits)
        performCommit(index, commit.request);
    for (const Batch::SendAction& send : actions.sends)
        performSend(index, send);
}

void FaultWorld::performCommit(std::size_t index, const Schema::CommitRequest& request)
{
    const int generation = owners_[index].generation;
    const int copies = plan_.partitions && chance(0.02) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        later(latency(), [=, this] {
            Schema::CommitRequest sent = request;
            if (broken_ == Broken::ConditionsIgnored)
                sent.clear_conditions();
            Batch::CommitOutcome outcome = Batch::CommitOutcome::Unknown;
            std::uint64_t version = 0;
            const bool answered = tableReachable(index) && !(plan_.outages && chance(0.03));
            if (tableReachable(index)) {
                const Schema::CommitReply reply = Utils::value(table_.commit(sent));
                version = reply.version();
                if (reply.committed())
                    observe(sent);
                if (answered)
                    outcome = reply.committed() ? Batch::CommitOutcome::Committed
                                                : Batch::CommitOutcome::Conflict;
            }
            later(answered ? latency() : Milliseconds(2000), [=, this] {
                toOwner(index, generation,
                    [=, this](auto& core) { core.onCommit(request.write_id(), outcome, version, now_); });
            });
        });
    }
}

void FaultWorld::observe(const Schema::CommitRequest& request)
{
    for (const Schema::RowPut& put : request.puts()) {
        Schema::JournalSegment segment;
        if (!put.key().starts_with(Batch::journalPrefix(shardName)) || !segment.ParseFromString(put.value()))
            continue;
        for (const Schema::TaskRecord& task : segment.tasks()) {
            if (task.ended_attempt() == 0)
                continue;
            const Batch::AttemptId id { task.job(), task.task(), task.ended_attempt() };
            const auto [place, isNew] = recordedEnds_.try_emplace(id, task.ended_as());
            if (!isNew && place->second != task.ended_as())
                faults_.push_back(text(id) + " was recorded with two ends");
        }
    }
}

void FaultWorld::performSend(std::size_t index, const Batch::SendAction& action)
{
    const int generation = owners_[index].generation;
    const auto isTarget = [&](const Worker& worker) { return worker.vm.name() == action.worker; };
    const auto found = std::ranges::find_if(workers_, isTarget);
    if (found == workers_.end())
        return;
    const auto worker = static_cast<std::size_t>(found - workers_.begin());
    const bool faulty = now_ - started_ < plan_.faultsUntil;
    Milliseconds delay = latency();
    // A process may be stopped between its decision and the send.
    if (faulty && plan_.ownerPauses && chance(0.001))
        delay = Milliseconds(random_() % 15000);
    // A start may arrive long after it was given up, before anything newer does.
    if (faulty && plan_.partitions && action.batch.starts_size() > 0 && chance(0.04)) {
        delay = Milliseconds(3000 + random_() % 6000);
        cut_[index][worker] = true;
        later(delay - stepLength, [this, index, worker] { cut_[index][worker] = false; });
    }
    const int copies = plan_.partitions && chance(0.03) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        later(copy == 0 ? delay : Milliseconds(random_() % 3000),
            [=, this] { deliverBatch(index, generation, worker, action.batch); });
    }
}

void FaultWorld::deliverBatch(
    std::size_t index, int generation, std::size_t worker, Schema::CommandBatch batch)
{
    const std::uint64_t sequence = batch.sequence();
    const std::uint64_t epoch = batch.epoch();
    const std::string name = workers_[worker].vm.name();
    if (cut_[index][worker]) {
        later(Milliseconds(1000), [=, this] {
            toOwner(
                index, generation, [=, this](auto& core) { core.onReport(name, sequence, nullptr, now_); });
        });
        return;
    }
    const Utils::TimePoint local = localTime(workers_[worker]);
    const auto localMs = std::chrono::duration_cast<Milliseconds>(local.time_since_epoch()).count();
    if (broken_ == Broken::EpochIgnored)
        batch.set_epoch(1);
    if (broken_ == Broken::EpochIgnored || broken_ == Broken::StartsRepeated)
        batch.set_sequence(++freshSequence_);
    if (broken_ == Broken::GrantAgeIgnored && batch.granted_from_ms() > 0)
        batch.set_granted_from_ms(localMs);
    if (broken_ == Broken::LeaseUnderestimated)
        batch.set_lease_ms(3000);
    Batch::WorkerOrders orders;
    Schema::WorkerReport report = workers_[worker].core->onBatch(batch, local, orders);
    obey(workers_[worker], orders);
    if (broken_ == Broken::EpochIgnored)
        report.set_highest_epoch(epoch);
    if (broken_ == Broken::EndsAcknowledgedEarly) {
        Schema::CommandBatch forget = batch;
        forget.clear_starts();
        forget.set_sequence(batch.sequence() + 1);
        for (const Schema::AttemptReport& attempt : report.attempts())
            *forget.add_acknowledged() = attempt.attempt();
        Batch::WorkerOrders ignored;
        workers_[worker].core->onBatch(forget, local, ignored);
    }
    later(latency(), [=, this] {
        const bool cut = cut_[index][worker];
        toOwner(index, generation,
            [=, this](auto& core) { core.onReport(name, sequence, cut ? nullptr : &report, now_); });
    });
}

Utils::TimePoint FaultWorld::localTime(const Worker& worker) const
{
    const auto elapsed = static_cast<double>((now_ - started_).count()) * worker.clockRate;
    return started_ + Utils::Duration(static_cast<Utils::Duration::rep>(elapsed));
}

void FaultWorld::obey(Worker& worker, const Batch::WorkerOrders& orders)
{
    for (const Schema::StartCommand& start : orders.starts) {
        const Batch::AttemptId id = Batch::attemptId(start.attempt());
        worker.ends[id] = now_ + Milliseconds(start.run_ms() / (start.checkpoint().empty() ? 1 : 2));
        worker.sizes[id] = start.size();
    }
    for (const Batch::AttemptId& id : orders.checkpoints)
        worker.checkpoints.try_emplace(id, now_ + Milliseconds(100));
    for (const Batch::AttemptId& id : orders.stops)
        worker.ends.erase(id);
    readLog(worker);
}

void FaultWorld::runTasks(Worker& worker)
{
    Batch::WorkerOrders orders;
    worker.core->tick(localTime(worker), orders);
    obey(worker, orders);
    std::vector<Batch::AttemptId> due;
    for (const auto& [id, end] : worker.ends) {
        if (end <= now_)
            due.push_back(id);
    }
    for (const Batch::AttemptId& id : due) {
        worker.ends.erase(id);
        worker.core->onEnded(id, Schema::ATTEMPT_SUCCEEDED, "", "", localTime(worker));
    }
    due.clear();
    for (const auto& [id, end] : worker.checkpoints) {
        if (end <= now_)
            due.push_back(id);
    }
    for (const Batch::AttemptId& id : due) {
        worker.checkpoints.erase(id);
        if (worker.ends.erase(id) > 0)
            worker.core->onEnded(id, Schema::ATTEMPT_CHECKPOINTED, text(id), "", localTime(worker));
    }
    readLog(worker);
}

void FaultWorld::readLog(Worker& worker)
{
    const auto& log = worker.core->runLog();
    for (; worker.readLog < log.size(); ++worker.readLog) {
        const Batch::RunLogEntry& entry = log[worker.readLog];
        if (entry.start) {
            Run run;
            run.attempt = entry.attempt;
            run.worker = worker.vm.name();
            run.resumedFrom = entry.checkpoint;
            run.from = now_;
            runs_.push_back(run);
            ++startCount_;
            resumedCount_ += entry.checkpoint.empty() ? 0 : 1;
            continue;
        }
        for (Run& run : runs_) {
            const bool same = run.attempt == entry.attempt && run.worker == worker.vm.name();
            if (!same || run.to != Utils::TimePoint::max())
                continue;
            run.to = now_;
            run.state = entry.state;
            run.wrote = entry.checkpoint;
        }
    }
    double used = 0;
    for (const auto& [id, end] : worker.ends)
        used += worker.sizes[id].processors();
    if (used > worker.vm.processors())
        faults_.push_back("worker " + worker.vm.name() + " is committed beyond its processors");
}

Schema::JobPartState FaultWorld::state(const std::string& job)
{
    Schema::JobPartState state;
    state.ParseFromString(Utils::value(table_.get(Batch::jobStateKey(job, shardName))).value());
    return state;
}

bool FaultWorld::allFinished()
{
    return std::ranges::all_of(batchJobs_, [this](const std::string& job) {
        const Schema::JobPartState part = state(job);
        return part.done() + part.cancelled() > 0 && part.pending() + part.running() + part.never() == 0;
    });
}

std::vector<std::string> FaultWorld::judge()
{
    if (!allFinished())
        faults_.emplace_back("a task was lost: not all jobs are finished");
    std::map<std::pair<std::string, std::uint32_t>, std::vector<Run>> tasks;
    for (const Run& run : runs_)
        tasks[{ run.attempt.job, run.attempt.task }].push_back(run);
    for (const auto& [key, runs] : tasks)
        judgeTask(runs, faults_);
    return faults_;
}

void FaultWorld::judgeTask(const std::vector<Run>& runs, std::vector<std::string>& faults) const
{
    std::map<std::string, int> resumed;
    std::string latest;
    bool done = false;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const Run& run = runs[index];
        for (std::size_t before = 0; before < index; ++before) {
            if (runs[before].attempt == run.attempt)
                faults.push_back(text(run.attempt) + " started twice");
            if (runs[before].to > run.from)
                faults.push_back(text(run.attempt) + " ran while " + text(runs[before].attempt) + " did");
        }
        if (done)
            faults.push_back(text(run.attempt) + " ran after the task was done");
        if (run.resumedFrom != latest)
            faults.push_back(
                text(run.attempt) + " resumed from '" + run.resumedFrom + "', not '" + latest + "'");
        const auto recorded = recordedEnds_.find(run.attempt);
        if (recorded == recordedEnds_.end())
            continue;
        const bool counts = recorded->second != Schema::ATTEMPT_LAPSED;
        if (!run.resumedFrom.empty() && counts && ++resumed[run.resumedFrom] > 1)
            faults.push_back("checkpoint " + run.resumedFrom + " was resumed twice");
        if (recorded->second == Schema::ATTEMPT_CHECKPOINTED)
            latest = run.wrote;
        if (recorded->second != Schema::ATTEMPT_SUCCEEDED)
            continue;
        done = run.attempt.job.starts_with("batch");
        latest.clear();
    }
}

} // namespace Testing
