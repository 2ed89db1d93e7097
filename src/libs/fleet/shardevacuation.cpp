// Evacuation of ShardScheduler: the shard's failure domain gets no new attempts, and its tasks move to
// others.

#include "shardscheduler.h"

#include <utility>

namespace Fleet {

void ShardScheduler::setEvacuated(bool isEvacuated)
{
    if (!evacuation_.set(isEvacuated))
        return;
    // Waiting tasks are to be delegated, or may be assigned again.
    isScheduleDue_ = true;
    isCapacityFreed_ = isCapacityFreed_ || !isEvacuated;
}

// The stopped task waits for no worker here, and is delegated to the shard that has room.
void ShardScheduler::moveFromEvacuatedDomain(Utils::TimePoint now)
{
    if (!evacuation_.isRequested())
        return;
    std::vector<Worker*> workers;
    for (const auto& [id, worker] : workers_)
        workers.push_back(worker.get());
    StepBudget steps(options_.relocationStepLimit);
    Task* const task = evacuation_.chooseTaskToMove(
        workers, options_.availabilityDelay,
        [this](
            const Task& candidate) { return output_.hasShardWithRoom(candidate.job->spec, candidate.step); },
        now, steps);
    steps_->spend(StepKind::Relocation, steps.spent());
    if (task)
        requestStop(*task, now);
}

std::size_t ShardScheduler::countOpenAttempts() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : workers_)
        count += worker->tasks.size();
    return count;
}

} // namespace Fleet
