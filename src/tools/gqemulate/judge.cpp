#include "judge.h"

namespace Emulate {

namespace {

// Time after a stored cancellation within which its tasks are gone.
constexpr std::int64_t cancelLimitMs = 3'400;

} // namespace

void Judge::fault(const std::string& rule, const Ports::TaskKey& task, std::int64_t nowMs)
{
    const std::string name = task.job + "." + std::to_string(task.occurrence) + "."
        + std::to_string(task.step) + "." + std::to_string(task.index);
    if (reported_.insert(rule + name).second)
        faults_.push_back(rule + " at " + std::to_string(nowMs) + " ms: " + name);
}

void Judge::submitted(const FleetSchema::JobSpec& spec)
{
    jobs_[spec.id()] = spec;
}

void Judge::cancelled(const std::string& job, std::int64_t nowMs)
{
    cancelledAt_.emplace(job, nowMs);
}

void Judge::started(
    const std::string& worker, const Ports::StartCommand& order, bool isLate, std::int64_t nowMs)
{
    (void)worker;
    const auto job = jobs_.find(order.task.job);
    if (job == jobs_.end())
        return fault("started but never handed in", order.task, nowMs);
    const FleetSchema::StepSpec& step = job->second.steps(static_cast<int>(order.task.step));
    if (done_.contains(order.task) && !step.lasting())
        fault("started after its end", order.task, nowMs);
    if (!step.lasting() && failures_[order.task] >= job->second.max_failures())
        fault("started after its last failure", order.task, nowMs);
    for (const std::uint32_t former : step.after()) {
        for (std::uint32_t index = 0; index < job->second.steps(static_cast<int>(former)).count(); ++index) {
            if (!ended_.contains({ order.task.job, order.task.occurrence, former, index }) && !isLate)
                fault("started before an earlier step", order.task, nowMs);
        }
    }
    const auto cancelledAt = cancelledAt_.find(order.task.job);
    if (cancelledAt != cancelledAt_.end() && !isLate && nowMs > cancelledAt->second + cancelLimitMs)
        fault("started after its cancellation", order.task, nowMs);
}

void Judge::ended(const std::vector<Ports::EndedAttempt>& ends)
{
    for (const Ports::EndedAttempt& end : ends) {
        if (end.outcome == Ports::AttemptOutcome::Done)
            ended_.insert(end.task);
    }
}

void Judge::acknowledged(const std::vector<Ports::EndedAttempt>& ended)
{
    for (const Ports::EndedAttempt& end : ended) {
        if (end.outcome == Ports::AttemptOutcome::Done)
            done_.insert(end.task);
        else if (end.outcome == Ports::AttemptOutcome::Failed)
            ++failures_[end.task];
    }
}

void Judge::look(const std::vector<SimulatedWorker>& workers, std::int64_t nowMs)
{
    std::map<Ports::TaskKey, int> runs;
    for (const SimulatedWorker& worker : workers) {
        if (!worker.isUp)
            continue;
        std::int64_t processors = 0;
        std::int64_t memory = 0;
        for (const auto& [task, run] : worker.running()) {
            if (++runs[task] > 1)
                fault("runs twice", task, nowMs);
            processors += run.behaviour.milliProcessors;
            memory += run.behaviour.memoryMb;
        }
        if (processors > worker.info().milliProcessors || memory > worker.info().memoryMb)
            fault("worker over its capacity", { worker.info().id, 0, 0, 0 }, nowMs);
    }
}

void Judge::stored(const FleetSchema::JobRecord& record)
{
    if (record.state() != FleetSchema::JOB_COMPLETED)
        return;
    for (const FleetSchema::TaskRecord& task : record.tasks()) {
        if (task.state() != FleetSchema::TASK_DONE)
            fault("completed with a task not done", { record.spec().id(), 0, 0, 0 }, 0);
    }
}

} // namespace Emulate
