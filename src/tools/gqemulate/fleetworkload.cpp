#include "fleetworkload.h"

#include "deadlytask.h"

#include <array>

namespace Emulate {

FleetSchema::JobSpec FleetWorkload::makeEmptyJob()
{
    FleetSchema::JobSpec spec;
    spec.set_id("j" + std::to_string(nextNumber_++));
    spec.set_service("service");
    spec.set_occurrences(1);
    spec.set_max_failures(static_cast<std::uint32_t>(2 + time_.random(hasHopelessTasks_ ? 7 : 3)));
    spec.set_slack_factor(2);
    spec.set_target_ms(500);
    spec.set_priority(static_cast<std::int32_t>(time_.random(3)));
    return spec;
}

FleetSchema::JobSpec FleetWorkload::makeLongRunningJob()
{
    constexpr std::array<std::int64_t, 6> sizes { 500, 1000, 1500, 3000, 5000, 8000 };
    FleetSchema::JobSpec spec = makeEmptyJob();
    addLongRunningStep(spec);
    FleetSchema::StepSpec& step = *spec.mutable_steps(0);
    // Few steps request the same, so that a search says nothing about other steps.
    step.set_milli_processors(
        sizes[static_cast<std::size_t>(time_.random(sizes.size()))] + 10 * time_.random(50));
    step.set_memory_mb(step.milli_processors() * (1 + time_.random(4)));
    specs_[spec.id()] = spec;
    return spec;
}

FleetSchema::JobSpec FleetWorkload::makeJob()
{
    FleetSchema::JobSpec spec = makeEmptyJob();
    const std::int64_t kind = time_.random(20);
    if (kind < longRunningShare_)
        addLongRunningStep(spec);
    else if (kind < longRunningShare_ + bestEffortShare_)
        addBestEffortStep(spec);
    else
        addSteps(spec);
    specs_[spec.id()] = spec;
    return spec;
}

void FleetWorkload::addLongRunningStep(FleetSchema::JobSpec& spec)
{
    FleetSchema::StepSpec& step = *spec.add_steps();
    step.set_lasting(true);
    step.set_count(static_cast<std::uint32_t>(1 + time_.random(5)));
    step.set_milli_processors(500 + time_.random(3000));
    step.set_memory_mb(500 + time_.random(3000));
    step.set_checkpointed(time_.happens(50));
    if (time_.happens(50)) {
        step.set_image("critical" + std::to_string(time_.random(2)));
        step.set_tail_target_ms(30);
    }
    if (time_.happens(25))
        step.set_max_per_worker(1);
    if (time_.happens(30)) {
        step.set_has_disruption_budget(true);
        step.set_disruption_budget(1);
    }
}

void FleetWorkload::addBestEffortStep(FleetSchema::JobSpec& spec)
{
    FleetSchema::StepSpec& step = *spec.add_steps();
    step.set_leftover_processors(true);
    step.set_image("filler" + std::to_string(time_.random(3)));
    step.set_count(
        static_cast<std::uint32_t>(time_.happens(30) ? 17 + time_.random(8) : 1 + time_.random(6)));
    step.set_milli_processors(500 + time_.random(3500));
    step.set_memory_mb(500 + time_.random(2000));
    step.set_estimate_ms(static_cast<std::uint32_t>(500 + time_.random(3000)));
    step.set_checkpointed(time_.happens(50));
}

void FleetWorkload::addSteps(FleetSchema::JobSpec& spec)
{
    const std::int64_t steps = 1 + time_.random(3);
    for (std::int64_t number = 0; number < steps; ++number) {
        FleetSchema::StepSpec& step = *spec.add_steps();
        step.set_count(
            static_cast<std::uint32_t>(time_.happens(12) ? 17 + time_.random(12) : 1 + time_.random(5)));
        step.set_milli_processors(500 + time_.random(4000));
        step.set_memory_mb(500 + time_.random(6000));
        step.set_estimate_ms(static_cast<std::uint32_t>(200 + time_.random(1500)));
        step.set_checkpointed(time_.happens(50));
        step.set_gang(step.count() > 1 && step.count() < 6 && time_.happens(20));
        if (step.count() < 8 && time_.happens(25))
            step.set_max_per_worker(static_cast<std::uint32_t>(1 + time_.random(2)));
        if (number > 0)
            step.add_after(static_cast<std::uint32_t>(number - 1));
    }
}

TaskBehavior FleetWorkload::behavior(const Ports::TaskKey& task) const
{
    const FleetSchema::StepSpec& step = spec(task.job).steps(static_cast<int>(task.step));
    TaskBehavior behavior;
    behavior.milliProcessors = step.milli_processors();
    behavior.memoryMb = step.memory_mb();
    behavior.runTimeMs = step.lasting() ? 0 : step.estimate_ms();
    behavior.isBestEffort = step.leftover_processors();
    // The number at the end of an image's name gives how much its tasks disturb others or how loaded they
    // are.
    const int level = step.image().empty() ? 0 : step.image().back() - '0';
    if (behavior.isBestEffort)
        behavior.pressure = 0.2 + 0.6 * level;
    if (behavior.tailTargetMs > 0)
        behavior.meanUtilization = 0.35 + 0.15 * level;
    behavior.gangSize = step.gang() ? step.count() : 0;
    behavior.tailTargetMs = step.tail_target_ms();
    // Some tasks always fail.
    const std::size_t tasksPerAlwaysFailing = hasHopelessTasks_ ? 40 : 120;
    behavior.alwaysFails = !step.lasting()
        && std::hash<std::string> {}(task.job + std::to_string(task.index)) % tasksPerAlwaysFailing == 0;
    constexpr std::size_t jobsPerDeadlyTask = 40;
    behavior.crashesWorker = hasDeadlyTasks_ && isDeadlyTask(task, spec(task.job), jobsPerDeadlyTask);
    return behavior;
}

} // namespace Emulate
