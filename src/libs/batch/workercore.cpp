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
    const Schema::CommandBatch& batch, Utils::TimePoint now, WorkerOrders& orders)
{
    tick(now, orders);
    Shard& shard = shards_[batch.shard()];
    Schema::WorkerReport report;
    report.set_worker(worker_);
    report.set_incarnation(incarnation_);
    report.set_clock_ms(toMilliseconds(now));
    if (accept(shard, batch, now)) {
        report.set_accepted(true);
        obey(shard, batch, now, orders);
    }
    report.set_highest_epoch(shard.epoch);
    for (const auto& [id, attempt] : shard.attempts)
        *report.add_attempts() = attempt.report;
    return report;
}

bool WorkerCore::accept(Shard& shard, const Schema::CommandBatch& batch, Utils::TimePoint now) const
{
    if (batch.epoch() < shard.epoch)
        return false;
    if (batch.epoch() == shard.epoch && batch.sequence() <= shard.sequence)
        return false;
    shard.epoch = batch.epoch();
    shard.sequence = batch.sequence();
    if (batch.incarnation() != incarnation_)
        return false;
    // The lease counts from the report that the owner answers, so a batch can be late by any amount.
    const Utils::TimePoint leaseEnd
        = fromMilliseconds(batch.granted_from_ms()) + std::chrono::milliseconds(batch.lease_ms());
    if (leaseEnd <= now || batch.granted_from_ms() > toMilliseconds(now))
        return false;
    shard.leaseEnd = std::max(shard.leaseEnd, leaseEnd);
    return true;
}

void WorkerCore::obey(
    Shard& shard, const Schema::CommandBatch& batch, Utils::TimePoint now, WorkerOrders& orders)
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
        orders.stops.push_back(found->first);
        end(found->first, found->second, Schema::ATTEMPT_STOPPED, now);
    }
    for (const Schema::AttemptRef& ref : batch.checkpoints()) {
        const auto found = shard.attempts.find(attemptId(ref));
        if (found != shard.attempts.end() && found->second.running)
            orders.checkpoints.push_back(found->first);
    }
    for (const Schema::ThrottleCommand& throttle : batch.throttles())
        orders.throttles.push_back(throttle);
    for (const Schema::StartCommand& command : batch.starts())
        start(shard, command, now, orders);
}

void WorkerCore::start(
    Shard& shard, const Schema::StartCommand& command, Utils::TimePoint now, WorkerOrders& orders)
{
    const AttemptId id = attemptId(command.attempt());
    const auto [place, isNew] = shard.attempts.try_emplace(id);
    if (!isNew)
        return;
    *place->second.report.mutable_attempt() = command.attempt();
    orders.starts.push_back(command);
    runLog_.push_back({ id, command.checkpoint(), true, Schema::ATTEMPT_RUNNING, now });
}

void WorkerCore::tick(Utils::TimePoint now, WorkerOrders& orders)
{
    for (auto& [name, shard] : shards_) {
        if (now < shard.leaseEnd)
            continue;
        for (auto& [id, attempt] : shard.attempts) {
            if (!attempt.running)
                continue;
            orders.stops.push_back(id);
            end(id, attempt, Schema::ATTEMPT_LAPSED, shard.leaseEnd);
        }
    }
}

std::optional<Utils::TimePoint> WorkerCore::nextLapse() const
{
    std::optional<Utils::TimePoint> next;
    for (const auto& [name, shard] : shards_) {
        const bool runs
            = std::ranges::any_of(shard.attempts, [](const auto& entry) { return entry.second.running; });
        if (runs && (!next || shard.leaseEnd < *next))
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

bool WorkerCore::onEnded(const AttemptId& id, Schema::AttemptState state, const std::string& checkpoint,
    const std::string& reason, Utils::TimePoint now)
{
    WorkerOrders lapsed;
    tick(now, lapsed);
    for (auto& [name, shard] : shards_) {
        const auto found = shard.attempts.find(id);
        if (found == shard.attempts.end() || !found->second.running)
            continue;
        found->second.report.set_checkpoint(checkpoint);
        found->second.report.set_reason(reason);
        end(id, found->second, state, now);
        return true;
    }
    return false;
}

void WorkerCore::end(const AttemptId& id, Attempt& attempt, Schema::AttemptState state, Utils::TimePoint at)
{
    attempt.running = false;
    attempt.report.set_state(state);
    runLog_.push_back({ id, attempt.report.checkpoint(), false, state, at });
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
