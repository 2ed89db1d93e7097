// Part of ShardScheduler: what is stored, and what follows once it is.

#include "inflightbatch.h"

#include <algorithm>

namespace Fleet {

namespace {

// The store takes 100 rows and 1 MB in a transaction; the owner's row is one of them.
constexpr std::size_t maxRowsInBatch = 90;
constexpr std::size_t maxBatchBytes = 600'000;

} // namespace

std::optional<RecordBatch> ShardScheduler::takeBatch(std::int64_t nowUnixMs)
{
    dropExpired(nowUnixMs);
    if (!hasChanges()) {
        // Ends of attempts that no job waits for need no record.
        for (auto& [id, worker] : workers_)
            worker->acknowledgedEnd = worker->seenEnd;
        return std::nullopt;
    }
    RecordBatch batch;
    inflight_ = std::make_unique<Inflight>();
    std::size_t bytes = 0;
    std::size_t taken = 0;
    for (; taken < dirtyJobs_.size() && taken < maxRowsInBatch && bytes < maxBatchBytes; ++taken) {
        Job& job = *dirtyJobs_[taken];
        job.isDirty = false;
        batch.puts.emplace_back(job.spec.id(), toRecord(job).SerializeAsString());
        bytes += batch.puts.back().second.size();
        inflight_->jobs.push_back(
            { &job, job.state, std::move(job.acceptTickets), std::move(job.cancelTickets) });
        job.acceptTickets.clear();
        job.cancelTickets.clear();
        for (Task& task : job.tasks) {
            if (task.phase == TaskPhase::Recorded)
                inflight_->starts.push_back({ &task, task.attempt });
            else if (task.phase == TaskPhase::Lent)
                inflight_->lends.push_back({ &task, task.transfer });
        }
    }
    dirtyJobs_.erase(dirtyJobs_.begin(), dirtyJobs_.begin() + static_cast<std::ptrdiff_t>(taken));
    if (dirtyJobs_.empty()) {
        for (const auto& [id, worker] : workers_)
            inflight_->acknowledgements.emplace_back(id, worker->seenEnd);
    }
    const std::size_t removable = std::min(expired_.size(), maxRowsInBatch - std::min(taken, maxRowsInBatch));
    batch.removals.assign(expired_.begin(), expired_.begin() + static_cast<std::ptrdiff_t>(removable));
    expired_.erase(expired_.begin(), expired_.begin() + static_cast<std::ptrdiff_t>(removable));
    inflight_->removals = batch.removals;
    return batch;
}

void ShardScheduler::onCommitted(Utils::TimePoint now)
{
    if (!inflight_)
        return;
    const std::unique_ptr<Inflight> batch = std::move(inflight_);
    for (const auto& [id, number] : batch->acknowledgements) {
        if (Worker* worker = findWorker(id)) {
            // A new incarnation counts from 1 again.
            worker->acknowledgedEnd = std::min(number, worker->seenEnd);
        }
    }
    for (const Inflight::RecordedLend& lend : batch->lends)
        lend.task->isLendStored = lend.task->phase == TaskPhase::Lent && lend.task->transfer == lend.transfer;
    for (const StoredJob& stored : batch->jobs)
        onJobStored(stored, now);
    for (const Inflight::RecordedAttempt& start : batch->starts) {
        Task& task = *start.task;
        if (task.phase != TaskPhase::Recorded || task.attempt != start.attempt)
            continue;
        if (task.job->isActive())
            sendStart(task, now);
        else
            settle(task, now);
    }
    for (const std::string& id : batch->removals)
        jobs_.erase(id);
}

void ShardScheduler::onJobStored(const StoredJob& stored, Utils::TimePoint now)
{
    Job& job = *stored.job;
    job.isCommitted = true;
    job.committedState = stored.state;
    for (const std::uint64_t ticket : stored.acceptTickets)
        orders_.answer(ticket, { FleetSchema::PEER_OK, stored.state, 0 });
    for (const std::uint64_t ticket : stored.cancelTickets)
        orders_.answer(ticket, { FleetSchema::PEER_OK, stored.state, 0 });
    if (!job.isActive())
        stopOpenTasks(job, now);
    for (Task& task : job.tasks) {
        if (task.phase != TaskPhase::Lent)
            continue;
        // A cancellation is sent to where the task went, whatever was answered before.
        if (!job.isActive())
            task.isLendAnswered = false;
        if (mayCallBorrower(task))
            sendLend(task, now);
    }
}

void ShardScheduler::sendStart(Task& task, Utils::TimePoint now)
{
    Worker& worker = *task.worker;
    if (!worker.isUsable() || worker.bornMs != task.workerBornMs) {
        // Nothing was sent, so the attempt cannot run.
        settle(task, now);
        return;
    }
    task.phase = TaskPhase::Sent;
    task.sentAt = now;
    task.knownSince = {};
    task.startedAt = now;
    task.progressAt = now;
    AttemptStart start;
    start.worker = worker.info.id;
    start.task = keyOf(task);
    start.attempt = task.attempt;
    start.payload = task.job->spec.payload();
    start.checkpoint = task.checkpoint;
    start.leaseUntilMs = leaseUntil(worker, now);
    orders_.startAttempt(start);
}

void ShardScheduler::dropExpired(std::int64_t nowUnixMs)
{
    const std::int64_t retentionMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(options_.retention).count();
    for (const auto& [id, job] : jobs_) {
        const bool isOver = !job->isActive() && job->isCommitted && !job->isDirty && job->endedUnixMs > 0
            && job->endedUnixMs + retentionMs < nowUnixMs;
        const bool hasOpen
            = isOver && std::any_of(job->tasks.begin(), job->tasks.end(), [](const Task& task) {
                  return task.isOpen() || (task.phase == TaskPhase::Lent && !task.isLendAnswered);
              });
        if (isOver && !hasOpen && std::find(expired_.begin(), expired_.end(), id) == expired_.end())
            expired_.push_back(id);
    }
}

} // namespace Fleet
