#include "simulatedtasks.h"

#include <algorithm>
#include <cstdlib>

namespace StandIns {

namespace {

// The name of a checkpoint ends with the saved progress.
std::string checkpointName(const Batch::AttemptId& id, double progress)
{
    return id.job + "." + std::to_string(id.task) + "." + std::to_string(id.attempt) + "@"
        + std::to_string(progress);
}

double parseProgress(const std::string& checkpoint)
{
    const std::size_t separator = checkpoint.rfind('@');
    return separator == std::string::npos ? 0 : std::atof(checkpoint.c_str() + separator + 1);
}

} // namespace

void SimulatedTasks::executeCommands(const Batch::RunnerCommands& commands, bool failTasks)
{
    for (const Schema::StartCommand& start : commands.starts) {
        Task& task = tasks_[Batch::attemptId(start.attempt())];
        task.command = start;
        task.progress = parseProgress(start.checkpoint());
        task.shouldFail = failTasks;
    }
    for (const Batch::AttemptId& id : commands.stops)
        tasks_.erase(id);
    for (const Batch::AttemptId& id : commands.checkpoints) {
        const auto found = tasks_.find(id);
        if (found != tasks_.end())
            found->second.isCheckpointRequested = true;
    }
    for (const Schema::ThrottleCommand& throttle : commands.throttles) {
        const auto found = tasks_.find(Batch::attemptId(throttle.attempt()));
        if (found != tasks_.end())
            found->second.share = throttle.share();
    }
}

std::vector<SimulatedTasks::EndedAttempt> SimulatedTasks::advance(Utils::Duration step)
{
    std::vector<EndedAttempt> endedAttempts;
    const double stepMs = std::chrono::duration<double, std::milli>(step).count();
    for (auto& [id, task] : tasks_) {
        task.progress
            += stepMs * task.share / static_cast<double>(std::max<std::uint64_t>(1, task.command.run_ms()));
        if (task.shouldFail)
            endedAttempts.push_back({ id, Schema::ATTEMPT_FAILED, {}, "told to fail" });
        else if (task.progress >= 1)
            endedAttempts.push_back({ id, Schema::ATTEMPT_SUCCEEDED, {}, {} });
        else if (task.isCheckpointRequested)
            endedAttempts.push_back(
                { id, Schema::ATTEMPT_CHECKPOINTED, checkpointName(id, task.progress), {} });
    }
    for (const EndedAttempt& endedAttempt : endedAttempts)
        tasks_.erase(endedAttempt.attempt);
    return endedAttempts;
}

std::map<Batch::AttemptId, double> SimulatedTasks::progress() const
{
    std::map<Batch::AttemptId, double> progressByAttempt;
    for (const auto& [id, task] : tasks_)
        progressByAttempt[id] = task.progress;
    return progressByAttempt;
}

std::vector<Schema::UsageSample> SimulatedTasks::usage() const
{
    std::map<std::string, Schema::UsageSample> samplesByClass;
    for (const auto& [id, task] : tasks_) {
        Schema::UsageSample& sample = samplesByClass[task.command.task_class()];
        sample.set_task_class(task.command.task_class());
        sample.set_processors(sample.processors() + task.command.size().processors() * task.share);
        sample.set_memory_mb(sample.memory_mb() + task.command.size().memory_mb());
        sample.set_slowdown(1);
    }
    std::vector<Schema::UsageSample> samples;
    samples.reserve(samplesByClass.size());
    for (auto& [name, sample] : samplesByClass)
        samples.push_back(std::move(sample));
    return samples;
}

} // namespace StandIns
