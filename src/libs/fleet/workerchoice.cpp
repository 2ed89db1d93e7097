#include "workerchoice.h"

#include "crashpolicy.h"
#include "interference.h"
#include "interferencecache.h"
#include "interferenceview.h"
#include "job.h"
#include "taskgrouping.h"
#include "worker.h"
#include "workercommitment.h"

#include <algorithm>

namespace Fleet {

namespace {

// Weights of the cost terms, in units of a whole worker. A dissimilar colocated task outweighs any
// difference in free capacity.
constexpr double sensitivityDistanceWeight = 6.0;
constexpr double headroomWeight = 2.0;
// Tasks prefer workers where few other tasks may run, and latency-critical tasks avoid workers without
// latency-critical tasks while there is best-effort demand. Both weigh less than an unknown colocated image.
constexpr double toleratedDemandWeight = 1.0;
constexpr double noncriticalWorkerWeight = 1.5;
// A task that adds this much utilization uses up the remaining headroom of a latency-critical task.
constexpr double saturatingUtilization = 0.1;
constexpr double sameStepWeight = 0.05;
constexpr double slownessWeight = 1.0;
constexpr double retryOnSameWorkerWeight = 10.0;
// A task that has failed probes a quarantined worker only if no other one fits.
constexpr double quarantinedWorkerWeight = 200.0;
// A task under which workers have crashed avoids the last of them, and from crashesToIsolation on other
// tasks.
constexpr double suspectColocationWeight = 20.0;
constexpr double crashedWorkerWeight = 2000.0;

// A task that interferes with every latency-critical task in reach waits this long for a worker that allows
// full speed. Then, if no other task of its job is at work, it starts throttled to the speed that the
// latency-critical tasks tolerate.
constexpr std::chrono::milliseconds fullSpeedWaitLimit { 5000 };
constexpr double starvedSpeed = 0.25;
// After this time, such a task may also start on a worker whose latency-critical tasks are over their target.
// It is throttled to zero there until they are not.
constexpr std::chrono::milliseconds throttledWaitLimit { 8000 };
// If less than this share of the processors is requested, there is no reason to wait that long, and the task
// waits only for idleFleetWaitLimit.
constexpr double idleDemandShare = 0.5;
constexpr std::chrono::milliseconds idleFleetWaitLimit { 1200 };
// A job must not go without a run for 3 s where less than half of the processors is committed. Best-effort
// tasks commit none. This leaves a second to find a worker, store the attempt and start it.
constexpr std::chrono::milliseconds starvedWaitLimit { 2000 };
// Reported tail latencies are those of the last half second.
constexpr std::chrono::milliseconds settlingTime { 600 };
// A task that has failed is a poor probe of a worker, so it waits this long for other workers. Where all of
// them are quarantined and no other task waits, it is the only probe.
constexpr std::chrono::milliseconds probeDelayOfFailedTask { 2200 };
// Others need not wait for the end of a probe, which may take long or be throttled to zero.
constexpr std::chrono::milliseconds probeInterval { 500 };

// A task that has waited for longer takes a worker that bears what best-effort tasks add there on average,
// not also its variation.
constexpr std::chrono::milliseconds variationWaitLimit { 600 };

enum class BestEffortDemand { Counts, IsIgnored };

bool isMostlyIdle(std::span<Worker* const> workers, BestEffortDemand bestEffortDemand)
{
    std::int64_t capacity = 0;
    std::int64_t requested = 0; // Latency-critical tasks count by their assumed use, others by their request.
    for (const Worker* worker : workers) {
        if (!worker->isUsable())
            continue;
        capacity += worker->info.milliProcessors;
        requested += worker->info.milliProcessors - worker->unusedMilliProcessors();
        if (bestEffortDemand == BestEffortDemand::IsIgnored)
            requested -= worker->bestEffortMilliProcessors;
    }
    return static_cast<double>(requested) < idleDemandShare * static_cast<double>(capacity);
}

// Returns how long a task that found no worker has been without a run, also in other shards.
Utils::Duration waitOf(const Task& task, Utils::TimePoint now)
{
    if (task.waitingSince == Utils::TimePoint {})
        return {};
    const bool isIdleLonger = task.idleSince != Utils::TimePoint {} && task.idleSince < task.waitingSince;
    return now - (isIdleLonger ? task.idleSince : task.waitingSince);
}

// Whether the task runs or is about to. One on a worker that does not answer may have been lost with it.
bool isAtWork(const Task& task)
{
    return task.isOpen() && task.phase != TaskPhase::Unverified && task.worker->isResponsive;
}

// Whether the task may start throttled because nothing of its job has run for long.
bool mayStartThrottled(const Task& task, std::span<Worker* const> workers, Utils::TimePoint now)
{
    const Utils::Duration wait = waitOf(task, now);
    if (!task.job->step(task).leftover_processors() || wait < idleFleetWaitLimit)
        return false;
    const std::vector<Task>& tasks = task.job->tasks;
    if (std::any_of(tasks.begin(), tasks.end(), isAtWork))
        return false;
    return wait >= fullSpeedWaitLimit || isMostlyIdle(workers, BestEffortDemand::Counts)
        || (wait >= starvedWaitLimit && isMostlyIdle(workers, BestEffortDemand::IsIgnored));
}

} // namespace

SearchTerms searchTermsOf(
    const Task& task, std::span<Worker* const> workers, Utils::TimePoint now, StepBudget* steps)
{
    const Utils::Duration wait = waitOf(task, now);
    SearchTerms terms;
    terms.mayProbe = task.failures == 0 || wait >= probeDelayOfFailedTask;
    const bool isVariationKnown = !workers.empty() && workers.front()->isOwnUtilizationKnown;
    if (isVariationKnown && task.job->step(task).leftover_processors() && wait < variationWaitLimit)
        terms.variation = pressureVariation;
    const bool mayHaveWaited = task.job->step(task).leftover_processors() && wait >= idleFleetWaitLimit;
    if (steps && mayHaveWaited)
        steps->spend(StepKind::Search, task.job->tasks.size() + 2 * workers.size());
    if (!mayHaveWaited || !mayStartThrottled(task, workers, now))
        return terms;
    const bool isIdle = isMostlyIdle(workers, BestEffortDemand::IsIgnored);
    terms.speed = isIdle || wait >= throttledWaitLimit ? 0 : starvedSpeed;
    terms.mayStartThrottledToZero = wait >= (isIdle ? starvedWaitLimit : throttledWaitLimit);
    return terms;
}

namespace {

bool hasLabel(const Worker& worker, const std::string& label)
{
    return label.empty()
        || std::find(worker.info.labels.begin(), worker.info.labels.end(), label) != worker.info.labels.end();
}

std::uint32_t countTasksOfStep(const Task& task, const Worker& worker)
{
    return static_cast<std::uint32_t>(
        std::count_if(worker.tasks.begin(), worker.tasks.end(), [&](const Task* other) {
            return other->job == task.job && other->step == task.step && other->occurrence == task.occurrence;
        }));
}

double headroomFor(const FleetSchema::StepSpec& step, const Worker& worker, const InterferenceView& view,
    double speed = 1, double variation = 0)
{
    return view.cache ? view.cache->headroomAfterAdding(worker, step, speed, variation)
                      : headroomAfterAdding(worker, step, view.model, speed, variation);
}

double utilizationAddedBy(
    const FleetSchema::StepSpec& step, const Worker& worker, const InterferenceView& view)
{
    return view.cache ? view.cache->maxAddedUtilization(worker, step)
                      : maxAddedUtilization(worker, step, view.model);
}

std::int64_t throttledMilliProcessors(const Worker& worker)
{
    std::int64_t throttled = 0;
    for (const Task* task : worker.tasks) {
        const FleetSchema::StepSpec& step = task->job->step(*task);
        if (step.leftover_processors())
            throttled += step.milli_processors() * (100 - task->speedPercent) / 100;
    }
    return throttled;
}

// Tasks that are throttled now need their processors later, so only a starved task may use them.
std::int64_t processorsFor(const Worker& worker, const SearchTerms& terms)
{
    return worker.unusedMilliProcessors() + (terms.speed < 1 ? throttledMilliProcessors(worker) : 0);
}

bool hasTaskOverTarget(const Worker& worker, Utils::TimePoint now)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(),
        [now](const Task* task) { return isPersistentlyOverTarget(*task, now); });
}

