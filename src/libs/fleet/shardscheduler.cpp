#include "shardscheduler.h"

#include "crashpolicy.h"
#include "inflightbatch.h"
#include "interferencecache.h"
#include "interferenceview.h"
#include "taillatencymodel.h"
#include "workerchoice.h"
#include "workercommitment.h"
#include "workerkinds.h"

#include <algorithm>

namespace Fleet {

Ports::TaskKey keyOf(const Task& task)
{
    return { task.job->spec.id(), task.occurrence, task.step, task.index };
}

ShardScheduler::ShardScheduler(
    SchedulerOptions options, SchedulerOutput& output, TailLatencyModel& tailLatencyModel)
    : options_(std::move(options))
    , output_(output)
    , tailLatencyModel_(tailLatencyModel)
    , steps_(std::make_unique<StepBudget>())
{
}

ShardScheduler::~ShardScheduler() = default;

void ShardScheduler::setWorkers(const std::vector<Ports::WorkerInfo>& workers, Utils::TimePoint now,
    std::optional<Utils::TimePoint> readAt)
{
    beginCall(2 * workers_.size());
    for (auto& [id, worker] : workers_)
        worker->isListed = false;
    workerKinds_.Clear();
    for (const Ports::WorkerInfo& info : workers) {
        callSteps_.spend(StepKind::Calls, 1);
        Worker& worker = ensureWorker(info.id, now);
        const Placement::Resources former = worker.capacity();
        worker.info = info;
        worker.isListed = true;
        if (!info.isDraining)
            addToWorkerKinds(worker, workerKinds_);
        if (former != Placement::Resources() && former != worker.capacity())
            output_.capacityChanged({ info.id, former, worker.capacity(), worker.committed });
    }
    workersReadAt_ = readAt.value_or(now);
    isCapacityFreed_ = true;
    forgetObsoleteWorkers(now);
    isScheduleDue_ = true;
}

void ShardScheduler::submit(
    const FleetSchema::JobSpec& spec, std::uint64_t ticket, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    if (Job* known = findJob(spec.id())) {
        if (known->isCommitted)
            output_.answer(ticket, { FleetSchema::PEER_OK, known->committedState, 0 });
        else
            known->acceptTickets.push_back(ticket);
        return;
    }
    auto job = std::make_unique<Job>();
    initializeJob(spec, *job);
    job->spec.set_accepted_unix_ms(nowUnixMs);
    job->acceptedAt = now;
    job->acceptTickets.push_back(ticket);
    markDirty(*job);
    jobs_[spec.id()] = std::move(job);
    isScheduleDue_ = true;
}

void ShardScheduler::cancel(std::string_view id, std::uint64_t ticket, std::int64_t nowUnixMs)
{
    Job* job = findJob(id);
    if (!job) {
        output_.answer(ticket, { FleetSchema::PEER_UNKNOWN_JOB, FleetSchema::JOB_CANCELLED, 0 });
        return;
    }
    if (job->isActive())
        endJob(*job, FleetSchema::JOB_CANCELLED, nowUnixMs);
    if (job->committedState == job->state && job->isCommitted)
        output_.answer(ticket, { FleetSchema::PEER_OK, job->state, 0 });
    else
        job->cancelTickets.push_back(ticket);
}

std::optional<FleetSchema::JobState> ShardScheduler::state(std::string_view id) const
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second->isCommitted)
        return std::nullopt;
    return found->second->committedState;
}

void ShardScheduler::setStartRightEnd(Utils::TimePoint end)
{
    // The last pass found the right lapsed and assigned no worker.
    if (lastScheduledAt_ > startRightEnd_ && end > lastScheduledAt_)
        isScheduleDue_ = true;
    startRightEnd_ = end;
}

void ShardScheduler::onTasksChanged(const Worker& worker)
{
    if (interferenceCache_)
        interferenceCache_->invalidate(worker);
}

// The capacities in an old list may have been reduced since.
bool ShardScheduler::isWorkerListOutdated(Utils::TimePoint now) const
{
    return now - workersReadAt_ > options_.workerListLimit;
}

std::optional<Utils::Duration> ShardScheduler::shortestLease(Utils::TimePoint now) const
{
    std::optional<Utils::Duration> shortest;
    for (const auto& [id, worker] : workers_) {
        if (worker->isResponsive && !worker->tasks.empty())
            shortest = std::min(shortest.value_or(Utils::Duration::max()), worker->lease.end() - now);
    }
    return shortest;
}

