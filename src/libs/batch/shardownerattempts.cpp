// Attempts of a shard: reports of workers, recorded attempts, and the loss of workers.

#include "shardownerprivate.h"
#include "workercore.h"

#include <algorithm>

namespace Batch {

namespace {

constexpr auto fencedAfterUnlisted = std::chrono::seconds(10);
constexpr auto retryDelayPerFailure = std::chrono::milliseconds(500);
constexpr std::uint32_t maxFailuresInRetryDelay = 6;

bool mayBeRunning(TaskPhase phase)
{
    return phase == TaskPhase::Starting || phase == TaskPhase::Running || phase == TaskPhase::Unresolved;
}

} // namespace

void ShardOwner::Private::onReport(
    std::string_view worker, std::uint64_t sequence, const Schema::WorkerReport* report, Utils::TimePoint now)
{
    const auto found = workers_.find(worker);
    if (role_ != Role::Owning || found == workers_.end())
        return;
    if (report == nullptr) {
        found->second.link.onReportMissing(sequence);
        return;
    }
    if (report->highest_epoch() > row_.epoch()) {
        stepDown();
        return;
    }
    // A report with a lower epoch answers a batch from an earlier ownership by this process.
    if (report->highest_epoch() == row_.epoch() && found->second.link.onReport(sequence, *report, now))
        applyReport(found->second, *report, sequence, now);
}

void ShardOwner::Private::applyReport(
    Worker& worker, const Schema::WorkerReport& report, std::uint64_t sequence, Utils::TimePoint now)
{
    worker.acknowledgements.clear();
    worker.staleAttemptsToStop.clear();
    dropOtherIncarnations(worker, now);
    for (const Schema::AttemptReport& attempt : report.attempts())
        applyAttemptReport(worker, attempt, sequence, now);
    for (Task* task : registry_.openTasksAt(worker.link.vm().name())) {
        if (task->lastReportedSequence != sequence)
            handleUnreportedAttempt(*task, report.accepted(), sequence, now);
    }
    for (const Schema::UsageSample& sample : report.samples())
        placer_.onUsageSample(worker.link.vm().name(), sample, now);
}

void ShardOwner::Private::dropOtherIncarnations(const Worker& worker, Utils::TimePoint now)
{
    for (Task* task : registry_.openTasksAt(worker.link.vm().name())) {
        if (task->record.incarnation() == worker.link.incarnation())
            continue;
        if (mayBeRunning(task->phase))
            loseAttempt(*task, now);
        else if (task->phase == TaskPhase::Recorded)
            returnToPending(*task, now);
    }
}

void ShardOwner::Private::applyAttemptReport(
    Worker& worker, const Schema::AttemptReport& report, std::uint64_t sequence, Utils::TimePoint now)
{
    const Schema::AttemptRef& ref = report.attempt();
    Task* task = registry_.task({ ref.job(), ref.task() });
    const bool current
        = task != nullptr && task->record.attempt() == ref.attempt() && mayBeRunning(task->phase);
    if (!current) {
        applyStaleReport(worker, report);
        return;
    }
    task->lastReportedSequence = sequence;
    if (!task->holdsCapacity) {
        reservations_.reserve(task->record.worker(), task->job->record.spec().size());
        task->holdsCapacity = true;
    }
    if (report.state() != Schema::ATTEMPT_RUNNING) {
        endAttempt(*task, report, now);
        return;
    }
    if (task->phase == TaskPhase::Unresolved)
        task->startedAt = now;
    registry_.setPhase(*task, TaskPhase::Running);
    task->progress = report.progress();
}

void ShardOwner::Private::applyStaleReport(Worker& worker, const Schema::AttemptReport& report)
{
    const Schema::AttemptRef& ref = report.attempt();
    if (report.state() == Schema::ATTEMPT_RUNNING) {
        worker.staleAttemptsToStop.push_back(ref);
        return;
    }
    const auto job = journal_.jobs().find(ref.job());
    const Schema::TaskRecord* recorded = journal_.recordedTask({ ref.job(), ref.task() });
    const bool jobEnded = job == journal_.jobs().end() || job->second.finished();
    const bool endRecorded = recorded != nullptr
        && (recorded->attempt() > ref.attempt()
            || (recorded->attempt() == ref.attempt() && !recorded->open()));
    if (jobEnded || endRecorded)
        worker.acknowledgements.push_back(ref);
}

void ShardOwner::Private::handleUnreportedAttempt(
    Task& task, bool batchAccepted, std::uint64_t sequence, Utils::TimePoint now)
{
    if (task.phase == TaskPhase::Unresolved) {
        // A worker that has reported to this owner rejects former owners, so this attempt was not started and
        // no former owner can start it any more.
        registry_.setPhase(task, TaskPhase::Recorded);
        if (task.job->record.cancelled())
            endCancelledTask(task);
        return;
    }
    const bool startWasSent = task.firstSentSequence != 0 && task.firstSentSequence <= sequence;
    if (task.phase == TaskPhase::Running
        || (task.phase == TaskPhase::Starting && batchAccepted && startWasSent))
        loseAttempt(task, now);
}

void ShardOwner::Private::loseAttempt(Task& task, Utils::TimePoint now)
{
    Schema::AttemptReport report;
    report.set_state(Schema::ATTEMPT_LAPSED);
    report.set_reason("worker lost");
    endAttempt(task, report, now);
}

void ShardOwner::Private::endAttempt(Task& task, const Schema::AttemptReport& report, Utils::TimePoint now)
{
    placer_.onAttemptEnded(runningTask(task), report.state(), now);
    if (task.holdsCapacity)
        reservations_.release(task.record.worker(), task.job->record.spec().size());
    task.holdsCapacity = false;
    Schema::TaskRecord& record = task.record;
    record.set_reason(report.reason());
    record.set_ended_attempt(record.attempt());
    record.set_ended_as(report.state());
    Schema::TaskState state = Schema::PENDING;
    Utils::Duration delay {};
    if (report.state() == Schema::ATTEMPT_CHECKPOINTED && !report.checkpoint().empty()) {
        record.set_checkpoint(report.checkpoint());
        ++task.job->evictions;
        ++statistics_.evictions;
    } else if (report.state() == Schema::ATTEMPT_FAILED) {
        record.set_failures(record.failures() + 1);
        delay = retryDelayPerFailure * std::min(record.failures(), maxFailuresInRetryDelay);
        if (!task.job->isService() && record.failures() >= options_.maxFailures)
            state = Schema::FAILED;
    } else if (report.state() == Schema::ATTEMPT_SUCCEEDED && task.job->isService()) {
        record.clear_checkpoint();
    } else if (report.state() == Schema::ATTEMPT_SUCCEEDED) {
        state = Schema::DONE;
    }
    if (state == Schema::PENDING && task.job->record.cancelled())
        state = Schema::CANCELLED;
    task.waitingSince = now + delay;
    registry_.setPhase(task, state == Schema::PENDING ? TaskPhase::Pending : TaskPhase::Ended);
    record.set_open(false);
    record.set_state(state);
    journal_.put(record);
}

void ShardOwner::Private::returnToPending(Task& task, Utils::TimePoint now)
{
    if (task.holdsCapacity)
        reservations_.release(task.record.worker(), task.job->record.spec().size());
    task.holdsCapacity = false;
    task.waitingSince = now;
    registry_.setPhase(task, TaskPhase::Pending);
    task.record.set_open(false);
    task.record.set_state(Schema::PENDING);
    journal_.put(task.record);
}

void ShardOwner::Private::endCancelledTask(Task& task)
{
    if (task.holdsCapacity)
        reservations_.release(task.record.worker(), task.job->record.spec().size());
    task.holdsCapacity = false;
    const bool hadAttempt = task.record.open();
    registry_.setPhase(task, TaskPhase::Ended);
    task.record.set_open(false);
    task.record.set_state(Schema::CANCELLED);
    // A task without an open attempt needs no record of its own, because the job's record cancels it.
    if (hadAttempt)
        journal_.put(task.record);
}

void ShardOwner::Private::dropLostWorkers(Utils::TimePoint now)
{
    for (auto& [name, worker] : workers_) {
        const bool fenced = !worker.listed && now - worker.unlistedSince >= fencedAfterUnlisted;
        const bool unresponsive = !worker.link.isResponsive(now, withClockMargin(options_.lease));
        if (!unresponsive || (!fenced && !worker.link.allLeasesLapsed(now)))
            continue;
        worker.link.resetContact();
        for (Task* task : registry_.openTasksAt(name)) {
            if (mayBeRunning(task->phase))
                loseAttempt(*task, now);
            else if (task->phase == TaskPhase::Recorded)
                returnToPending(*task, now);
        }
    }
    std::erase_if(workers_, [&](const auto& entry) {
        return !entry.second.listed && !entry.second.link.hasReported()
            && registry_.openTasksAt(entry.first).empty();
    });
}

void ShardOwner::Private::onTaskRecorded(const Schema::TaskRecord& record)
{
    Task* task = registry_.task(taskKey(record));
    if (task == nullptr || !record.open()) {
        statistics_.endsRecorded += record.attempt() > 0 ? 1 : 0;
        return;
    }
    if (task->phase != TaskPhase::Recording || task->record.attempt() != record.attempt())
        return;
    ++statistics_.attemptsRecorded;
    registry_.setPhase(*task, TaskPhase::Recorded);
    if (task->job->record.cancelled())
        endCancelledTask(*task);
    else if (task->holdsCapacity)
        registry_.setPhase(*task, TaskPhase::Starting);
}

bool ShardOwner::Private::evict(const Schema::AttemptRef& attempt)
{
    Task* task = registry_.task({ attempt.job(), attempt.task() });
    if (task == nullptr || task->phase != TaskPhase::Running || task->record.attempt() != attempt.attempt())
        return false;
    if (!task->job->record.spec().checkpointable())
        return false;
    task->checkpointRequested = true;
    requestCommands(*task);
    return true;
}

RunningTask ShardOwner::Private::runningTask(const Task& task) const
{
    RunningTask running;
    running.attempt = attemptRef({ task.record.job(), task.record.task(), task.record.attempt() });
    running.spec = &task.job->record.spec();
    running.worker = task.record.worker();
    running.progress = task.progress;
    running.startedAt = task.startedAt;
    return running;
}

} // namespace Batch
