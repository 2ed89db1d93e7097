#include "workerloss.h"

#include "task.h"
#include "worker.h"

#include <algorithm>

namespace Fleet {

namespace {

std::int64_t toMs(Utils::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

WorkerLoss describeLoss(
    const Worker& worker, std::string_view reason, std::span<Task* const> attempts, Utils::TimePoint now)
{
    WorkerLoss loss;
    loss.worker = worker.info.id;
    loss.reason = reason;
    loss.attemptCount = attempts.size();
    loss.unconfirmedCount = static_cast<std::size_t>(
        std::count_if(attempts.begin(), attempts.end(), [](const Task* task) { return !task->hasStarted; }));
    loss.unprovedCount = static_cast<std::size_t>(
        std::count_if(attempts.begin(), attempts.end(), [](const Task* task) { return !task->isConfirmed; }));
    loss.startUnixMs = worker.bornMs;
    loss.isWorkerListed = worker.isListed;
    if (worker.clockSeenAt != Utils::TimePoint {})
        loss.reportAgeMs = toMs(now - worker.clockSeenAt);
    loss.sinceLeaseEndMs = toMs(now - worker.lease.end());
    loss.leaseSource = nameOf(worker.lease.source());
    return loss;
}

} // namespace Fleet
