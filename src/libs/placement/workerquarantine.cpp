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

bool WorkerQuarantine::isAtFault(std::string_view job, WorkerIndex worker)
{
    const auto found = jobs_.try_emplace(std::string(job)).first;
    Job& entry = found->second;
    if (entry.hasSucceeded)
        return false;
    if (entry.failedOn.size() < parameters_.failingJobWorkers)
        entry.failedOn.insert(worker);
    return entry.failedOn.size() >= parameters_.failingJobWorkers;
}

bool WorkerQuarantine::onFailure(WorkerIndex worker, std::string_view job, Utils::TimePoint now)
{
    const bool isJobsFault = isAtFault(job, worker);
    Worker& entry = workers_[worker];
    if (entry.isAside) {
        if (!entry.isProbing)
            return true;
        entry.isProbing = false;
        entry.delay = std::min(entry.delay * 2, parameters_.greatestProbe);
        entry.probeAt = now + entry.delay;
        return true;
    }
    if (isJobsFault)
        return false;
    ++entry.failures;
    if (entry.failures < parameters_.failures)
        return false;
    const auto bound
        = static_cast<std::size_t>(static_cast<double>(workerCount_) * parameters_.greatestShare);
    if (asideCount() >= std::max<std::size_t>(bound, 1))
        return false;
    entry.isAside = true;
    aside_.insert(worker);
    entry.delay = parameters_.firstProbe;
    entry.probeAt = now + entry.delay;
    return true;
}

void WorkerQuarantine::onSuccess(WorkerIndex worker, std::string_view job)
{
    forget(worker);
    const auto found = jobs_.find(job);
    if (found == jobs_.end())
        return;
    found->second.hasSucceeded = true;
    found->second.failedOn.clear();
}

void WorkerQuarantine::forget(WorkerIndex worker)
{
    workers_.erase(worker);
    aside_.erase(worker);
}

void WorkerQuarantine::forgetJob(std::string_view job)
{
    const auto found = jobs_.find(job);
    if (found != jobs_.end())
        jobs_.erase(found);
}

bool WorkerQuarantine::isAside(WorkerIndex worker) const
{
    return aside_.contains(worker);
}

std::vector<WorkerIndex> WorkerQuarantine::dueProbes(Utils::TimePoint now) const
{
    std::vector<WorkerIndex> due;
    for (const WorkerIndex worker : aside_) {
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

} // namespace Placement
