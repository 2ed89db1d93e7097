#include "invariantchecker.h"

#include <algorithm>

namespace Emulate {

namespace {

// Time after a stored cancellation from which no task of the job may start.
constexpr std::int64_t cancelLimitMs = 3'400;
// Time after which a capacity that has shrunk counts: the users' contact_ms and one heartbeat interval.
constexpr std::int64_t capacityNoticeMs = 4000 + 1500;
// A task may be given up after the first number of crashes. The start of the third number after the second
// number of crashes violates the users' limit.
constexpr int minCrashesOfFailedJob = 2;
constexpr int maxCrashes = 3;
constexpr int maxStartsAfterCrashes = 3;

} // namespace

void InvariantChecker::addViolation(const std::string& rule, const Ports::TaskKey& task, std::int64_t nowMs)
{
    const std::string name = task.job + "." + std::to_string(task.occurrence) + "."
        + std::to_string(task.step) + "." + std::to_string(task.index);
    if (reportedViolations_.insert(rule + name).second)
        violations_.push_back(rule + " at " + std::to_string(nowMs) + " ms: " + name);
}

void InvariantChecker::onSubmitted(const FleetSchema::JobSpec& spec)
{
    jobs_[spec.id()] = spec;
}

void InvariantChecker::onCancellationStored(const std::string& job, std::int64_t nowMs)
{
    cancelledAt_.emplace(job, nowMs);
}

void InvariantChecker::onStarted(
    const std::string& worker, const Ports::StartCommand& command, bool isDelayed, std::int64_t nowMs)
{
    (void)worker;
    const auto job = jobs_.find(command.task.job);
    if (job == jobs_.end())
        return addViolation("started but never handed in", command.task, nowMs);
    const FleetSchema::StepSpec& step = job->second.steps(static_cast<int>(command.task.step));
    if (acknowledgedTasks_.contains(command.task) && !step.lasting())
        addViolation("started after its end", command.task, nowMs);
    if (!step.lasting() && acknowledgedFailures_[command.task] >= job->second.max_failures())
        addViolation("started after its last failure", command.task, nowMs);
    for (const std::uint32_t predecessor : step.after()) {
        for (std::uint32_t index = 0; index < job->second.steps(static_cast<int>(predecessor)).count();
             ++index) {
            if (!completedTasks_.contains({ command.task.job, command.task.occurrence, predecessor, index })
                && !isDelayed)
                addViolation("started before an earlier step", command.task, nowMs);
        }
    }
    const auto cancelledAt = cancelledAt_.find(command.task.job);
    if (cancelledAt != cancelledAt_.end() && !isDelayed && nowMs > cancelledAt->second + cancelLimitMs)
        addViolation("started after its cancellation", command.task, nowMs);
}

void InvariantChecker::onCapacityUsed(
    const SimulatedWorker& worker, const Ports::TaskKey& task, std::int64_t nowMs)
{
    const Ports::WorkerInfo limit = worker.largestRecentCapacity(capacityNoticeMs, nowMs);
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMb = 0;
    for (const auto& [other, attempt] : worker.running()) {
        milliProcessors += attempt.behavior.isBestEffort ? 0 : attempt.behavior.milliProcessors;
        memoryMb += attempt.behavior.memoryMb;
    }
    const auto started = worker.running().find(task);
    const bool usesProcessors = started != worker.running().end() && !started->second.behavior.isBestEffort;
    if ((usesProcessors && milliProcessors > limit.milliProcessors) || memoryMb > limit.memoryMb)
        addViolation("started beyond the capacity of " + worker.info().id, task, nowMs);
}

void InvariantChecker::onStartedByOwner(const Ports::TaskKey& task, std::int64_t nowMs)
{
    const auto crashes = crashes_.find(task);
    if (crashes == crashes_.end() || crashes->second < maxCrashes)
        return;
    if (++startsAfterCrashes_[task] >= maxStartsAfterCrashes)
        addViolation("started three times more after three workers crashed under it", task, nowMs);
}

void InvariantChecker::onCrashedUnder(const std::vector<Ports::TaskKey>& tasks)
{
    for (const Ports::TaskKey& task : tasks)
        ++crashes_[task];
}

void InvariantChecker::onEnded(const std::vector<Ports::EndedAttempt>& ends)
{
    for (const Ports::EndedAttempt& end : ends) {
        if (end.outcome == Ports::AttemptOutcome::Failed)
            ++failures_[end.task];
        if (end.outcome != Ports::AttemptOutcome::Done)
            continue;
        completedTasks_.insert(end.task);
        const auto job = jobs_.find(end.task.job);
        if (job == jobs_.end() || !job->second.steps(static_cast<int>(end.task.step)).gang())
            continue;
        // When one member completes, the whole gang counts as complete.
        Ports::TaskKey member = end.task;
        for (member.index = 0; member.index < job->second.steps(static_cast<int>(member.step)).count();
             ++member.index)
            completedTasks_.insert(member);
    }
}

void InvariantChecker::onAcknowledged(const std::vector<Ports::EndedAttempt>& ends)
{
    for (const Ports::EndedAttempt& end : ends) {
        if (end.outcome == Ports::AttemptOutcome::Done)
            acknowledgedTasks_.insert(end.task);
        else if (end.outcome == Ports::AttemptOutcome::Failed)
            ++acknowledgedFailures_[end.task];
    }
}

void InvariantChecker::checkWorkers(const std::vector<SimulatedWorker>& workers, std::int64_t nowMs)
{
    std::vector<const SimulatedWorker*> pointers;
    pointers.reserve(workers.size());
    for (const SimulatedWorker& worker : workers)
        pointers.push_back(&worker);
    checkWorkers(pointers, nowMs);
}

void InvariantChecker::checkWorkers(const std::vector<const SimulatedWorker*>& workers, std::int64_t nowMs)
{
    std::map<Ports::TaskKey, int> runCounts;
    for (const SimulatedWorker* pointer : workers) {
        const SimulatedWorker& worker = *pointer;
        if (!worker.isUp)
            continue;
        std::int64_t milliProcessors = 0;
        std::int64_t memoryMb = 0;
        for (const auto& [task, attempt] : worker.running()) {
            if (++runCounts[task] > 1)
                addViolation("runs twice", task, nowMs);
            milliProcessors += attempt.behavior.isBestEffort ? 0 : attempt.behavior.milliProcessors;
            memoryMb += attempt.behavior.memoryMb;
        }
        // Attempts may go on when a capacity shrinks; starts are checked by onCapacityUsed().
        const Ports::WorkerInfo limit = worker.largestRecentCapacity(nowMs, nowMs);
        if (milliProcessors > limit.milliProcessors || memoryMb > limit.memoryMb)
            addViolation("worker over its capacity", { worker.info().id, 0, 0, 0 }, nowMs);
    }
}

// Returns whether a task, or a gang, has failed as often as allowed or has crashed workers.
bool InvariantChecker::hasCauseOfFailure(const FleetSchema::JobSpec& spec) const
{
    const bool hasCrashed = std::any_of(crashes_.begin(), crashes_.end(), [&](const auto& entry) {
        return entry.first.job == spec.id() && entry.second >= minCrashesOfFailedJob;
    });
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint32_t> gangFailures;
    for (const auto& [task, failures] : failures_) {
        if (task.job != spec.id() || spec.steps(static_cast<int>(task.step)).lasting())
            continue;
        const bool isGang = spec.steps(static_cast<int>(task.step)).gang();
        const std::uint32_t total
            = isGang ? gangFailures[{ task.occurrence, task.step }] += failures : failures;
        if (total >= spec.max_failures())
            return true;
    }
    return hasCrashed;
}

void InvariantChecker::onRecordStored(const FleetSchema::JobRecord& record, std::int64_t nowMs)
{
    if (record.state() == FleetSchema::JOB_FAILED && !hasCauseOfFailure(record.spec()))
        addViolation("failed without cause", { record.spec().id(), 0, 0, 0 }, nowMs);
    if (record.state() != FleetSchema::JOB_COMPLETED)
        return;
    for (const FleetSchema::TaskRecord& task : record.tasks()) {
        if (task.state() != FleetSchema::TASK_DONE)
            addViolation("completed with a task not done", { record.spec().id(), 0, 0, 0 }, nowMs);
    }
}

} // namespace Emulate
