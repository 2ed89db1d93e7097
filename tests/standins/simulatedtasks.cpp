#include "simulatedtasks.h"

#include <algorithm>
#include <cstdlib>

namespace StandIns {

namespace {

// A checkpoint's name ends with the progress it holds.
std::string checkpointName(const Batch::AttemptId& id, double progress)
{
    return id.job + "." + std::to_string(id.task) + "." + std::to_string(id.attempt) + "@"
        + std::to_string(progress);
}

double progressIn(const std::string& checkpoint)
{
    const std::size_t mark = checkpoint.rfind('@');
    return mark == std::string::npos ? 0 : std::atof(checkpoint.c_str() + mark + 1);
}

} // namespace

void SimulatedTasks::obey(const Batch::RunnerCommands& orders, bool fail)
{
    for (const Schema::StartCommand& start : orders.starts) {
        Task& task = tasks_[Batch::attemptId(start.attempt())];
        task.command = start;
        task.progress = progressIn(start.checkpoint());
        task.fails = fail;
    }
    for (const Batch::AttemptId& id : orders.stops)
        tasks_.erase(id);
    for (const Batch::AttemptId& id : orders.checkpoints) {
        const auto found = tasks_.find(id);
        if (found != tasks_.end())
            found->second.checkpointAsked = true;
    }
    for (const Schema::ThrottleCommand& throttle : orders.throttles) {
        const auto found = tasks_.find(Batch::attemptId(throttle.attempt()));
        if (found != tasks_.end())
            found->second.share = throttle.share();
    }
}

std::vector<SimulatedTasks::End> SimulatedTasks::advance(Utils::Duration step)
{
    std::vector<End> ends;
    const double stepMs = std::chrono::duration<double, std::milli>(step).count();
    for (auto& [id, task] : tasks_) {
        task.progress
            += stepMs * task.share / static_cast<double>(std::max<std::uint64_t>(1, task.command.run_ms()));
        if (task.fails)
            ends.push_back({ id, Schema::ATTEMPT_FAILED, {}, "told to fail" });
        else if (task.progress >= 1)
            ends.push_back({ id, Schema::ATTEMPT_SUCCEEDED, {}, {} });
        else if (task.checkpointAsked)
            ends.push_back({ id, Schema::ATTEMPT_CHECKPOINTED, checkpointName(id, task.progress), {} });
    }
    for (const End& end : ends)
        tasks_.erase(end.attempt);
    return ends;
}

std::map<Batch::AttemptId, double> SimulatedTasks::progress() const
{
    std::map<Batch::AttemptId, double> all;
    for (const auto& [id, task] : tasks_)
        all[id] = task.progress;
    return all;
}

std::vector<Schema::UsageSample> SimulatedTasks::usage() const
{
    std::map<std::string, Schema::UsageSample> classes;
    for (const auto& [id, task] : tasks_) {
        Schema::UsageSample& sample = classes[task.command.task_class()];
        sample.set_task_class(task.command.task_class());
        sample.set_processors(sample.processors() + task.command.size().processors() * task.share);
        sample.set_memory_mb(sample.memory_mb() + task.command.size().memory_mb());
        sample.set_slowdown(1);
    }
    std::vector<Schema::UsageSample> samples;
    samples.reserve(classes.size());
    for (auto& [name, sample] : classes)
        samples.push_back(std::move(sample));
    return samples;
}

} // namespace StandIns
