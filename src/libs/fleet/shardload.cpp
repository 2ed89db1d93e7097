// Load of ShardScheduler: its best-effort demand and the load reported to other nodes.

#include "shardscheduler.h"

#include "workerchoice.h"
#include "workercommitment.h"

#include <algorithm>

namespace Fleet {

void ShardScheduler::updateDemand()
{
    demand_.clear();
    for (const auto& [id, job] : jobs_) {
        if (!job->isActive())
            continue;
        steps_->spend(StepKind::Preparation, job->tasks.size());
        for (const Task& task : job->tasks) {
            const FleetSchema::StepSpec& step = job->step(task);
            if (step.leftover_processors() && (task.isOpen() || task.phase == TaskPhase::Waiting))
                demand_.add(step.image(), step.milli_processors());
        }
    }
    demand_.computeShares();
}

FleetSchema::ShardLoad ShardScheduler::load(Utils::TimePoint now) const
{
    FleetSchema::ShardLoad load;
    load.set_shard(options_.shard);
    load.set_reports_results(true);
    load.set_hosts_gang_parts(true);
    *load.mutable_worker_kinds() = workerKinds_.worker_kinds();
    beginCall(workers_.size() + jobs_.size());
    for (const auto& [id, worker] : workers_) {
        // A quarantined worker counts while it may be probed: if all were left out, no job would be accepted
        // that could be the probe.
        const bool isOpen = worker->quarantineTime == Utils::Duration::zero() || isProbeDue(*worker, now);
        if (worker->isUsable() && isOpen && !evacuation_.isRequested()) {
            load.set_capacity(load.capacity() + worker->info.milliProcessors);
            load.set_largest_worker(std::max(load.largest_worker(), worker->info.milliProcessors));
            load.set_lasting_room(std::max(load.lasting_room(),
                capacityBesideLongRunningTasks(*worker).milliProcessors - worker->reservedMilliProcessors));
            load.set_service(worker->info.service);
            if (worker->criticalTaskCount > 0)
                load.set_serving(load.serving() + worker->criticalMilliProcessors);
        }
        load.set_committed(load.committed() + worker->committed.milliProcessors);
        load.set_filling(load.filling() + worker->bestEffortMilliProcessors);
    }
    for (const auto& [id, job] : jobs_) {
        if (!job->isActive())
            continue;
        callSteps_.spend(StepKind::Calls, job->tasks.size());
        if (job->isCommitted && !job->hasBegun && job->dueUnixMs(0) == 0)
            ++(*load.mutable_pending())[job->spec.queue()];
        for (const Task& task : job->tasks) {
            const FleetSchema::StepSpec& step = job->step(task);
            const std::int64_t size = step.milli_processors();
            if (step.lasting() && (task.isOpen() || task.phase == TaskPhase::Waiting))
                load.set_lasting(load.lasting() + size);
            if (task.phase != TaskPhase::Waiting)
                continue;
            if (step.lasting())
                load.set_committed(load.committed() + size);
            else if (step.leftover_processors())
                load.set_waiting_filling(load.waiting_filling() + size * step.estimate_ms());
            else
                load.set_waiting_work(load.waiting_work() + size * step.estimate_ms());
        }
    }
    return load;
}

} // namespace Fleet
