// Part of ShardScheduler: what depends on time, and the speed of work beside tasks with a latency target.

#include "shardscheduler.h"

#include "interference.h"
#include "interferenceview.h"
#include "servinglayout.h"
#include "tailmodel.h"
#include "workerchoice.h"

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds waitingInterval { 300 };

// Least time between moves of serving tasks of a shard; bounds how many of them are away at a time.
constexpr milliseconds regroupInterval { 200 };

// A task throttled to at most this share for so long is moved; one without checkpoints only while it has done
// little.
constexpr int movePace = 50;
constexpr milliseconds movePatience { 400 };
constexpr int greatestLostPercent = 40;

// Beyond this multiple of the expected run time, plus the pause, a task without progress stands still.
constexpr double stalledFactor = 1.5;
constexpr milliseconds stalledPause { 1500 };

} // namespace

void ShardScheduler::onTick(Utils::TimePoint now, std::int64_t nowUnixMs)
{
    for (auto& [id, worker] : workers_)
        tickWorker(*worker, now);
    regroup(now);
    // Tasks that wait are looked at again as time passes, not only as room gets free.
    if (hasWaiting_ && now - scheduledAt_ > waitingInterval)
        isScheduleDue_ = true;
    for (const auto& [id, job] : jobs_) {
        tickLending(*job, now);
        if (job->isActive() && job->occurrences() > 1 && job->dueUnixMs(0) <= nowUnixMs)
            isScheduleDue_ = true;
    }
    std::erase_if(
        workers_, [](const auto& entry) { return !entry.second->isListed && entry.second->tasks.empty(); });
}

InterferenceView ShardScheduler::view() const
{
    return { tailModel_, demand_.shares() };
}

// One worker a tick and one move at a time, so that neither the processor nor the shard is kept busy with it.
void ShardScheduler::regroup(Utils::TimePoint now)
{
    if (now < regroupAllowedAt_ || workers_.empty())
        return;
    auto source = workers_.upper_bound(regroupedWorker_);
    if (source == workers_.end())
        source = workers_.begin();
    regroupedWorker_ = source->first;
    std::vector<Worker*> workers;
    for (const auto& [id, worker] : workers_)
        workers.push_back(worker.get());
    Regrouping move = chooseRegrouping(*source->second, workers, view(), options_.disruptionNotice, now);
    if (!move.task && hasWaiting_)
        move = chooseConsolidation(workers, view(), options_.disruptionNotice, now);
    if (!move.task)
        return;
    regroupAllowedAt_ = now + regroupInterval;
    move.task->avoidedWorker = move.task->worker->info.id;
    requestStop(*move.task, now);
}

void ShardScheduler::tickWorker(Worker& worker, Utils::TimePoint now)
{
    if (worker.asideFor != Utils::Duration::zero() && now >= worker.asideUntil && worker.tasks.empty())
        isScheduleDue_ = true;
    const std::vector<Task*> tasks = worker.tasks;
    if (!worker.isAnswering && now > worker.leaseBound) {
        for (Task* task : tasks) {
            if (task->phase == TaskPhase::Recorded)
                continue;
            orders_.attemptEnded(worker.info.id, keyOf(*task), task->attempt, "worker-silent-beyond-lease");
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
    if (shouldMove(task, now)) {
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

// Whether a throttled task is better off elsewhere: little of its work is lost, and another worker bears it.
bool ShardScheduler::shouldMove(const Task& task, Utils::TimePoint now) const
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (task.pace > movePace || now - task.throttledSince < movePatience || step.gang())
        return false;
    if (!step.checkpointed() && task.percent > greatestLostPercent)
        return false;
    std::vector<Worker*> others;
    for (const auto& [id, worker] : workers_) {
        if (worker.get() != task.worker)
            others.push_back(worker.get());
    }
    return chooseWorker(task, others, view(), now) != nullptr;
}

void ShardScheduler::adjustPaces(Worker& worker, Utils::TimePoint now)
{
    for (const PaceChange& change : choosePaces(worker, tailModel_, now)) {
        if (change.task->pace == 100)
            change.task->throttledSince = now;
        change.task->pace = change.percent;
        change.task->wasThrottled = true;
        // A throttled task makes little progress; that is counted anew from when it may work again.
        change.task->progressAt = now;
        orders_.throttleAttempt(worker.info.id, keyOf(*change.task), change.task->attempt, change.percent);
    }
}

} // namespace Fleet
