// Part of ShardScheduler: what depends on time, and relief of tasks that serve users.

#include "shardscheduler.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// Shares of full speed to which work beside a serving task over its target is throttled, one after the other.
constexpr int firstPace = 40;
constexpr int lowestPace = 0;
// Fraction of the target below which throttled work gets its speed back.
constexpr double relievedFraction = 0.6;

// Beyond this multiple of the expected run time, plus the pause, a task without progress stands still.
constexpr double stalledFactor = 1.5;
constexpr milliseconds stalledPause { 1500 };

} // namespace

void ShardScheduler::onTick(Utils::TimePoint now, std::int64_t nowUnixMs)
{
    for (auto& [id, worker] : workers_)
        tickWorker(*worker, now);
    for (const auto& [id, job] : jobs_) {
        if (job->isActive() && job->occurrences() > 1 && job->dueUnixMs(0) <= nowUnixMs)
            isScheduleDue_ = true;
    }
    std::erase_if(
        workers_, [](const auto& entry) { return !entry.second->isListed && entry.second->tasks.empty(); });
}

void ShardScheduler::tickWorker(Worker& worker, Utils::TimePoint now)
{
    if (worker.asideFor != Utils::Duration::zero() && now >= worker.asideUntil && worker.tasks.empty())
        isScheduleDue_ = true;
    const std::vector<Task*> tasks = worker.tasks;
    if (!worker.isAnswering && now > worker.leaseBound) {
        for (Task* task : tasks) {
            if (task->phase != TaskPhase::Recorded)
                settle(*task, now);
        }
        return;
    }
    for (Task* task : tasks)
        tickTask(*task, now);
}

void ShardScheduler::tickTask(Task& task, Utils::TimePoint now)
{
    const Worker& worker = *task.worker;
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (task.phase == TaskPhase::Sent && now - task.sentAt > options_.startTimeout) {
        requestStop(task, now);
        return;
    }
    if (task.phase == TaskPhase::Stopping && now - task.stopSentAt > options_.stopRepeat) {
        task.stopSentAt = now;
        if (!task.isStopAnswered)
            orders_.stopAttempt(worker.info.id, keyOf(task), task.attempt);
        return;
    }
    if (task.phase != TaskPhase::Running)
        return;
    if (worker.info.isDraining && worker.isListed) {
        const milliseconds left(worker.info.drainRemainingMs);
        const milliseconds needed(step.estimate_ms() * (100 - task.percent) / 100);
        if (step.lasting() || needed > left)
            requestStop(task, now);
        return;
    }
    const auto allowed
        = milliseconds(static_cast<std::int64_t>(stalledFactor * step.estimate_ms())) + stalledPause;
    if (!step.lasting() && task.pace == 100 && worker.isAnswering && now - task.startedAt > allowed
        && now - task.progressAt > stalledPause) {
        requestStop(task, now);
    }
}

// Throttles work beside a serving task whose tail latency is over its target, well within the time that the
// interference may last, and gives the speed back once the tail is low.
void ShardScheduler::relieveServingTasks(Worker& worker, Utils::TimePoint now)
{
    bool isOver = false;
    bool isRelieved = true;
    Utils::Duration longest {};
    for (Task* task : worker.tasks) {
        const std::uint32_t target = task->job->step(*task).tail_target_ms();
        if (target == 0 || task->phase != TaskPhase::Running)
            continue;
        if (task->load > static_cast<std::int64_t>(target)) {
            if (task->overTargetSince == Utils::TimePoint {})
                task->overTargetSince = now;
            isOver = true;
            longest = std::max(longest, now - task->overTargetSince);
        } else {
            task->overTargetSince = {};
        }
        if (static_cast<double>(task->load) > relievedFraction * target)
            isRelieved = false;
    }
    if (!isOver && !isRelieved)
        return;
    const int pace = !isOver ? 100 : (longest > options_.interferenceLimit / 4 ? lowestPace : firstPace);
    for (Task* task : worker.tasks) {
        if (!task->job->step(*task).leftover_processors() || task->phase != TaskPhase::Running)
            continue;
        if (isOver ? pace < task->pace : pace > task->pace) {
            setPace(*task, pace);
            // A throttled task makes no progress; that is counted anew from when it may work again.
            task->progressAt = now;
        }
    }
}

void ShardScheduler::setPace(Task& task, int percent)
{
    task.pace = percent;
    orders_.throttleAttempt(task.worker->info.id, keyOf(task), task.attempt, percent);
}

} // namespace Fleet
