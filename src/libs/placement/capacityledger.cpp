#include "capacityledger.h"

#include <algorithm>

namespace Placement {

namespace Internal {

static Resources clampedToZero(const Resources& amounts)
{
    return { std::max<std::int64_t>(amounts.milliProcessors, 0), std::max<std::int64_t>(amounts.memoryMb, 0),
        std::max<std::int64_t>(amounts.accelerators, 0) };
}

static Utils::Error commitError(Utils::ErrorCode code, const char* message)
{
    return { code, "placement.commit", "", message };
}

} // namespace Internal

WorkerIndex CapacityLedger::addWorker(const Resources& capacity)
{
    workers_.push_back({ Internal::clampedToZero(capacity), {} });
    return static_cast<WorkerIndex>(workers_.size() - 1);
}

void CapacityLedger::setCapacity(WorkerIndex worker, const Resources& capacity)
{
    workers_[worker].capacity = Internal::clampedToZero(capacity);
}

Utils::Status CapacityLedger::commit(AttemptId attempt, WorkerIndex worker, const Resources& size)
{
    using Utils::ErrorCode;
    if (worker >= workers_.size())
        return Internal::commitError(ErrorCode::InvalidArgument, "unknown worker");
    if (!size.isValid())
        return Internal::commitError(ErrorCode::InvalidArgument, "negative size");
    if (const Commitment* known = find(attempt)) {
        if (known->worker == worker && known->size == size)
            return Utils::success();
        return Internal::commitError(ErrorCode::Conflict, "the attempt is committed otherwise");
    }
    if (!size.fitsIn(available(worker)))
        return Internal::commitError(ErrorCode::Refused, "the worker has too little left");
    workers_[worker].committed += size;
    commitments_.emplace(attempt, Commitment { worker, size });
    return Utils::success();
}

std::optional<CapacityLedger::Commitment> CapacityLedger::release(AttemptId attempt)
{
    const auto found = commitments_.find(attempt);
    if (found == commitments_.end())
        return std::nullopt;
    const Commitment ended = found->second;
    workers_[ended.worker].committed -= ended.size;
    commitments_.erase(found);
    return ended;
}

const CapacityLedger::Commitment* CapacityLedger::find(AttemptId attempt) const
{
    const auto found = commitments_.find(attempt);
    return found == commitments_.end() ? nullptr : &found->second;
}

Resources CapacityLedger::available(WorkerIndex worker) const
{
    return Internal::clampedToZero(workers_[worker].capacity - workers_[worker].committed);
}

} // namespace Placement
