#include "simulatedfleet.h"

#include <algorithm>
#include <cmath>

namespace Bench {

namespace {

constexpr double startSeconds = 0.3;
constexpr double checkpointSeconds = 2;
constexpr double stopSeconds = 0.5;
constexpr double repairSeconds = 300;

} // namespace

SimulatedFleet::SimulatedFleet(const GroundTruth& truth, Strategy& strategy)
    : truth_(truth)
    , strategy_(strategy)
    , processors_(static_cast<double>(truth.size().capacity.milliProcessors) / 1000)
    , tasks_(truth.tasks())
    , workers_(truth.size().workers)
{
}

Utils::TimePoint SimulatedFleet::now() const
{
    return Utils::TimePoint(std::chrono::milliseconds(std::llround(time_ * 1000)));
}

RunResult SimulatedFleet::run(double seconds)
{
    strategy_.initialize(*this);
    const auto steps = static_cast<std::size_t>(seconds / stepSeconds);
    for (std::size_t step = 1; step <= steps; ++step) {
        time_ = static_cast<double>(step) * stepSeconds;
        submitDueTasks();
        updateFailures();
        for (std::size_t worker = 0; worker < workers_.size(); ++worker)
            simulateWorker(worker);
        if (step % static_cast<std::size_t>(sampleIntervalSeconds / stepSeconds) == 0)
            takeSamples();
        deliverSamples();
        strategy_.runRound(*this);
    }
    return makeResult(seconds);
}

void SimulatedFleet::submitDueTasks()
{
    for (; nextTask_ < tasks_.size() && tasks_[nextTask_].submittedAt <= time_; ++nextTask_) {
        tasks_[nextTask_].phase = TaskPhase::Waiting;
        waitingTasks_.insert(nextTask_);
    }
}

void SimulatedFleet::updateFailures()
{
    const auto& failures = truth_.failures();
    for (; nextFailure_ < failures.size() && failures[nextFailure_].first <= time_; ++nextFailure_) {
        Worker& worker = workers_[failures[nextFailure_].second];
        worker.isLive = false;
        worker.repairedAt = time_ + repairSeconds;
        worker.throttleShare = 1;
        const std::vector<std::size_t> lost = worker.tasks;
        for (const std::size_t task : lost) {
            tasks_[task].keepsProgress = false;
            endTask(task, Placement::AttemptOutcome::Interrupted);
        }
        strategy_.onWorkerStateChanged(*this, failures[nextFailure_].second, false);
    }
    for (std::size_t number = 0; number < workers_.size(); ++number) {
        if (workers_[number].isLive || workers_[number].repairedAt > time_)
            continue;
        workers_[number].isLive = true;
        strategy_.onWorkerStateChanged(*this, number, true);
    }
}

ProcessorUsage SimulatedFleet::usage(std::size_t worker) const
{
    ProcessorUsage used(GroundTruth::classCount, 0.0);
    used[0] = truth_.serviceProcessors(time_);
    for (const std::size_t task : workers_[worker].tasks) {
        if (tasks_[task].phase == TaskPhase::Running)
            used[tasks_[task].taskClass] += tasks_[task].processors * workers_[worker].throttleShare;
    }
    return used;
}

void SimulatedFleet::simulateWorker(std::size_t worker)
{
    Worker& entry = workers_[worker];
    if (!entry.isLive)
        return;
    const ProcessorUsage used = usage(worker);
    const double serviceSlowdown = truth_.slowdown(0, used, processors_, time_);
    ++replicaSteps_;
    stepsOverObjective_ += truth_.latencyRatio(serviceSlowdown, time_) > 1 ? 1 : 0;
    std::vector<double> speeds(GroundTruth::classCount, 0.0);
    for (std::size_t each = 1; each < speeds.size(); ++each)
        speeds[each] = entry.throttleShare / truth_.slowdown(each, used, processors_, time_);
    const std::vector<std::size_t> present = entry.tasks;
    for (const std::size_t task : present)
        advanceTask(tasks_[task], speeds[tasks_[task].taskClass]);
    killLargestTaskIfOutOfMemory(worker);
}

void SimulatedFleet::advanceTask(BenchTask& task, double speed)
{
    if (task.phase == TaskPhase::Starting && task.phaseEndsAt <= time_) {
        task.phase = TaskPhase::Running;
        if (task.firstStartAt < 0)
            task.firstStartAt = time_;
        return;
    }
    if (task.phase == TaskPhase::Evicting && task.phaseEndsAt <= time_) {
        endTask(task.number, Placement::AttemptOutcome::Interrupted);
        return;
    }
    if (task.phase != TaskPhase::Running)
        return;
    task.completedSeconds += speed * stepSeconds;
    if (task.completedSeconds < task.runSeconds)
        return;
    task.completedSeconds = task.runSeconds;
    task.endedAt = time_;
    endTask(task.number, Placement::AttemptOutcome::Succeeded);
}

void SimulatedFleet::killLargestTaskIfOutOfMemory(std::size_t worker)
{
    const auto capacity = static_cast<double>(truth_.size().capacity.memoryMb);
    double used = static_cast<double>(truth_.serviceSize().memoryMb);
    std::size_t largest = tasks_.size();
    for (const std::size_t task : workers_[worker].tasks) {
        used += tasks_[task].memoryMb;
        if (largest == tasks_.size() || tasks_[task].memoryMb > tasks_[largest].memoryMb)
            largest = task;
    }
    if (used <= capacity || largest == tasks_.size())
        return;
    ++memoryKills_;
    tasks_[largest].keepsProgress = false;
    endTask(largest, Placement::AttemptOutcome::Interrupted);
}

void SimulatedFleet::takeSamples()
{
    for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
        if (!workers_[worker].isLive)
            continue;
        const ProcessorUsage used = usage(worker);
        Sample sample { time_, worker, {}, 0 };
        for (std::size_t each = 0; each < used.size(); ++each) {
            if (used[each] <= 0)
                continue;
            double memory = 0;
            for (const std::size_t task : workers_[worker].tasks)
                memory += tasks_[task].taskClass == each ? tasks_[task].memoryMb : 0;
            sample.classes.push_back({ "class" + std::to_string(each), used[each] * 1000, memory,
                truth_.slowdown(each, used, processors_, time_) });
        }
        sample.latencyRatio = truth_.latencyRatio(truth_.slowdown(0, used, processors_, time_), time_);
        samples_.push_back(std::move(sample));
    }
}