// Returns whether the tasks over their target have stayed there although nothing beside them has been at work
// for settlingTime.
bool isOverTargetByItself(const Worker& worker, Utils::TimePoint now)
{
    return std::all_of(worker.tasks.begin(), worker.tasks.end(), [now](const Task* task) {
        if (task->job->step(*task).leftover_processors())
            return task->speedPercent == 0 && now - task->throttledSince >= settlingTime;
        return !isPersistentlyOverTarget(*task, now) || isPersistentlyOverTarget(*task, now - settlingTime);
    });
}

// Best-effort tasks commit no processors, so whether one fits depends on what the others use.
PlacementObstacle obstacleToBestEffort(const Task& task, const Worker& worker, const InterferenceView& view,
    const SearchTerms& terms, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    // A task larger than its worker would wait forever, so a worker without best-effort tasks accepts it.
    if (worker.bestEffortMilliProcessors > 0 && step.milli_processors() > processorsFor(worker, terms))
        return PlacementObstacle::Full;
    if (headroomFor(step, worker, view, terms.speed, terms.variation) < 0)
        return PlacementObstacle::Interference;
    if (!hasTaskOverTarget(worker, now))
        return PlacementObstacle::None;
    // A task started on such a worker interferes until it is throttled, and so would each task started after
    // it. One that has waited for long may start once it is certain that the others there are not the cause.
    const bool canBeThrottled = terms.speed == 0 && terms.mayStartThrottledToZero;
    return canBeThrottled && isOverTargetByItself(worker, now) ? PlacementObstacle::None
                                                               : PlacementObstacle::Interference;
}

