#include "deadlytask.h"

#include <functional>
#include <string>

namespace Emulate {

bool isDeadlyTask(const Ports::TaskKey& task, const FleetSchema::JobSpec& spec, std::size_t jobsPerDeadlyTask)
{
    std::size_t draw = std::hash<std::string> {}("deadly " + task.job);
    if (draw % jobsPerDeadlyTask != 0)
        return false;
    draw /= jobsPerDeadlyTask;
    const auto steps = static_cast<std::size_t>(spec.steps_size());
    const std::size_t step = draw % steps;
    draw /= steps;
    return task.step == step && task.index == draw % spec.steps(static_cast<int>(step)).count();
}

} // namespace Emulate
