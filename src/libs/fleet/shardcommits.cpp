// Transactions of ShardScheduler: collects changes into batches and acts on them once they are committed.

#include "inflightbatch.h"
#include "workercommitment.h"

#include <xxhash.h>

#include <algorithm>

namespace Fleet {

namespace {

using std::chrono::milliseconds;

// The store accepts 100 rows and 1 MB in a transaction, including the row of the shard's owner.
// Changes beyond these lower limits wait for the next transaction.
constexpr std::size_t maxBatchRows = 90;
constexpr std::size_t maxBatchBytes = 600'000;
// Time between two searches for jobs that need not be kept any more; short beside the time for which they
// are.
constexpr std::int64_t expirySearchIntervalMs = 1000;

/*! Changes of the rows of one job. */
struct JobRowChanges {
    std::vector<JobRow> puts;
    std::vector<std::string> removals; //!< Keys of parts that the record does not have any more.
    std::vector<std::uint64_t> parts; //!< New value of Job::storedParts.

    std::size_t count() const { return puts.size() + removals.size(); }

    std::size_t bytes() const
    {
        std::size_t sum = 0;
        for (const JobRow& row : puts)
            sum += row.value.size();
        return sum;
    }
};

// Leaves out parts that the store already has.
JobRowChanges findRowChanges(const Job& job, std::size_t maxRowBytes)
{
    JobRowChanges changes;
    std::vector<JobRow> rows = toJobRows(toRecord(job), maxRowBytes);
    changes.puts.push_back(std::move(rows.front()));
    for (std::size_t number = 1; number < rows.size(); ++number) {
        const std::string& value = rows[number].value;
        changes.parts.push_back(XXH64(value.data(), value.size(), 0));
        if (number > job.storedParts.size() || job.storedParts[number - 1] != changes.parts.back())
            changes.puts.push_back(std::move(rows[number]));
    }
    for (std::size_t number = rows.size(); number <= job.storedParts.size(); ++number)
        changes.removals.push_back(jobPartKey(job.spec.id(), static_cast<std::uint32_t>(number)));
    return changes;
}

// Whether a job that ended before \p endedBeforeMs need not be kept any more.
bool hasExpired(const Job& job, std::int64_t endedBeforeMs)
{
    const bool hasEndedBefore = job.endedUnixMs > 0 && job.endedUnixMs < endedBeforeMs;
    if (!hasEndedBefore || !job.isCommitted || job.isDirty || (job.isActive() && !job.isHandedBack()))
        return false;
    return std::none_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) {
        return task.isOpen() || (task.phase == TaskPhase::Delegated && !task.isDelegationAcknowledged);
    });
}

// Returns why recorded attempts cannot be sent together; empty if they can.
std::string_view findSendObstacle(std::span<Task* const> tasks)
{
    std::map<const Worker*, Placement::Resources> sizes;
    for (const Task* task : tasks) {
        const Worker& worker = *task->worker;
        if (!worker.isUsable() || worker.bornMs != task->workerBornMs)
            return "not-sent";
        sizes[&worker] += committedSize(task->job->step(*task));
    }
    for (const auto& [worker, size] : sizes) {
        // The capacity may have been reduced since the attempts were decided on.
        if (!size.fitsIn(worker->available() + recordedSize(*worker)))
            return "no-capacity";
    }
    return {};
}

} // namespace

std::optional<RecordBatch> ShardScheduler::beginCommit(std::int64_t nowUnixMs)
{
    beginCall(0);
    collectExpiredJobs(nowUnixMs);
    if (!hasChanges()) {
        callSteps_.spend(StepKind::Calls, workers_.size());
        // Ends that changed no job need not be stored, so they can be acknowledged at once.
        for (auto& [id, worker] : workers_)
            worker->lastAcknowledgedEnd = worker->lastSeenEnd;
        return std::nullopt;
    }
    RecordBatch batch;
    inflightBatch_ = std::make_unique<InflightBatch>();
    const std::size_t rowCount = addDirtyJobs(batch);
    batch.hasStarts = !inflightBatch_->starts.empty();
    if (dirtyJobs_.empty()) {
        callSteps_.spend(StepKind::Calls, workers_.size());
        for (const auto& [id, worker] : workers_)
            inflightBatch_->acknowledgements.push_back({ id, worker->bornMs, worker->lastSeenEnd });
    }
    addRemovals(batch, rowCount);
    return batch;
}