// The members of a gang start together or not at all, so they are one probe.
bool areOfOneGang(const Task& task, const Task& other)
{
    return task.job == other.job && task.occurrence == other.occurrence && task.step == other.step
        && task.job->step(task).gang();
}

// Tasks that have run for some time, and long-running ones at work, show nothing about new ones.
bool isBeingProbed(const Worker& worker, const Task* probe, Utils::TimePoint now)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const Task* task) {
        if (probe && areOfOneGang(*probe, *task))
            return false;
        if (task->phase == TaskPhase::Recorded || task->phase == TaskPhase::Sent)
            return true;
        const bool isAtWork = task->job->step(*task).lasting() && task->phase == TaskPhase::Running
            && task->progressPercent >= 100;
        const bool isStartKnown = task->startedAt != Utils::TimePoint {};
        return !isAtWork && !(isStartKnown && now - task->startedAt >= probeInterval);
    });
}

} // namespace

bool isProbeDue(const Worker& worker, Utils::TimePoint now, const Task* probe)
{
    return now >= worker.quarantinedUntil && !isBeingProbed(worker, probe, now);
}

namespace {

PlacementObstacle findObstacle(const Task& task, const Worker& worker, const InterferenceView& view,
    const SearchTerms& terms, Utils::TimePoint now)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    if (!worker.isUsable())
        return PlacementObstacle::Unusable;
    if (worker.info.service != task.job->spec.service() || !hasLabel(worker, step.required_label()))
        return PlacementObstacle::Ineligible;
    if (isKeptApart(task, worker))
        return PlacementObstacle::Isolated;
    if (worker.isKeptEmpty && isolationOf(task) < fullIsolation)
        return PlacementObstacle::Reserved;
    if (!committedSize(step).fitsIn(worker.available())) {
        return committedSize(step).fitsIn(worker.capacity()) ? PlacementObstacle::Full
                                                             : PlacementObstacle::TooSmall;
    }
    if (!step.lasting() && !step.leftover_processors()
        && step.milli_processors() > worker.available().milliProcessors - worker.reservedMilliProcessors) {
        return PlacementObstacle::Reserved;
    }
    if (step.leftover_processors()) {
        const PlacementObstacle obstacle = obstacleToBestEffort(task, worker, view, terms, now);
        if (obstacle != PlacementObstacle::None)
            return obstacle;
    }
    if (worker.quarantineTime != Utils::Duration::zero()
        && !(terms.mayProbe && isProbeDue(worker, now, &task)))
        return PlacementObstacle::Quarantined;
    if (step.max_per_worker() > 0 && countTasksOfStep(task, worker) >= step.max_per_worker())
        return PlacementObstacle::SpreadLimit;
    return PlacementObstacle::None;
}

double costOf(
    const Task& task, const Worker& worker, std::uint32_t sameStepCount, const InterferenceView& view)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, worker.info.milliProcessors));
    double cost = slownessWeight * std::max(0.0, worker.slowness - 1) + sameStepWeight * sameStepCount
        - static_cast<double>(worker.unusedMilliProcessors()) / capacity;
    if (worker.info.id == task.avoidedWorker)
        cost += retryOnSameWorkerWeight;
    if (task.failures > 0 && worker.quarantineTime != Utils::Duration::zero())
        cost += quarantinedWorkerWeight;
    if (isSuspect(task)) {
        const bool hasCrashed
            = worker.info.id == task.avoidedWorker || worker.info.address == task.crashedAddress;
        if (hasCrashed)
            cost += crashedWorkerWeight;
        if (task.suspectedCrashes() >= crashesToIsolation)
            cost += suspectColocationWeight * static_cast<double>(worker.tasks.size());
    }
    if (step.tail_target_ms() > 0) {
        const double unused = static_cast<double>(worker.unusedMilliProcessors()) / capacity;
        const double noncriticalCost
            = worker.criticalTaskCount == 0 && !view.demand.empty() ? noncriticalWorkerWeight : 0;
        return cost + 2 * unused + noncriticalCost
            + sensitivityDistanceWeight * meanSensitivityDistance(task, worker, view);
    }
    if (step.lasting())
        return cost;
    cost += toleratedDemandWeight * worker.toleratedDemand;
    if (!step.leftover_processors())
        return cost;
    const double saturation = std::min(1.0, utilizationAddedBy(step, worker, view) / saturatingUtilization);
    return cost + headroomWeight * saturation * (1 - headroomFor(step, worker, view));
}

} // namespace