void SimulatedFleet::deliverSamples()
{
    while (!samples_.empty() && samples_.front().measuredAt + reportDelaySeconds <= time_) {
        const Sample& sample = samples_.front();
        const Utils::TimePoint measuredAt(std::chrono::milliseconds(std::llround(sample.measuredAt * 1000)));
        if (workers_[sample.worker].isLive)
            strategy_.onUsage(*this, sample.worker, { sample.classes, sample.latencyRatio, measuredAt });
        samples_.pop_front();
    }
}

void SimulatedFleet::start(std::size_t task, std::size_t worker)
{
    BenchTask& entry = tasks_[task];
    entry.phase = TaskPhase::Starting;
    entry.phaseEndsAt = time_ + startSeconds;
    entry.worker = worker;
    entry.completedSeconds = entry.checkpointedSeconds;
    ++entry.startCount;
    workers_[worker].tasks.push_back(task);
    waitingTasks_.erase(task);
}

void SimulatedFleet::evict(std::size_t task, Placement::PreemptionStep step)
{
    BenchTask& entry = tasks_[task];
    if (entry.phase != TaskPhase::Running && entry.phase != TaskPhase::Starting)
        return;
    ++evictions_;
    const bool savesProgress
        = step == Placement::PreemptionStep::Checkpoint && entry.request.isCheckpointable;
    entry.keepsProgress = savesProgress;
    entry.phase = TaskPhase::Evicting;
    entry.phaseEndsAt = time_ + (savesProgress ? checkpointSeconds : stopSeconds);
}

void SimulatedFleet::endTask(std::size_t task, Placement::AttemptOutcome outcome)
{
    BenchTask& entry = tasks_[task];
    std::erase(workers_[entry.worker].tasks, task);
    if (outcome == Placement::AttemptOutcome::Succeeded) {
        entry.phase = TaskPhase::Done;
        entry.checkpointedSeconds = entry.completedSeconds;
    } else {
        if (entry.keepsProgress)
            entry.checkpointedSeconds = entry.completedSeconds;
        entry.completedSeconds = entry.checkpointedSeconds;
        entry.phase = TaskPhase::Waiting;
        waitingTasks_.insert(task);
    }
    strategy_.onEnded(*this, task, outcome);
}

RunResult SimulatedFleet::makeResult(double seconds) const
{
    RunResult result;
    result.overObjectivePercent = 100.0 * static_cast<double>(stepsOverObjective_)
        / static_cast<double>(std::max<std::size_t>(replicaSteps_, 1));
    result.evictions = evictions_;
    result.memoryKills = memoryKills_;
    std::vector<double> urgentStarts;
    for (const BenchTask& task : tasks_) {
        result.completedProcessorHours += task.completedSeconds * task.processors / 3600;
        result.metDeadlines.push_back(task.deadlineAt <= 0 || task.deadlineAt > seconds
            || (task.endedAt >= 0 && task.endedAt <= task.deadlineAt));
        if (task.isUrgent && task.submittedAt < seconds - 60)
            urgentStarts.push_back((task.firstStartAt < 0 ? seconds : task.firstStartAt) - task.submittedAt);
    }
    std::ranges::sort(urgentStarts);
    if (!urgentStarts.empty())
        result.urgentStartP99Seconds = urgentStarts[urgentStarts.size() * 99 / 100];
    return result;
}

} // namespace Bench
