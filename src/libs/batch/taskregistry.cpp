#include "taskregistry.h"

namespace Batch {

namespace {

bool hasOpenAttempt(TaskPhase phase)
{
    return phase != TaskPhase::Pending && phase != TaskPhase::Ended;
}

} // namespace

Job& TaskRegistry::add(const Schema::JobRecord& record, Utils::TimePoint now)
{
    std::unique_ptr<Job>& slot = jobs_[record.id()];
    slot = std::make_unique<Job>();
    Job& job = *slot;
    job.record = record;
    job.finishedAt = now;
    if (record.spec().deadline_ms() > 0)
        job.deadline = now + std::chrono::milliseconds(record.spec().deadline_ms());
    if (record.finished())
        return job;
    job.tasks.resize(record.count());
    for (std::uint32_t offset = 0; offset < record.count(); ++offset) {
        Task& task = job.tasks[offset];
        task.job = &job;
        task.record.set_job(record.id());
        task.record.set_task(record.first() + offset);
        task.waitingSince = now;
        addToIndices(task);
    }
    return job;
}

Job* TaskRegistry::job(const std::string& id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

Task* TaskRegistry::task(const TaskKey& key)
{
    Job* owner = job(key.first);
    if (owner == nullptr || key.second < owner->record.first())
        return nullptr;
    const std::size_t offset = key.second - owner->record.first();
    return offset < owner->tasks.size() ? &owner->tasks[offset] : nullptr;
}

void TaskRegistry::setPhase(Task& task, TaskPhase phase)
{
    if (task.phase == phase)
        return;
    removeFromIndices(task);
    task.phase = phase;
    addToIndices(task);
}

void TaskRegistry::assign(Task& task, const std::string& worker, const std::string& incarnation)
{
    removeFromIndices(task);
    task.record.set_attempt(task.record.attempt() + 1);
    task.record.set_open(true);
    task.record.set_state(Schema::RUNNING);
    task.record.set_worker(worker);
    task.record.set_incarnation(incarnation);
    task.phase = TaskPhase::Recording;
    task.checkpointRequested = false;
    task.stopRequested = false;
    task.throttleRequested = false;
    task.processorShare = 1;
    task.progress = 0;
    task.firstSentSequence = 0;
    task.lastReportedSequence = 0;
    addToIndices(task);
}

void TaskRegistry::restore(Task& task, const Schema::TaskRecord& record)
{
    removeFromIndices(task);
    task.record = record;
    if (record.open())
        task.phase = TaskPhase::Unresolved;
    else if (record.state() == Schema::PENDING || record.state() == Schema::RUNNING)
        task.phase = TaskPhase::Pending;
    else
        task.phase = TaskPhase::Ended;
    addToIndices(task);
}

void TaskRegistry::setRank(Job& job, std::uint32_t rank)
{
    if (job.rank == rank)
        return;
    std::vector<Task*> pending;
    for (Task& task : job.tasks) {
        if (task.phase == TaskPhase::Pending)
            pending.push_back(&task);
    }
    for (Task* task : pending)
        removeFromIndices(*task);
    job.rank = rank;
    for (Task* task : pending)
        addToIndices(*task);
}

bool TaskRegistry::hasMoreUrgentPending(const Task& task, Utils::TimePoint now) const
{
    const std::pair<bool, std::uint32_t> own { !task.job->isService(), task.job->rank };
    for (const auto& [urgencyOfOther, other] : pending_) {
        const std::pair<bool, std::uint32_t> others { !other->job->isService(), other->job->rank };
        if (others >= own)
            return false;
        if (!other->job->canNeverRun && other->waitingSince <= now)
            return true;
    }
    return false;
}

void TaskRegistry::finish(Job& job)
{
    for (Task& task : job.tasks)
        removeFromIndices(task);
    job.tasks.clear();
}

void TaskRegistry::erase(const std::string& id)
{
    if (Job* erasedJob = job(id))
        finish(*erasedJob);
    jobs_.erase(id);
}

std::vector<Task*> TaskRegistry::openTasksAt(std::string_view worker) const
{
    std::vector<Task*> tasks;
    for (const TasksByWorker& phase : openTasksByPhase_) {
        const auto found = phase.find(worker);
        if (found == phase.end())
            continue;
        for (const auto& [key, task] : found->second)
            tasks.push_back(task);
    }
    return tasks;
}

std::vector<Task*> TaskRegistry::openTasksAt(TaskPhase phase, std::string_view worker) const
{
    std::vector<Task*> tasks;
    const TasksByWorker& workers = openTasksByPhase_[static_cast<std::size_t>(phase)];
    const auto found = workers.find(worker);
    if (found == workers.end())
        return tasks;
    for (const auto& [key, task] : found->second)
        tasks.push_back(task);
    return tasks;
}

std::vector<Task*> TaskRegistry::pendingTasks(std::size_t limit, Utils::TimePoint now)
{
    std::vector<Task*> tasks;
    for (const auto& [urgencyOfTask, task] : pending_) {
        if (tasks.size() == limit)
            break;
        if (!task->job->canNeverRun && task->waitingSince <= now)
            tasks.push_back(task);
    }
    return tasks;
}

Schema::JobPartState TaskRegistry::partState(const Job& job)
{
    Schema::JobPartState state;
    state.set_reason(job.reason);
    state.set_evictions(job.evictions);
    if (job.record.finished()) {
        state.set_done(job.record.done());
        state.set_failed(job.record.failed());
        state.set_cancelled(job.record.count() - job.record.done() - job.record.failed());
        return state;
    }
    for (const Task& task : job.tasks) {
        const Schema::TaskState recorded = task.record.state();
        if (task.phase == TaskPhase::Ended && recorded == Schema::DONE)
            state.set_done(state.done() + 1);
        else if (task.phase == TaskPhase::Ended && recorded == Schema::FAILED)
            state.set_failed(state.failed() + 1);
        else if (task.phase == TaskPhase::Ended)
            state.set_cancelled(state.cancelled() + 1);
        else if (task.phase == TaskPhase::Running || task.phase == TaskPhase::Starting)
            state.set_running(state.running() + 1);
        else if (job.canNeverRun)
            state.set_never(state.never() + 1);
        else
            state.set_pending(state.pending() + 1);
    }
    return state;
}

TaskRegistry::Urgency TaskRegistry::urgency(const Task& task)
{
    return { !task.job->isService(), task.job->rank, task.job->deadline, task.waitingSince,
        taskKey(task.record) };
}

void TaskRegistry::addToIndices(Task& task)
{
    ++phaseCounts_[static_cast<std::size_t>(task.phase)];
    task.job->publishDue = true;
    if (task.phase == TaskPhase::Pending)
        pending_[urgency(task)] = &task;
    if (hasOpenAttempt(task.phase))
        openTasksByPhase_[static_cast<std::size_t>(task.phase)][task.record.worker()][taskKey(task.record)]
            = &task;
}

void TaskRegistry::removeFromIndices(Task& task)
{
    --phaseCounts_[static_cast<std::size_t>(task.phase)];
    if (task.phase == TaskPhase::Pending)
        pending_.erase(urgency(task));
    if (!hasOpenAttempt(task.phase))
        return;
    TasksByWorker& workers = openTasksByPhase_[static_cast<std::size_t>(task.phase)];
    const auto found = workers.find(task.record.worker());
    found->second.erase(taskKey(task.record));
    if (found->second.empty())
        workers.erase(found);
}

} // namespace Batch