std::optional<double> placementCost(const Task& task, const Worker& worker, const InterferenceView& view,
    const SearchTerms& terms, Utils::TimePoint now)
{
    view.spend(1);
    // In a full shard, few workers need a closer look.
    if (!committedSize(task.job->step(task)).fitsIn(worker.available()))
        return std::nullopt;
    view.spend(worker.tasks.size());
    if (findObstacle(task, worker, view, terms, now) != PlacementObstacle::None)
        return std::nullopt;
    return costOf(task, worker, countTasksOfStep(task, worker), view);
}

Worker* chooseWorker(
    const Task& task, std::span<Worker* const> workers, const InterferenceView& view, Utils::TimePoint now)
{
    const SearchTerms terms = searchTermsOf(task, workers, now, view.steps);
    Worker* best = nullptr;
    std::optional<double> bestCost;
    for (Worker* worker : workers) {
        const std::optional<double> cost = placementCost(task, *worker, view, terms, now);
        if (cost && (!bestCost || *cost < *bestCost)) {
            best = worker;
            bestCost = cost;
        }
    }
    return best;
}

bool fitsElsewhere(
    const Task& task, std::span<Worker* const> workers, const InterferenceView& view, Utils::TimePoint now)
{
    const SearchTerms terms = searchTermsOf(task, workers, now, view.steps);
    return std::any_of(workers.begin(), workers.end(), [&](const Worker* worker) {
        return worker != task.worker && placementCost(task, *worker, view, terms, now).has_value();
    });
}

std::array<std::size_t, placementObstacleCount> countObstacles(
    const Task& task, std::span<Worker* const> workers, const InterferenceView& view, Utils::TimePoint now)
{
    std::array<std::size_t, placementObstacleCount> counts {};
    const SearchTerms terms = searchTermsOf(task, workers, now);
    for (const Worker* worker : workers) {
        view.spend(1 + worker->tasks.size());
        ++counts[static_cast<std::size_t>(findObstacle(task, *worker, view, terms, now))];
    }
    return counts;
}

std::string_view nameOf(PlacementObstacle obstacle)
{
    static constexpr std::string_view names[placementObstacleCount] = { "none", "unusable", "ineligible",
        "too-small", "full", "reserved", "interference", "quarantined", "spread-limit", "isolated" };
    return names[static_cast<std::size_t>(obstacle)];
}

namespace {

// Returns the worker with the most room beside long-running tasks; null if the task fits on none.
Worker* chooseWorkerToReserve(
    const Task& task, std::span<Worker* const> workers, StepKind kind, StepBudget& steps)
{
    const FleetSchema::StepSpec& step = task.job->step(task);
    const std::uint32_t maxPerWorker = step.max_per_worker();
    Worker* best = nullptr;
    std::int64_t bestCapacity = 0;
    for (Worker* worker : workers) {
        steps.spend(kind, maxPerWorker == 0 ? 1 : 1 + worker->tasks.size());
        const bool isSuitable = worker->isUsable() && worker->info.service == task.job->spec.service()
            && worker->reservedMilliProcessors == 0 && !worker->isKeptEmpty
            && hasLabel(*worker, step.required_label())
            && (maxPerWorker == 0 || countTasksOfStep(task, *worker) < maxPerWorker);
        if (!isSuitable)
            continue;
        const Placement::Resources free = capacityBesideLongRunningTasks(*worker);
        const bool hasRoom
            = free.milliProcessors >= step.milli_processors() && committedSize(step).fitsIn(free);
        if (hasRoom && (!best || free.milliProcessors > bestCapacity)) {
            best = worker;
            bestCapacity = free.milliProcessors;
        }
    }
    return best;
}

} // namespace

bool reserveWorker(const Task& task, std::span<Worker* const> workers, StepBudget& steps)
{
    Worker* const worker = chooseWorkerToReserve(task, workers, StepKind::Reservation, steps);
    if (worker)
        worker->reservedMilliProcessors = task.job->step(task).milli_processors();
    return worker != nullptr;
}

bool keepWorkerEmpty(const Task& task, std::span<Worker* const> workers, StepBudget& steps)
{
    Worker* const worker = chooseWorkerToReserve(task, workers, StepKind::Preparation, steps);
    if (worker)
        worker->isKeptEmpty = true;
    return worker != nullptr;
}

} // namespace Fleet
