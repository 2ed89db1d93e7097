#include "workerloss.h"

#include "worker.h"

namespace Fleet {

namespace {

std::int64_t toMs(Utils::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

WorkerLoss describeLoss(
    const Worker& worker, std::string_view reason, std::size_t attemptCount, Utils::TimePoint now)
{
    WorkerLoss loss;
    loss.worker = worker.info.id;
    loss.reason = reason;
    loss.attemptCount = attemptCount;
    loss.isWorkerListed = worker.isListed;
    if (worker.clockSeenAt != Utils::TimePoint {})
        loss.reportAgeMs = toMs(now - worker.clockSeenAt);
    loss.sinceLeaseEndMs = toMs(now - worker.lease.end());
    loss.leaseSource = nameOf(worker.lease.source());
    return loss;
}

} // namespace Fleet
