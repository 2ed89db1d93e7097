#include "workerquarantine.h"

#include <algorithm>

namespace Placement {

WorkerQuarantine::WorkerQuarantine()
    : WorkerQuarantine(Parameters {})
{
}

WorkerQuarantine::WorkerQuarantine(const Parameters& parameters)
    : parameters_(parameters)
{
}

bool WorkerQuarantine::recordJobFailure(std::string_view job, WorkerIndex worker)
{
    const auto found = jobs_.try_emplace(std::string(job)).first;
    Job& entry = found->second;
    if (entry.hasSucceeded)
        return false;
    if (entry.failedOn.size() < parameters_.minWorkersOfFailingJob)
        entry.failedOn.insert(worker);
    return entry.failedOn.size() >= parameters_.minWorkersOfFailingJob;
}

bool WorkerQuarantine::onFailure(WorkerIndex worker, std::string_view job, Utils::TimePoint now)
{
    const bool isJobAtFault = recordJobFailure(job, worker);
    Worker& entry = workers_[worker];
    if (entry.isQuarantined) {
        if (!entry.isProbing)
            return true;
        entry.isProbing = false;
        entry.probeDelay = std::min(entry.probeDelay * 2, parameters_.maxProbeDelay);
        entry.probeAt = now + entry.probeDelay;
        return true;
    }
    if (isJobAtFault)
        return false;
    ++entry.consecutiveFailures;
    if (entry.consecutiveFailures < parameters_.failureThreshold)
        return false;
    const auto bound
        = static_cast<std::size_t>(static_cast<double>(workerCount_) * parameters_.maxQuarantinedShare);
    if (quarantinedCount() >= std::max<std::size_t>(bound, 1))
        return false;
    entry.isQuarantined = true;
    quarantined_.insert(worker);
    entry.probeDelay = parameters_.firstProbeDelay;
    entry.probeAt = now + entry.probeDelay;
    return true;
}

void WorkerQuarantine::onSuccess(WorkerIndex worker, std::string_view job)
{
    removeWorker(worker);
    const auto found = jobs_.find(job);
    if (found == jobs_.end())
        return;
    found->second.hasSucceeded = true;
    found->second.failedOn.clear();
}

void WorkerQuarantine::removeWorker(WorkerIndex worker)
{
    workers_.erase(worker);
    quarantined_.erase(worker);
}

void WorkerQuarantine::removeJob(std::string_view job)
{
    const auto found = jobs_.find(job);
    if (found != jobs_.end())
        jobs_.erase(found);
}

bool WorkerQuarantine::isQuarantined(WorkerIndex worker) const
{
    return quarantined_.contains(worker);
}

std::vector<WorkerIndex> WorkerQuarantine::workersDueForProbe(Utils::TimePoint now) const
{
    std::vector<WorkerIndex> due;
    for (const WorkerIndex worker : quarantined_) {
        const Worker& entry = workers_.at(worker);
        if (!entry.isProbing && now >= entry.probeAt)
            due.push_back(worker);
    }
    return due;
}

void WorkerQuarantine::onProbeStarted(WorkerIndex worker)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end())
        found->second.isProbing = true;
}

void WorkerQuarantine::onInterrupted(WorkerIndex worker)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end())
        found->second.isProbing = false;
}

} // namespace Placement