// Adds changed jobs as far as the transaction has room for them. Returns the number of rows.
std::size_t ShardScheduler::addDirtyJobs(RecordBatch& batch)
{
    std::size_t bytes = 0;
    std::size_t rowCount = 0;
    std::size_t taskCount = 0;
    std::size_t batchedCount = 0;
    for (; batchedCount < std::min(dirtyJobs_.size(), batchJobLimit_); ++batchedCount) {
        Job& job = *dirtyJobs_[batchedCount];
        // All tasks of a job are examined, however few rows have changed.
        taskCount += job.tasks.size();
        if (batchedCount > 0 && taskCount > options_.tickStepLimit)
            break;
        callSteps_.spend(StepKind::Calls, job.tasks.size());
        JobRowChanges changes = findRowChanges(job, options_.maxRowBytes);
        const bool hasRoom
            = rowCount + changes.count() <= maxBatchRows && bytes + changes.bytes() <= maxBatchBytes;
        if (batchedCount > 0 && !hasRoom)
            break;
        job.isDirty = false;
        rowCount += changes.count();
        bytes += changes.bytes();
        std::move(changes.puts.begin(), changes.puts.end(), std::back_inserter(batch.puts));
        std::move(changes.removals.begin(), changes.removals.end(), std::back_inserter(batch.removals));
        job.storedParts = std::move(changes.parts);
        noteInflight(job);
    }
    dirtyJobs_.erase(dirtyJobs_.begin(), dirtyJobs_.begin() + static_cast<std::ptrdiff_t>(batchedCount));
    return rowCount;
}

// Notes what has to be done for a job of the batch once the batch is committed.
void ShardScheduler::noteInflight(Job& job)
{
    inflightBatch_->jobs.push_back(
        { &job, job.state, std::move(job.acceptTickets), std::move(job.cancelTickets) });
    job.acceptTickets.clear();
    job.cancelTickets.clear();
    for (Task& task : job.tasks) {
        if (task.phase == TaskPhase::Recorded)
            inflightBatch_->starts.push_back({ &task, task.attempt });
        else if (task.phase == TaskPhase::Delegated)
            inflightBatch_->delegations.push_back({ &task, task.transferNumber });
        else if (task.phase == TaskPhase::Resolved)
            inflightBatch_->results.push_back({ &task, task.transferNumber });
    }
}

// Removes expired jobs as far as the transaction has room for their rows.
void ShardScheduler::addRemovals(RecordBatch& batch, std::size_t rowCount)
{
    std::size_t removedCount = 0;
    for (; removedCount < expiredJobs_.size(); ++removedCount) {
        const std::string& id = expiredJobs_[removedCount];
        const std::size_t partCount = findJob(id)->storedParts.size();
        rowCount += 1 + partCount;
        if (rowCount > maxBatchRows)
            break;
        batch.removals.push_back(id);
        for (std::size_t number = 1; number <= partCount; ++number)
            batch.removals.push_back(jobPartKey(id, static_cast<std::uint32_t>(number)));
        inflightBatch_->removals.push_back(id);
    }
    expiredJobs_.erase(
        expiredJobs_.begin(), expiredJobs_.begin() + static_cast<std::ptrdiff_t>(removedCount));
}