// Without workers, tasks are marked as waiting, so that another shard can run them.
std::vector<Worker*> ShardScheduler::assignableWorkers(Utils::TimePoint now) const
{
    std::vector<Worker*> workers;
    if (isWorkerListOutdated(now) || now > startRightEnd_ || evacuation_.isRequested())
        return workers;
    for (const auto& [id, worker] : workers_)
        workers.push_back(worker.get());
    return workers;
}

void ShardScheduler::assign(Task& task, Worker& worker, Utils::TimePoint now)
{
    Job& job = *task.job;
    task.phase = TaskPhase::Recorded;
    ++task.attempt;
    task.worker = &worker;
    task.workerBornMs = worker.bornMs;
    task.sentAt = now;
    task.progressPercent = 0;
    task.speedPercent = 100;
    task.wasThrottled = false;
    task.ownUtilization = Task().ownUtilization;
    task.ownUtilizationSoon = Task().ownUtilizationSoon;
    task.sharesLoad = false;
    task.totalUtilization = 0;
    task.addedUtilization = 0;
    task.measuredAt = {};
    task.overTargetSince = {};
    task.isStopAnswered = false;
    task.isConfirmed = false;
    task.startClockMs = 0;
    addAttempt(task, worker);
    onTasksChanged(worker);
    job.isStarted = true;
    if (job.firstStartAt == Utils::TimePoint {})
        job.firstStartAt = now;
    if (job.state == FleetSchema::JOB_QUEUED)
        job.state = FleetSchema::JOB_RUNNING;
    markDirty(job);
}

void ShardScheduler::releaseWorker(Task& task)
{
    if (!task.worker)
        return;
    removeAttempt(task, *task.worker);
    onTasksChanged(*task.worker);
    task.worker = nullptr;
    isCapacityFreed_ = true;
    isScheduleDue_ = true;
}

// Makes the task wait for another attempt, which starts at \p retryAt at the earliest. The current attempt
// must have ended or never have been sent.
void ShardScheduler::requeue(Task& task, Utils::TimePoint retryAt)
{
    // An attempt that is not known to have run does not end the wait.
    if (task.isOpen() && !task.hasStarted && task.waitingSince == Utils::TimePoint {})
        task.waitingSince = task.sentAt;
    releaseWorker(task);
    task.phase = TaskPhase::Waiting;
    task.notBefore = retryAt;
    latestRetryAt_ = std::max(latestRetryAt_, retryAt);
    task.progressPercent = 0;
    task.hasStarted = false;
    task.isProven = false;
    visitAgain(*task.job, task.occurrence);
    markDirty(*task.job);
}

void ShardScheduler::finishTask(Task& task, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    Job& job = *task.job;
    if (job.isHosted())
        return resolveTask(task, FleetSchema::TASK_COMPLETED);
    releaseWorker(task);
    task.phase = TaskPhase::Done;
    job.countDoneTask(task.occurrence, task.step);
    --job.remainingTaskCount;
    markDirty(job);
    if (job.step(task).gang()) {
        // When one member completes, the whole gang counts as complete.
        for (std::uint32_t index = 0; index < job.step(task).count(); ++index) {
            Task& member = *job.findTask(task.occurrence, task.step, index);
            if (member.phase == TaskPhase::Done)
                continue;
            releaseWorker(member);
            member.phase = TaskPhase::Done;
            job.countDoneTask(task.occurrence, task.step);
            --job.remainingTaskCount;
        }
    }
    // Another step may be ready.
    if (job.remainingTasks(task.occurrence, task.step) == 0)
        visitAgain(job, task.occurrence);
    if (job.remainingTaskCount == 0 && job.isActive())
        endJob(job, FleetSchema::JOB_COMPLETED, nowUnixMs);
    (void)now;
}

void ShardScheduler::failTask(Task& task, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    // A failed long-running task is restarted without limit; the pause keeps one that always fails from
    // using up workers.
    constexpr std::chrono::milliseconds longRunningRetryPause { 200 };
    Job& job = *task.job;
    const bool isLongRunning = job.step(task).lasting();
    ++task.failures;
    task.avoidedWorker = task.worker ? task.worker->info.id : std::string();
    requeue(task, isLongRunning ? now + longRunningRetryPause : now);
    if (!isLongRunning && job.isActive())
        failJobIfExhausted(task, now, nowUnixMs);
}

