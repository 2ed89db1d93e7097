#include "workercore.h"

#include <algorithm>
#include <utility>

namespace Batch {

namespace {

std::int64_t toMilliseconds(Utils::TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

Utils::TimePoint fromMilliseconds(std::int64_t milliseconds)
{
    return Utils::TimePoint(std::chrono::milliseconds(milliseconds));
}

} // namespace

AttemptId attemptId(const Schema::AttemptRef& ref)
{
    return { ref.job(), ref.task(), ref.attempt() };
}

Schema::AttemptRef attemptRef(const AttemptId& id)
{
    Schema::AttemptRef ref;
    ref.set_job(id.job);
    ref.set_task(id.task);
    ref.set_attempt(id.attempt);
    return ref;
}

WorkerCore::WorkerCore(std::string worker, std::string incarnation)
    : worker_(std::move(worker))
    , incarnation_(std::move(incarnation))
{
}

Schema::WorkerReport WorkerCore::onBatch(
    const Schema::CommandBatch& batch, Utils::TimePoint now, RunnerCommands& commands)
{
    tick(now, commands);
    Shard& shard = shards_[batch.shard()];
    Schema::WorkerReport report;
    report.set_worker(worker_);
    report.set_incarnation(incarnation_);
    report.set_clock_ms(toMilliseconds(now));
    if (acceptBatch(shard, batch, now)) {
        report.set_accepted(true);
        executeBatch(shard, batch, now, commands);
    }
    report.set_highest_epoch(shard.highestEpoch);
    for (const auto& [id, attempt] : shard.attempts)
        *report.add_attempts() = attempt.report;
    return report;
}

bool WorkerCore::acceptBatch(Shard& shard, const Schema::CommandBatch& batch, Utils::TimePoint now) const
{
    if (batch.epoch() < shard.highestEpoch)
        return false;
    if (batch.epoch() == shard.highestEpoch && batch.sequence() <= shard.highestSequence)
        return false;
    shard.highestEpoch = batch.epoch();
    shard.highestSequence = batch.sequence();
    if (batch.incarnation() != incarnation_)
        return false;
    // The lease counts from the report whose clock value the batch returns, not from the arrival of the
    // batch, so a late batch never extends the lease.
    const Utils::TimePoint leaseEnd
        = fromMilliseconds(batch.granted_from_ms()) + std::chrono::milliseconds(batch.lease_ms());
    if (leaseEnd <= now || batch.granted_from_ms() > toMilliseconds(now))
        return false;
    shard.leaseEnd = std::max(shard.leaseEnd, leaseEnd);
    return true;
}

void WorkerCore::executeBatch(
    Shard& shard, const Schema::CommandBatch& batch, Utils::TimePoint now, RunnerCommands& commands)
{
    for (const Schema::AttemptRef& ref : batch.acknowledged()) {
        const auto found = shard.attempts.find(attemptId(ref));
        if (found != shard.attempts.end() && !found->second.running)
            shard.attempts.erase(found);
    }
    for (const Schema::AttemptRef& ref : batch.stops()) {
        const auto found = shard.attempts.find(attemptId(ref));
        if (found == shard.attempts.end() || !found->second.running)
            continue;
        commands.stops.push_back(found->first);
        endAttempt(found->first, found->second, Schema::ATTEMPT_STOPPED, now);
    }
    for (const Schema::AttemptRef& ref : batch.checkpoints()) {
        const auto found = shard.attempts.find(attemptId(ref));
        if (found != shard.attempts.end() && found->second.running)
            commands.checkpoints.push_back(found->first);
    }
    for (const Schema::ThrottleCommand& throttle : batch.throttles())
        commands.throttles.push_back(throttle);
    for (const Schema::StartCommand& command : batch.starts())
        startAttempt(shard, command, now, commands);
}

void WorkerCore::startAttempt(
    Shard& shard, const Schema::StartCommand& command, Utils::TimePoint now, RunnerCommands& commands)
{
    const AttemptId id = attemptId(command.attempt());
    const auto [position, isNew] = shard.attempts.try_emplace(id);
    if (!isNew)
        return;
    *position->second.report.mutable_attempt() = command.attempt();
    commands.starts.push_back(command);
    runLog_.push_back({ id, command.checkpoint(), true, Schema::ATTEMPT_RUNNING, now });
}

void WorkerCore::tick(Utils::TimePoint now, RunnerCommands& commands)
{
    for (auto& [name, shard] : shards_) {
        if (now < shard.leaseEnd)
            continue;
        for (auto& [id, attempt] : shard.attempts) {
            if (!attempt.running)
                continue;
            commands.stops.push_back(id);
            endAttempt(id, attempt, Schema::ATTEMPT_LAPSED, shard.leaseEnd);
        }
    }
}

std::optional<Utils::TimePoint> WorkerCore::nextLeaseEnd() const
{
    std::optional<Utils::TimePoint> next;
    for (const auto& [name, shard] : shards_) {
        const bool hasRunningAttempt
            = std::ranges::any_of(shard.attempts, [](const auto& entry) { return entry.second.running; });
        if (hasRunningAttempt && (!next || shard.leaseEnd < *next))
            next = shard.leaseEnd;
    }
    return next;
}

void WorkerCore::onProgress(const AttemptId& id, double progress)
{
    for (auto& [name, shard] : shards_) {
        const auto found = shard.attempts.find(id);
        if (found != shard.attempts.end() && found->second.running)
            found->second.report.set_progress(progress);
    }
}

bool WorkerCore::onAttemptEnded(const AttemptId& id, Schema::AttemptState state,
    const std::string& checkpoint, const std::string& reason, Utils::TimePoint now)
{
    RunnerCommands lapsed;
    tick(now, lapsed);
    for (auto& [name, shard] : shards_) {
        const auto found = shard.attempts.find(id);
        if (found == shard.attempts.end() || !found->second.running)
            continue;
        found->second.report.set_checkpoint(checkpoint);
        found->second.report.set_reason(reason);
        endAttempt(id, found->second, state, now);
        return true;
    }
    return false;
}

void WorkerCore::endAttempt(
    const AttemptId& id, Attempt& attempt, Schema::AttemptState state, Utils::TimePoint time)
{
    attempt.running = false;
    attempt.report.set_state(state);
    runLog_.push_back({ id, attempt.report.checkpoint(), false, state, time });
}

std::size_t WorkerCore::runningCount() const
{
    std::size_t count = 0;
    for (const auto& [name, shard] : shards_)
        count += static_cast<std::size_t>(
            std::ranges::count_if(shard.attempts, [](const auto& entry) { return entry.second.running; }));
    return count;
}

} // namespace Batch