void ShardScheduler::onCommitted(Utils::TimePoint now)
{
    statedLeaseEnds_.onStored();
    if (!inflightBatch_)
        return;
    const std::unique_ptr<InflightBatch> batch = std::move(inflightBatch_);
    if (batchJobLimit_ <= maxBatchRows)
        batchJobLimit_ *= 2;
    for (const InflightBatch::Acknowledgement& acknowledgement : batch->acknowledgements) {
        Worker* const worker = findWorker(acknowledgement.worker);
        // A worker that restarted during the transaction numbers its ends from 1 again.
        if (worker && worker->bornMs == acknowledgement.workerBornMs)
            worker->lastAcknowledgedEnd = acknowledgement.lastSeenEnd;
    }
    for (const InflightBatch::RecordedDelegation& delegation : batch->delegations)
        delegation.task->isDelegationStored = delegation.task->phase == TaskPhase::Delegated
            && delegation.task->transferNumber == delegation.transferNumber;
    for (const InflightBatch::RecordedDelegation& result : batch->results)
        result.task->isResultStored = result.task->phase == TaskPhase::Resolved
            && result.task->transferNumber == result.transferNumber;
    for (const BatchedJob& stored : batch->jobs)
        onJobCommitted(stored, now);
    for (const InflightBatch::RecordedAttempt& start : batch->starts) {
        Task& task = *start.task;
        if (task.phase != TaskPhase::Recorded || task.attempt != start.attempt)
            continue;
        if (task.job->isActive())
            sendRecorded(task, now);
        else
            requeue(task, now);
    }
    for (const std::string& id : batch->removals) {
        // A job that changed during the transaction is stored again with the next one.
        const Job* const job = findJob(id);
        if (job && !job->isDirty)
            jobs_.erase(id);
    }
}

void ShardScheduler::onBatchRejected(Utils::TimePoint now, std::int64_t nowUnixMs)
{
    if (!inflightBatch_)
        return;
    const std::unique_ptr<InflightBatch> batch = std::move(inflightBatch_);
    for (BatchedJob& rejected : batch->jobs) {
        Job& job = *rejected.job;
        std::fill(job.storedParts.begin(), job.storedParts.end(), 0);
        const auto moveTickets = [](std::vector<std::uint64_t>& from, std::vector<std::uint64_t>& to) {
            to.insert(to.begin(), from.begin(), from.end());
        };
        moveTickets(rejected.acceptTickets, job.acceptTickets);
        moveTickets(rejected.cancelTickets, job.cancelTickets);
        markDirty(job);
    }
    batchJobLimit_ = std::max<std::size_t>(1, batch->jobs.size() / 2);
    if (batch->jobs.size() == 1)
        giveUpStoring(*batch->jobs.front().job, now, nowUnixMs);
}

void ShardScheduler::giveUpStoring(Job& job, Utils::TimePoint now, std::int64_t nowUnixMs)
{
    if (job.isCommitted && !job.isReduced) {
        job.isReduced = true;
        if (job.isActive())
            endJob(job, FleetSchema::JOB_FAILED, nowUnixMs);
        return stopOpenTasks(job, now);
    }
    job.isDirty = false;
    std::erase(dirtyJobs_, &job);
    if (job.isCommitted)
        return; // Not even the outcome can be stored.
    for (const std::uint64_t ticket : job.acceptTickets)
        output_.answer(ticket, { FleetSchema::PEER_INVALID, FleetSchema::JOB_QUEUED, 0 });
    for (const std::uint64_t ticket : job.cancelTickets)
        output_.answer(ticket, { FleetSchema::PEER_UNKNOWN_JOB, FleetSchema::JOB_CANCELLED, 0 });
    for (Task& task : job.tasks)
        releaseWorker(task);
    jobs_.erase(job.spec.id());
}

void ShardScheduler::onJobCommitted(const BatchedJob& stored, Utils::TimePoint now)
{
    Job& job = *stored.job;
    job.isCommitted = true;
    job.committedState = stored.state;
    for (const std::uint64_t ticket : stored.acceptTickets)
        output_.answer(ticket, { FleetSchema::PEER_OK, stored.state, 0 });
    for (const std::uint64_t ticket : stored.cancelTickets)
        output_.answer(ticket, { FleetSchema::PEER_OK, stored.state, 0 });
    if (!job.isActive())
        stopOpenTasks(job, now);
    if (!job.isActive())
        return cancelAtHostShards(job, now);
    // Calls that were made before are repeated in their interval.
    for (Task& task : job.tasks) {
        if (task.phase == TaskPhase::Resolved && task.isResultStored
            && task.resultSentAt == Utils::TimePoint {})
            sendResult(task, now);
        else if (mayCallHostShard(task) && task.delegationSentAt == Utils::TimePoint {})
            sendDelegation(task, now);
    }
}

