// Attempts of a shard: what workers report, what was recorded, what is lost.

#include "shardownerprivate.h"
#include "workercore.h"

#include <algorithm>

namespace Batch {

namespace {

constexpr auto fencedAfterMissing = std::chrono::seconds(10);
constexpr auto failureDelay = std::chrono::milliseconds(500);
constexpr std::uint32_t maxDelayedFailures = 6;

bool mayRun(TaskPhase phase)
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
        found->second.link.onSilence(sequence);
        return;
    }
    if (report->highest_epoch() > row_.epoch()) {
        stepDown();
        return;
    }
    // A lower epoch means that the answer is to a batch of an earlier time as owner.
    if (report->highest_epoch() == row_.epoch() && found->second.link.onReport(sequence, *report, now))
        takeReport(found->second, *report, sequence, now);
}

void ShardOwner::Private::takeReport(
    Worker& worker, const Schema::WorkerReport& report, std::uint64_t sequence, Utils::TimePoint now)
{
    worker.acknowledgements.clear();
    worker.strayStops.clear();
    loseOtherIncarnations(worker, now);
    for (const Schema::AttemptReport& attempt : report.attempts())
        takeAttempt(worker, attempt, sequence, now);
    for (Task* task : book_.openAt(worker.link.vm().name())) {
        if (task->reportedSequence != sequence)
            takeMissing(*task, report.accepted(), sequence, now);
    }
    for (const Schema::UsageSample& sample : report.samples())
        placer_.onSample(worker.link.vm().name(), sample, now);
}

void ShardOwner::Private::loseOtherIncarnations(const Worker& worker, Utils::TimePoint now)
{
    for (Task* task : book_.openAt(worker.link.vm().name())) {
        if (task->record.incarnation() == worker.link.incarnation())
            continue;
        if (mayRun(task->phase))
            loseAttempt(*task, now);
        else if (task->phase == TaskPhase::Stocked)
            unstock(*task, now);
    }
}

void ShardOwner::Private::takeAttempt(
    Worker& worker, const Schema::AttemptReport& report, std::uint64_t sequence, Utils::TimePoint now)
{
    const Schema::AttemptRef& ref = report.attempt();
    Task* task = book_.task({ ref.job(), ref.task() });
    const bool current = task != nullptr && task->record.attempt() == ref.attempt() && mayRun(task->phase);
    if (!current) {
        takeStray(worker, report);
        return;
    }
    task->reportedSequence = sequence;
    if (!task->holdsCapacity) {
        commitments_.occupy(task->record.worker(), task->job->record.spec().size());
        task->holdsCapacity = true;
    }
    if (report.state() != Schema::ATTEMPT_RUNNING) {
        endAttempt(*task, report, now);
        return;
    }
    if (task->phase == TaskPhase::Unresolved)
        task->startedAt = now;
    book_.setPhase(*task, TaskPhase::Running);
    task->progress = report.progress();
}

void ShardOwner::Private::takeStray(Worker& worker, const Schema::AttemptReport& report)
{
    const Schema::AttemptRef& ref = report.attempt();
    if (report.state() == Schema::ATTEMPT_RUNNING) {
        worker.strayStops.push_back(ref);
        return;
    }
    const auto job = journal_.jobs().find(ref.job());
    const Schema::TaskRecord* recorded = journal_.recorded({ ref.job(), ref.task() });
    const bool jobOver = job == journal_.jobs().end() || job->second.finished();
    const bool endRecorded = recorded != nullptr
        && (recorded->attempt() > ref.attempt()
            || (recorded->attempt() == ref.attempt() && !recorded->open()));
    if (jobOver || endRecorded)
        worker.acknowledgements.push_back(ref);
}

void ShardOwner::Private::takeMissing(Task& task, bool executed, std::uint64_t sequence, Utils::TimePoint now)
{
    if (task.phase == TaskPhase::Unresolved) {
        // The worker refuses the earlier owners from now on, so this attempt was and will not be started.
        book_.setPhase(task, TaskPhase::Stocked);
        if (task.job->record.cancelled())
            closeCancelled(task);
        return;
    }
    const bool carried = task.sentSequence != 0 && task.sentSequence <= sequence;
    if (task.phase == TaskPhase::Running || (task.phase == TaskPhase::Starting && executed && carried))
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
    placer_.onEnd(runningTask(task), report.state(), now);
    if (task.holdsCapacity)
        commitments_.release(task.record.worker(), task.job->record.spec().size());
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
        ++counts_.evictions;
    } else if (report.state() == Schema::ATTEMPT_FAILED) {
        record.set_failures(record.failures() + 1);
        delay = failureDelay * std::min(record.failures(), maxDelayedFailures);
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
    book_.setPhase(task, state == Schema::PENDING ? TaskPhase::Pending : TaskPhase::Ended);
    record.set_open(false);
    record.set_state(state);
    journal_.put(record);
}

void ShardOwner::Private::unstock(Task& task, Utils::TimePoint now)
{
    if (task.holdsCapacity)
        commitments_.release(task.record.worker(), task.job->record.spec().size());
    task.holdsCapacity = false;
    task.waitingSince = now;
    book_.setPhase(task, TaskPhase::Pending);
    task.record.set_open(false);
    task.record.set_state(Schema::PENDING);
    journal_.put(task.record);
}

void ShardOwner::Private::closeCancelled(Task& task)
{
    if (task.holdsCapacity)
        commitments_.release(task.record.worker(), task.job->record.spec().size());
    task.holdsCapacity = false;
    const bool hadAttempt = task.record.open();
    book_.setPhase(task, TaskPhase::Ended);
    task.record.set_open(false);
    task.record.set_state(Schema::CANCELLED);
    // The job's record tells that tasks without an attempt are cancelled.
    if (hadAttempt)
        journal_.put(task.record);
}

void ShardOwner::Private::giveUpLost(Utils::TimePoint now)
{
    for (auto& [name, worker] : workers_) {
        const bool fenced = !worker.listed && now - worker.missingSince >= fencedAfterMissing;
        const bool silent = !worker.link.recentlyHeard(now, withClockMargin(options_.lease));
        if (!silent || (!fenced && !worker.link.surelyLapsed(now)))
            continue;
        worker.link.giveUp();
        for (Task* task : book_.openAt(name)) {
            if (mayRun(task->phase))
                loseAttempt(*task, now);
            else if (task->phase == TaskPhase::Stocked)
                unstock(*task, now);
        }
    }
    std::erase_if(workers_, [&](const auto& entry) {
        return !entry.second.listed && !entry.second.link.heard() && book_.openAt(entry.first).empty();
    });
}

void ShardOwner::Private::onRecorded(const Schema::TaskRecord& record)
{
    Task* task = book_.task(taskKey(record));
    if (task == nullptr || !record.open()) {
        counts_.endsRecorded += record.attempt() > 0 ? 1 : 0;
        return;
    }
    if (task->phase != TaskPhase::Recording || task->record.attempt() != record.attempt())
        return;
    ++counts_.attemptsRecorded;
    book_.setPhase(*task, TaskPhase::Stocked);
    if (task->job->record.cancelled())
        closeCancelled(*task);
    else if (task->holdsCapacity)
        book_.setPhase(*task, TaskPhase::Starting);
}

bool ShardOwner::Private::evict(const Schema::AttemptRef& attempt)
{
    Task* task = book_.task({ attempt.job(), attempt.task() });
    if (task == nullptr || task->phase != TaskPhase::Running || task->record.attempt() != attempt.attempt())
        return false;
    if (!task->job->record.spec().checkpointable())
        return false;
    task->checkpointAsked = true;
    askCommands(*task);
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
