#include "waitchecker.h"

#include <algorithm>

namespace Emulate {

namespace {

// Time for which a long-running task may be without a run before capacity counts.
constexpr std::int64_t longRunningToleranceMs = 9000;
// Time for which a task that could run may wait.
constexpr std::int64_t boundMs = 3000;
constexpr std::int64_t calmMs = 7000;
// Time without a fault before a long-running task may wait for boundMs, where losses are judged.
constexpr std::int64_t lossCalmMs = 4000;
// Time within which a worker must have answered the check of a start.
constexpr std::int64_t startCheckMs = 350;
// Time after which a task that has no room in its own shard is passed on.
constexpr std::int64_t passOnMs = 1800;
// Longest waits after starts that were not answered, because the worker or the owner was lost meanwhile.
constexpr std::int64_t workerLostMs = 15'400;
constexpr std::int64_t ownerLostMs = 15'800;
constexpr double maxUseShare = 0.5;
constexpr std::int64_t spareFactor = 2;
// Longest lease of the present owner, with the drift of workers' clocks.
constexpr std::int64_t leaseMs = 5100 + 1500;
// The same if the worker did not answer the start, which the next incarnation may carry out up to 5 s later
// under the longest lease that a worker grants.
constexpr std::int64_t unansweredStartMs = 5000 + 10'200 + 1500;
// Time in which a start that was not answered may be carried out, and in which a report tells.
constexpr std::int64_t callDelayMs = 5000 + 1000;
// Time after a restart in which a worker may hold a lease of its former incarnation.
constexpr std::int64_t restartLeaseMs = 10'200 + 1500;
// Time from a former owner's last transaction to the end of the leases that it granted: 12 s in which it
// renews leases of 5 s, both with the drift of clocks.
constexpr std::int64_t formerLeaseMs = 12'240 + 5100;
// Time that a new owner has in any case after it has taken the shard over.
constexpr std::int64_t takeoverMs = 1000;
constexpr std::int64_t takeoverToleranceMs = 500;

std::string nameOf(const Ports::TaskKey& task)
{
    return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

} // namespace

void WaitChecker::onStartOrdered(
    const Ports::TaskKey& task, const std::string& worker, std::size_t shard, std::int64_t nowMs)
{
    latestStarts_[task] = { worker, shard, nowMs, false, false, false, false };
}

void WaitChecker::onStartUnanswered(const Ports::TaskKey& task, const std::string& worker, std::int64_t nowMs)
{
    const auto start = latestStarts_.find(task);
    if (start == latestStarts_.end() || start->second.worker != worker)
        return;
    start->second.isUnanswered = true;
    const auto called = platform_.workers().find(worker);
    const std::int64_t silentSinceMs
        = called == platform_.workers().end() ? 0 : called->second->unansweredSinceMs;
    start->second.isCheckedWorker = silentSinceMs < 0 || nowMs - silentSinceMs <= startCheckMs;
}

void WaitChecker::onStartResolved(const Ports::TaskKey& task, const std::string& worker)
{
    const auto start = latestStarts_.find(task);
    if (start != latestStarts_.end() && start->second.worker == worker)
        start->second.isResolved = true;
}

void WaitChecker::onOwnerLost(std::size_t shard)
{
    for (auto& [task, start] : latestStarts_)
        start.hasLostOwner = start.hasLostOwner || (start.shard == shard && !start.isResolved);
}

void WaitChecker::updateFleet(std::int64_t nowMs)
{
    running_.clear();
    runningJobs_.clear();
    freeWorkers_.clear();
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    for (const auto& [id, worker] : platform_.workers()) {
        if (!worker->simulated.isUp)
            continue;
        // A capacity that has grown counts once the list shows it.
        const Ports::WorkerInfo actual = worker->simulated.info();
        const Ports::WorkerInfo listed = worker->simulated.entry(nowMs);
        const std::int64_t milliProcessors = std::min(actual.milliProcessors, listed.milliProcessors);
        FreeWorker entry { worker.get(), milliProcessors, std::min(actual.memoryMb, listed.memoryMb) };
        for (const auto& [task, attempt] : worker->simulated.running()) {
            running_[task] = worker.get();
            runningJobs_.insert(task.job);
            entry.milliProcessors -= attempt.behavior.milliProcessors;
            entry.memoryMb -= attempt.behavior.memoryMb;
        }
        if (!worker->isUsable(nowMs))
            continue;
        capacity += milliProcessors;
        used += milliProcessors - entry.milliProcessors;
        freeWorkers_.push_back(entry);
    }
    useShare_ = capacity == 0 ? 1 : static_cast<double>(used) / static_cast<double>(capacity);
}

// Returns the number of further tasks of a step that the usable workers, or those of a shard, have capacity
// for.
std::int64_t WaitChecker::countSlots(
    const Ports::TaskKey& task, const FleetSchema::StepSpec& step, std::optional<std::size_t> shard) const
{
    std::int64_t slots = 0;
    for (const FreeWorker& entry : freeWorkers_) {
        if (shard && entry.worker->shard != *shard)
            continue;
        std::int64_t fitting = std::max<std::int64_t>(0, entry.milliProcessors / step.milli_processors());
        fitting = std::min(fitting, std::max<std::int64_t>(0, entry.memoryMb / step.memory_mb()));
        if (step.max_per_worker() > 0) {
            const auto& attempts = entry.worker->simulated.running();
            const std::int64_t ofStep
                = std::count_if(attempts.begin(), attempts.end(), [&](const auto& other) {
                      return other.first.job == task.job && other.first.step == task.step;
                  });
            fitting = std::min(fitting, std::max<std::int64_t>(0, step.max_per_worker() - ofStep));
        }
        slots += fitting;
    }
    return slots;
}

bool WaitChecker::canShardsAct(const JobView& job) const
{
    const auto& tasks = job.record->tasks();
    return shards_[job.shard].canAct
        && std::all_of(tasks.begin(), tasks.end(), [this](const FleetSchema::TaskRecord& task) {
               return task.state() != FleetSchema::TASK_LENT
                   || shards_[std::stoul(task.lent_to().substr(5))].canAct;
           });
}

// Returns where the task's latest attempt was started or, if its start was stored and not ordered because the
// store's answer was lost, may have been started for all that a later owner knows.
std::optional<WaitChecker::LatestStart> WaitChecker::openAttempt(
    const Ports::TaskKey& key, const JobView& job, int position) const
{
    const auto start = latestStarts_.find(key);
    const FleetSchema::TaskRecord& recorded = job.record->tasks(position);
    if (recorded.state() == FleetSchema::TASK_ASSIGNED)
        return LatestStart { recorded.worker(), job.shard, 0, false, false, false, false };
    if (start == latestStarts_.end())
        return std::nullopt;
    return start->second;
}

// Returns whether an attempt that its shard has recorded as open may run on a worker that does not answer.
bool WaitChecker::mayStillRun(
    const Ports::TaskKey& key, const JobView& job, int position, std::int64_t nowMs) const
{
    const std::optional<LatestStart> start = openAttempt(key, job, position);
    if (!start)
        return false;
    const ShardState& shard = shards_[start->shard];
    const auto row = shard.rows->find(key.job);
    if (row == shard.rows->end())
        return false;
    const bool isAssigned = std::any_of(
        row->second.tasks().begin(), row->second.tasks().end(), [&](const FleetSchema::TaskRecord& task) {
            return task.state() == FleetSchema::TASK_ASSIGNED && task.worker() == start->worker;
        });
    const auto worker = platform_.workers().find(start->worker);
    if (!isAssigned || worker == platform_.workers().end())
        return false;
    const auto ordered = latestStarts_.find(key);
    const bool isUnanswered = ordered != latestStarts_.end() && ordered->second.isUnanswered
        && ordered->second.worker == start->worker;
    // Another incarnation may still carry the start out.
    if (worker->second->answers())
        return isUnanswered && nowMs < ordered->second.orderedMs + callDelayMs;
    const std::int64_t sinceMs = worker->second->unansweredSinceMs;
    const std::int64_t restartedMs = worker->second->simulated.info().startedUnixMs;
    const std::int64_t openMs
        = std::max(isUnanswered ? unansweredStartMs : leaseMs, restartedMs + restartLeaseMs - sinceMs);
    // Only owners from before the worker fell silent can have renewed its lease, so later changes of owner do
    // not prolong the wait.
    const auto change = std::find_if(shard.changes->begin(), shard.changes->end(),
        [sinceMs](const OwnerChange& other) { return other.timeMs > sinceMs - boundMs; });
    if (change == shard.changes->end())
        return nowMs < sinceMs + openMs;
    const std::int64_t formerEndMs = change->isRelease
        ? change->timeMs + openMs
        : std::max(change->writtenMs + formerLeaseMs, change->timeMs + takeoverMs) + takeoverToleranceMs;
    return nowMs < std::max(sinceMs + openMs, formerEndMs);
}

// Returns whether a long-running task may wait for the end of an attempt.
bool WaitChecker::isExcused(
    const Ports::TaskKey& key, const JobView& job, int position, std::int64_t nowMs) const
{
    if (judgesLosses_) {
        const auto start = latestStarts_.find(key);
        if (start == latestStarts_.end())
            return false;
        const LatestStart& latest = start->second;
        const bool isAllowed = latest.isUnanswered ? latest.isCheckedWorker : latest.hasLostOwner;
        const std::int64_t limitMs = latest.hasLostOwner ? ownerLostMs : workerLostMs;
        if (!isAllowed || nowMs >= latest.orderedMs + limitMs)
            return false;
    }
    return mayStillRun(key, job, position, nowMs);
}

void WaitChecker::updateWait(Wait& wait, const Ports::TaskKey& key, bool mayRun, bool isExcused,
    std::int64_t toleranceMs, const std::string& rule, std::int64_t nowMs)
{
    if (wait.idleSinceMs < 0)
        wait.idleSinceMs = nowMs;
    const std::int64_t idleMs = nowMs - wait.idleSinceMs;
    if (mayRun && isExcused && idleMs >= std::max(toleranceMs, boundMs)) {
        excused_.insert(key);
        if (idleMs > longestExcused_.idleMs)
            longestExcused_ = { key.job, nowMs, idleMs };
    }
    if (!mayRun || isExcused) {
        wait.unexcusedSinceMs = -1;
        wait.needsOtherShard = false;
        return;
    }
    if (wait.unexcusedSinceMs < 0)
        wait.unexcusedSinceMs = nowMs;
    const std::int64_t limitMs = boundMs + (wait.needsOtherShard ? passOnMs : 0);
    if (idleMs < toleranceMs || nowMs - wait.unexcusedSinceMs < limitMs)
        return;
    if (reported_.insert(rule + nameOf(key)).second)
        violations_.push_back(rule + " at " + std::to_string(nowMs) + " ms, idle for "
            + std::to_string(idleMs) + " ms: " + nameOf(key));
}

void WaitChecker::checkLongRunning(const JobView& job, bool isCalm, std::int64_t nowMs)
{
    const FleetSchema::StepSpec& step = job.record->spec().steps(0);
    for (std::uint32_t index = 0; index < step.count(); ++index) {
        const Ports::TaskKey key { job.record->spec().id(), 0, 0, index };
        Wait& wait = waits_[key];
        if (running_.contains(key)) {
            wait = {};
            continue;
        }
        ++missingLongRunning_;
        const std::int64_t missingHere = ++missingOfShard_[job.shard];
        if (judgesLosses_ && countSlots(key, step, job.shard) < missingHere)
            wait.needsOtherShard = true;
        const bool mayRun = isCalm && canShardsAct(job) && countSlots(key, step) >= missingLongRunning_;
        updateWait(wait, key, mayRun, isExcused(key, job, static_cast<int>(index), nowMs),
            longRunningToleranceMs, "long-running task without a run although there is capacity", nowMs);
    }
}

void WaitChecker::checkOther(const JobView& job, bool areCallsLost, std::int64_t nowMs)
{
    const FleetSchema::JobSpec& spec = job.record->spec();
    const Ports::TaskKey jobKey { spec.id(), 0, 0, 0 };
    Wait& wait = waits_[jobKey];
    if (runningJobs_.contains(spec.id())) {
        wait = {};
        return;
    }
    int position = 0;
    for (int step = 0; step < spec.steps_size(); ++step) {
        const std::uint32_t count = spec.steps(step).count();
        std::int64_t waiting = 0;
        std::int64_t unresolved = 0;
        Ports::TaskKey key { spec.id(), 0, static_cast<std::uint32_t>(step), 0 };
        for (std::uint32_t index = 0; index < count; ++index) {
            const int taskPosition = position++;
            if (job.record->tasks(taskPosition).state() == FleetSchema::TASK_DONE)
                continue;
            key.index = index;
            ++waiting;
            unresolved += mayStillRun(key, job, taskPosition, nowMs) ? 1 : 0;
        }
        if (waiting == 0)
            continue;
        // The steps follow one another, so that the first unfinished one is the one whose turn has come.
        const bool isExcused = spec.steps(step).gang() ? unresolved > 0 : unresolved == waiting;
        const bool mayRun = useShare_ < maxUseShare && !areCallsLost && canShardsAct(job)
            && countSlots(key, spec.steps(step)) >= spareFactor * waiting;
        const std::string kind = spec.steps(step).leftover_processors() ? "best-effort job" : "job";
        return updateWait(
            wait, jobKey, mayRun, isExcused, boundMs, kind + " with nothing running in an idle fleet", nowMs);
    }
}

void WaitChecker::check(const std::vector<JobView>& jobs, const std::vector<ShardState>& shards,
    std::int64_t lastFaultMs, bool areCallsLost, std::int64_t nowMs)
{
    shards_ = shards;
    updateFleet(nowMs);
    missingLongRunning_ = 0;
    missingOfShard_.clear();
    for (const JobView& job : jobs) {
        if (job.record->spec().steps(0).lasting())
            checkLongRunning(job, nowMs - lastFaultMs >= (judgesLosses_ ? lossCalmMs : calmMs), nowMs);
        else
            checkOther(job, areCallsLost, nowMs);
    }
    mostWaiting_ = std::max(mostWaiting_, missingLongRunning_);
}

void WaitChecker::addUnfinished(const std::string& job, std::int64_t nowMs)
{
    ++unfinishedCount_;
    violations_.push_back("job has not ended at " + std::to_string(nowMs) + " ms: " + job);
}

} // namespace Emulate
