#include "job.h"

#include "worker.h"

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

FleetSchema::TaskState storedState(const Task& task)
{
    if (task.phase == TaskPhase::Done)
        return FleetSchema::TASK_DONE;
    if (task.phase == TaskPhase::Delegated)
        return FleetSchema::TASK_LENT;
    if (task.phase == TaskPhase::AtOrigin)
        return FleetSchema::TASK_FOREIGN;
    if (task.phase == TaskPhase::Resolved)
        return FleetSchema::TASK_RESOLVED;
    return task.isOpen() ? FleetSchema::TASK_ASSIGNED : FleetSchema::TASK_WAITING;
}

} // namespace

Task* Job::findTask(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index)
{
    if (occurrence >= occurrences() || step >= stepOffsets.size()
        || index >= spec.steps(static_cast<int>(step)).count()) {
        return nullptr;
    }
    return &tasks[occurrence * tasksPerOccurrence + stepOffsets[step] + index];
}

bool Job::isHandedBack() const
{
    return isHosted() && std::all_of(tasks.begin(), tasks.end(), [](const Task& task) {
        return task.phase == TaskPhase::AtOrigin;
    });
}

void Job::markPredecessorsDone(std::uint32_t occurrence, std::uint32_t step)
{
    std::vector<std::uint32_t> unvisited { step };
    while (!unvisited.empty()) {
        const std::uint32_t visited = unvisited.back();
        unvisited.pop_back();
        StepProgress& progress = progressOf(occurrence, visited);
        if (progress.arePredecessorsMarked)
            continue;
        progress.arePredecessorsMarked = true;
        for (const std::uint32_t predecessor : spec.steps(static_cast<int>(visited)).after()) {
            progressOf(occurrence, predecessor).remainingTasks = 0;
            if (!progressOf(occurrence, predecessor).arePredecessorsMarked)
                unvisited.push_back(predecessor);
        }
    }
    criticalPathsMs[occurrence] = -1;
}

void Job::countDoneTask(std::uint32_t occurrence, std::uint32_t step)
{
    if (--progressOf(occurrence, step).remainingTasks == 0)
        criticalPathsMs[occurrence] = -1;
}

bool Job::isStepReady(std::uint32_t occurrence, std::uint32_t step, std::int64_t nowUnixMs)
{
    const std::int64_t due = dueUnixMs(occurrence);
    if (due > nowUnixMs)
        return false;
    // A step that is done stays so, so each predecessor is examined once.
    const auto& after = spec.steps(static_cast<int>(step)).after();
    std::uint32_t& done = progressOf(occurrence, step).donePredecessors;
    const auto count = static_cast<std::uint32_t>(after.size());
    while (done < count && remainingTasks(occurrence, after[static_cast<int>(done)]) == 0)
        ++done;
    return done == count;
}

std::int64_t Job::dueUnixMs(std::uint32_t occurrence) const
{
    return spec.first_start_unix_ms() + static_cast<std::int64_t>(occurrence) * spec.period_ms();
}

std::int64_t Job::remainingCriticalPathMs(std::uint32_t occurrence)
{
    std::int64_t& known = criticalPathsMs[occurrence];
    if (known >= 0)
        return known;
    std::vector<std::int64_t> ends(stepOffsets.size());
    std::int64_t longest = 0;
    for (std::uint32_t step = 0; step < stepOffsets.size(); ++step) {
        const FleetSchema::StepSpec& stepSpec = spec.steps(static_cast<int>(step));
        for (const std::uint32_t predecessor : stepSpec.after())
            ends[step] = std::max(ends[step], ends[predecessor]);
        if (remainingTasks(occurrence, step) > 0)
            ends[step] += stepSpec.estimate_ms();
        longest = std::max(longest, ends[step]);
    }
    known = longest;
    return longest;
}

std::int64_t objectiveMs(const Job& job)
{
    const double slack = std::max(1.0, job.spec.slack_factor());
    return std::llround(slack * static_cast<double>(job.longestChainMs)) + job.spec.target_ms();
}

