#include "firstfitplacer.h"

#include "commitments.h"

namespace Batch {

std::vector<Choice> FirstFitPlacer::place(std::span<const PendingTask> tasks,
    std::span<const WorkerRoom> workers, std::span<const RunningTask> running, Utils::TimePoint now)
{
    (void)running;
    (void)now;
    std::vector<Schema::TaskSize> rooms;
    for (const WorkerRoom& worker : workers)
        rooms.push_back(worker.free);
    std::vector<Choice> choices;
    for (std::size_t task = 0; task < tasks.size(); ++task) {
        const Schema::TaskSize& size = tasks[task].spec->size();
        for (std::size_t worker = 0; worker < rooms.size(); ++worker) {
            if (!sizeFits(rooms[worker], size))
                continue;
            takeSize(rooms[worker], size);
            choices.push_back({ task, worker });
            break;
        }
    }
    return choices;
}

} // namespace Batch
