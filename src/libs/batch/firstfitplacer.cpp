#include "firstfitplacer.h"

#include "capacityreservations.h"

namespace Batch {

std::vector<PlacementDecision> FirstFitPlacer::place(std::span<const PendingTask> tasks,
    std::span<const AvailableWorker> workers, std::span<const RunningTask> running, Utils::TimePoint now)
{
    (void)running;
    (void)now;
    std::vector<Schema::TaskSize> freeCapacities;
    for (const AvailableWorker& worker : workers)
        freeCapacities.push_back(worker.free);
    std::vector<PlacementDecision> decisions;
    for (std::size_t task = 0; task < tasks.size(); ++task) {
        const Schema::TaskSize& size = tasks[task].spec->size();
        for (std::size_t worker = 0; worker < freeCapacities.size(); ++worker) {
            if (!sizeFits(freeCapacities[worker], size))
                continue;
            subtractSize(freeCapacities[worker], size);
            decisions.push_back({ task, worker });
            break;
        }
    }
    return decisions;
}

} // namespace Batch