// Fails the job if the task must not be started any more. In a host shard, only the task is over.
void ShardScheduler::failJobIfExhausted(Task& task, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    Job& job = *task.job;
    if (!isExhausted(task))
        return;
    if (job.isHosted())
        return resolveTask(task, FleetSchema::TASK_FAILED);
    endJob(job, FleetSchema::JOB_FAILED, nowUnixMs);
    stopOpenTasks(job, now);
}

void ShardScheduler::endJob(Job& job, FleetSchema::JobState state, std::int64_t nowUnixMs)
{
    job.state = state;
    job.endedUnixMs = nowUnixMs;
    markDirty(job);
    JobSummary summary;
    summary.job = job.spec.id();
    summary.state = state;
    summary.ageMs = nowUnixMs - job.spec.accepted_unix_ms();
    summary.objectiveMs = objectiveMs(job);
    if (job.firstStartAt != Utils::TimePoint {})
        summary.firstStartMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(job.firstStartAt - job.acceptedAt)
                  .count();
    summary.taskCount = static_cast<std::uint32_t>(job.tasks.size());
    for (const Task& task : job.tasks) {
        summary.attemptCount += task.attempt;
        summary.failureCount += task.failures;
        if (state == FleetSchema::JOB_FAILED && isExhausted(task))
            summary.reason = task.provedCrashes() >= maxCrashes ? "crashed-workers" : "failed-attempts";
    }
    if (job.isReduced)
        summary.reason = "record-rejected";
    output_.jobEnded(summary);
}

void ShardScheduler::stopOpenTasks(Job& job, Utils::TimePoint now)
{
    for (Task& task : job.tasks) {
        if (task.phase == TaskPhase::Sent || task.phase == TaskPhase::Running)
            requestStop(task, now);
        else if (task.phase == TaskPhase::Held)
            requeue(task, now);
    }
}

void ShardScheduler::requestStop(Task& task, Utils::TimePoint now)
{
    task.phase = TaskPhase::Stopping;
    task.stopSentAt = now;
    task.isStopAnswered = false;
    output_.stopAttempt(task.worker->info.id, keyOf(task), task.attempt);
}

// Begins to count the steps of a call.
void ShardScheduler::beginCall(std::size_t steps) const
{
    callSteps_ = StepBudget();
    callSteps_.spend(StepKind::Calls, steps);
}

Job* ShardScheduler::findJob(std::string_view id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

Worker* ShardScheduler::findWorker(const std::string& id)
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : found->second.get();
}

Worker& ShardScheduler::ensureWorker(const std::string& id, Utils::TimePoint now)
{
    std::unique_ptr<Worker>& worker = workers_[id];
    if (!worker) {
        worker = std::make_unique<Worker>();
        worker->info.id = id;
        // A former owner may have renewed the lease until its grace time ended.
        const FormerLeases former { formerRenewal_.value_or(options_.orphanGrace),
            formerLease_.value_or(options_.workerLeaseLimit), formerHeldLeaseEnd_ - now, {} };
        worker->lease.set(now + former.longestWait(), LeaseSource::FormerOwner);
        worker->addedAt = now;
        // A former owner's bound holds for the attempts that it left open, not for later ones.
        if (const auto end = formerLeaseEnds_.extract(id)) {
            worker->lease.limit(end.mapped());
            worker->isLeaseStated = true;
        }
    }
    return *worker;
}

Task* ShardScheduler::findOpenTask(
    const std::string& worker, const Ports::TaskKey& key, std::uint32_t attempt)
{
    Job* job = findJob(key.job);
    Task* task = job ? job->findTask(key.occurrence, key.step, key.index) : nullptr;
    const bool isSame = task && task->isOpen() && task->attempt == attempt && task->worker
        && task->worker->info.id == worker;
    return isSame ? task : nullptr;
}

void ShardScheduler::markDirty(Job& job)
{
    if (job.isDirty)
        return;
    job.isDirty = true;
    dirtyJobs_.push_back(&job);
}

} // namespace Fleet