// Returns why recorded attempts must not be sent together; empty if they may.
std::string_view ShardScheduler::findStartObstacle(std::span<Task* const> tasks, Utils::TimePoint now) const
{
    if (isWorkerListOutdated(now))
        return "worker-list-outdated";
    if (evacuation_.isRequested())
        return "domain-evacuated";
    if (const std::string_view obstacle = findSendObstacle(tasks); !obstacle.empty())
        return obstacle;
    // A successor may have taken the shard over since the answer of the store was sent.
    if (now > startRightEnd_)
        return "ownership-unconfirmed";
    const auto mayStart = [&](const Task* task) { return mayLease(*task->worker, startLease(), now); };
    return std::all_of(tasks.begin(), tasks.end(), mayStart) ? "" : "worker-leaving";
}

// Sends a recorded attempt, or gives it up if its worker has changed meanwhile. The members of a gang are
// sent together or not at all; those of a part wait until all parts are ready.
void ShardScheduler::sendRecorded(Task& task, Utils::TimePoint now)
{
    Job& job = *task.job;
    std::vector<Task*> tasks { &task };
    if (job.step(task).gang()) {
        tasks.clear();
        for (std::uint32_t index = 0; index < job.step(task).count(); ++index) {
            Task* const member = job.findTask(task.occurrence, task.step, index);
            if (member->phase == TaskPhase::Recorded)
                tasks.push_back(member);
        }
    }
    const std::string_view obstacle = findStartObstacle(tasks, now);
    if (obstacle.empty() && task.part.size > 0)
        return holdPart(tasks, now);
    for (Task* recorded : tasks) {
        if (obstacle.empty()) {
            sendStart(*recorded, now);
            continue;
        }
        // Nothing was sent, so the attempt cannot run.
        output_.attemptEnded(recorded->worker->info.id, keyOf(*recorded), recorded->attempt, obstacle);
        requeue(*recorded, now);
    }
}

void ShardScheduler::sendStart(Task& task, Utils::TimePoint now)
{
    Worker& worker = *task.worker;
    task.phase = TaskPhase::Sent;
    task.sentAt = now;
    task.startableUntil = now + options_.callDelayLimit;
    task.reportableSince = {};
    task.startedAt = now;
    task.progressAt = now;
    AttemptStart start;
    start.worker = worker.info.id;
    start.task = keyOf(task);
    start.attempt = task.attempt;
    start.payload = task.job->spec.payload();
    start.checkpoint = task.checkpoint;
    start.leaseUntilMs = extendLease(worker, startLease(), LeaseSource::Start, now);
    start.workerBornMs = worker.bornMs;
    // An unanswered start is waited for until no incarnation can run it, which is longer than a long-running
    // task may be without a run.
    if (task.job->step(task).lasting())
        start.checkLimit = options_.startCheckLimit;
    if (worker.answeredAt != Utils::TimePoint {})
        start.answerAgeMs = std::chrono::duration_cast<milliseconds>(now - worker.answeredAt).count();
    output_.startAttempt(start);
}

// Looks through the jobs from time to time only: there may be many, and a job is kept for long. Those that
// were found before remain until a transaction has room for them.
void ShardScheduler::collectExpiredJobs(std::int64_t nowUnixMs)
{
    const std::int64_t endedBeforeMs
        = nowUnixMs - std::chrono::duration_cast<milliseconds>(options_.retention).count();
    const std::int64_t sinceSearchMs = nowUnixMs - expirySearchedUnixMs_;
    if (sinceSearchMs >= 0 && sinceSearchMs < expirySearchIntervalMs) {
        callSteps_.spend(StepKind::Calls, expiredJobs_.size());
        std::erase_if(expiredJobs_, [&](const std::string& id) {
            const Job* const job = findJob(id);
            return !job || !hasExpired(*job, endedBeforeMs);
        });
        return;
    }
    expirySearchedUnixMs_ = nowUnixMs;
    callSteps_.spend(StepKind::Calls, jobs_.size());
    expiredJobs_.clear();
    for (const auto& [id, job] : jobs_) {
        if (hasExpired(*job, endedBeforeMs))
            expiredJobs_.push_back(id);
    }
}

} // namespace Fleet