void initializeJob(FleetSchema::JobSpec spec, Job& job)
{
    job.spec = std::move(spec);
    for (const FleetSchema::StepSpec& step : job.spec.steps()) {
        job.stepOffsets.push_back(job.tasksPerOccurrence);
        job.tasksPerOccurrence += step.count();
    }
    job.tasks.resize(static_cast<std::size_t>(job.tasksPerOccurrence) * job.occurrences());
    job.remainingTaskCount = static_cast<std::uint32_t>(job.tasks.size());
    std::size_t position = 0;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.stepOffsets.size(); ++step) {
            const std::uint32_t count = job.spec.steps(static_cast<int>(step)).count();
            job.stepProgress.push_back({ count });
            for (std::uint32_t index = 0; index < count; ++index) {
                Task& task = job.tasks[position++];
                task.job = &job;
                task.occurrence = occurrence;
                task.step = step;
                task.index = index;
            }
        }
    }
    job.sweepProgress.resize(job.occurrences());
    job.repeatedVisits.resize(job.occurrences());
    job.criticalPathsMs.assign(job.occurrences(), -1);
    // No task is done yet.
    job.longestChainMs = job.remainingCriticalPathMs(0);
}

void removeRepeatedPredecessors(FleetSchema::JobSpec& spec)
{
    for (FleetSchema::StepSpec& step : *spec.mutable_steps()) {
        auto& after = *step.mutable_after();
        std::sort(after.begin(), after.end());
        after.erase(std::unique(after.begin(), after.end()), after.end());
    }
}

namespace {

// A single step without content makes the specification valid.
FleetSchema::JobSpec reducedSpec(const FleetSchema::JobSpec& spec)
{
    FleetSchema::JobSpec reduced;
    reduced.set_id(spec.id());
    reduced.set_queue(spec.queue());
    reduced.set_service(spec.service());
    reduced.set_accepted_unix_ms(spec.accepted_unix_ms());
    reduced.add_steps()->set_count(1);
    return reduced;
}

} // namespace

void addPresumedCrashes(
    const Task& task, google::protobuf::RepeatedPtrField<FleetSchema::PresumedWorkerCrash>& crashes)
{
    for (const PresumedCrash& crash : task.presumedCrashes) {
        FleetSchema::PresumedWorkerCrash& presumed = *crashes.Add();
        presumed.set_worker(crash.worker);
        presumed.set_worker_born(crash.workerBornMs);
    }
}

FleetSchema::JobRecord toRecord(const Job& job)
{
    FleetSchema::JobRecord record;
    *record.mutable_spec() = job.isReduced ? reducedSpec(job.spec) : job.spec;
    record.set_state(job.state);
    record.set_started(job.hasBegun);
    record.set_ended_unix_ms(job.endedUnixMs);
    record.set_origin_shard(job.originShard);
    if (job.isReduced)
        return record;
    for (const Task& task : job.tasks) {
        FleetSchema::TaskRecord& stored = *record.add_tasks();
        stored.set_state(storedState(task));
        stored.set_attempt(task.attempt);
        stored.set_failures(task.failures);
        stored.set_crashes(task.provedCrashes());
        stored.set_unanswered_crashes(task.unansweredCrashes);
        addPresumedCrashes(task, *stored.mutable_presumed_crashes());
        if (task.phase == TaskPhase::Delegated)
            stored.set_lent_to(task.hostShard);
        stored.set_transfer(task.transferNumber);
        stored.set_result(task.result);
        if (task.phase != TaskPhase::Done)
            stored.set_checkpoint(task.checkpoint);
        if (task.worker) {
            stored.set_worker(task.worker->info.id);
            stored.set_worker_born(task.workerBornMs);
            stored.set_confirmed(task.isConfirmed && job.step(task).lasting());
            stored.set_worker_address(task.worker->info.address);
        }
    }
    return record;
}

std::string validateJobSpec(const FleetSchema::JobSpec& spec)
{
    if (spec.steps_size() == 0)
        return "a job needs at least one step";
    std::uint64_t taskCount = 0;
    for (int step = 0; step < spec.steps_size(); ++step) {
        const FleetSchema::StepSpec& stepSpec = spec.steps(step);
        if (stepSpec.count() == 0)
            return "a step needs at least one task";
        if (stepSpec.milli_processors() < 0 || stepSpec.memory_mb() < 0 || stepSpec.accelerators() < 0)
            return "a task's size must not be negative";
        for (const std::uint32_t predecessor : stepSpec.after()) {
            if (predecessor >= static_cast<std::uint32_t>(step))
                return "a step can only follow earlier steps";
        }
        taskCount += stepSpec.count();
    }
    if (taskCount * std::max<std::uint64_t>(1, spec.occurrences()) > maxTasksPerJob)
        return "a job has at most " + std::to_string(maxTasksPerJob) + " tasks";
    return {};
}

} // namespace Fleet
