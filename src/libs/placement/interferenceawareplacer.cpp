#include "interferenceawareplacer.h"

#include "capacityledger.h"
#include "placementengine.h"
#include "preemptioncontroller.h"

#include <policy.pb.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>

namespace Placement {

namespace Internal {

constexpr std::size_t maxPlacementFailures = 200; // place() ends after this many tasks found no worker.
constexpr Utils::Duration evictionInterval = std::chrono::seconds(3);

static Resources taskSize(const Schema::TaskSize& size)
{
    return { std::llround(std::ceil(size.processors() * 1000)), std::llround(std::ceil(size.memory_mb())),
        size.accelerators() };
}

static Resources workerSize(const Schema::TaskSize& size)
{
    return { std::llround(std::floor(size.processors() * 1000)), std::llround(std::floor(size.memory_mb())),
        size.accelerators() };
}

static std::string attemptKey(const Schema::AttemptRef& attempt)
{
    return attempt.job() + "/" + std::to_string(attempt.task()) + "/" + std::to_string(attempt.attempt());
}

static PlacementEngine::Parameters engineParameters(const InterferenceAwarePlacer::Parameters& given)
{
    PlacementEngine::Parameters parameters;
    parameters.batchProcessorsShare = given.batchProcessorsShare;
    parameters.batchMemoryShare = given.batchMemoryShare;
    parameters.allowsLessThanDeclared = false;
    return parameters;
}

static PreemptionStep stepFromName(std::string_view name)
{
    if (name == "throttle")
        return PreemptionStep::Throttle;
    return name == "checkpoint" ? PreemptionStep::Checkpoint : PreemptionStep::Stop;
}

static PreemptionController::Parameters controllerParameters(const InterferenceAwarePlacer::Parameters& given)
{
    PreemptionController::Parameters parameters;
    parameters.evictionsPerMinute = given.evictionsPerMinute;
    return parameters;
}

struct TailLatency {
    double ratio = 0;
    Utils::TimePoint measuredAt {};
};

/*! Usage of all classes that a worker measured at the same time. */
struct UsageReport {
    Utils::TimePoint measuredAt {};
    std::vector<ClassUsage> classes;
};

} // namespace Internal

class InterferenceAwarePlacer::Private {
public:
    explicit Private(const Parameters& given)
        : parameters(given)
        , engine(Internal::engineParameters(given))
        , controller(Internal::controllerParameters(given))
        , random(given.seed)
    {
    }

    AttemptId attemptId(const Schema::AttemptRef& attempt);
    TaskRequest makeRequest(const Schema::AttemptRef& attempt, const Schema::JobSpec& spec);
    void syncWorkers(std::span<const Batch::AvailableWorker> availableWorkers);
    void syncRunning(std::span<const Batch::RunningTask> running, Utils::TimePoint now);
    void syncFreeCapacity(std::span<const Batch::AvailableWorker> availableWorkers);
    void endAttempt(const std::string& key, AttemptOutcome outcome, Utils::TimePoint now);
    void flushReports(Utils::TimePoint now);
    double latencyRatio(const std::string& worker, const Internal::UsageReport& report) const;
    void preemptOn(WorkerIndex worker, const PreemptionCommand& command, Utils::TimePoint now);
    void evictForUnplacedTasks(Utils::TimePoint now);
    void addPreemptionDecision(AttemptId attempt, Batch::PreemptionAction action, double share);

    Parameters parameters;
    PlacementEngine engine;
    PreemptionController controller;
    std::mt19937_64 random;
    std::unordered_map<std::string, WorkerIndex> workers;
    std::unordered_map<std::string, AttemptId> attemptIds; //!< Attempts that hold capacity, by attemptKey().
    std::unordered_map<AttemptId, Schema::AttemptRef> attempts;
    AttemptId lastAttemptId = 0;
    std::map<std::string, Internal::UsageReport> reports;
    std::map<std::string, Internal::TailLatency> tailLatencies;
    std::set<std::string> serviceClasses;
    std::vector<TaskRequest>
        unplacedTasks; //!< Urgent and service tasks that found no worker in the last round.
    Utils::TimePoint nextEvictionAt {};
    std::vector<Batch::PreemptionDecision> preemptionDecisions;
};

AttemptId InterferenceAwarePlacer::Private::attemptId(const Schema::AttemptRef& attempt)
{
    const auto [found, isNew] = attemptIds.try_emplace(Internal::attemptKey(attempt), lastAttemptId + 1);
    if (isNew) {
        ++lastAttemptId;
        attempts.emplace(lastAttemptId, attempt);
    }
    return found->second;
}

TaskRequest InterferenceAwarePlacer::Private::makeRequest(
    const Schema::AttemptRef& attempt, const Schema::JobSpec& spec)
{
    TaskRequest request;
    request.attempt = attemptId(attempt);
    request.job = attempt.job();
    request.team = spec.team();
    request.taskClass = spec.task_class();
    request.kind = spec.kind() == Schema::SERVICE ? TaskKind::Service : TaskKind::Batch;
    const auto rank = parameters.ranksByClass.find(spec.priority_class());
    request.rank = rank == parameters.ranksByClass.end() ? parameters.defaultRank : rank->second;
    request.declaredSize = Internal::taskSize(spec.size());
    request.declaredRunTime = std::chrono::milliseconds(spec.run_ms());
    request.isCheckpointable = spec.checkpointable();
    request.region = spec.region();
    if (request.kind == TaskKind::Service)
        serviceClasses.insert(request.taskClass);
    return request;
}

void InterferenceAwarePlacer::Private::syncWorkers(std::span<const Batch::AvailableWorker> availableWorkers)
{
    std::set<std::string> present;
    for (const Batch::AvailableWorker& availableWorker : availableWorkers) {
        present.insert(availableWorker.name);
        const Resources capacity = Internal::workerSize(availableWorker.capacity);
        const auto found = workers.find(availableWorker.name);
        if (found == workers.end()) {
            const WorkerDescription description { availableWorker.name, availableWorker.region,
                availableWorker.domain, availableWorker.rack, capacity };
            workers.emplace(availableWorker.name, engine.addWorker(description));
            continue;
        }
        if (engine.ledger().capacity(found->second) != capacity)
            engine.setCapacity(found->second, capacity);
        engine.setAccepting(found->second, true);
    }
    for (const auto& [name, worker] : workers) {
        if (!present.contains(name))
            engine.setAccepting(worker, false);
    }
}

void InterferenceAwarePlacer::Private::syncRunning(
    std::span<const Batch::RunningTask> running, Utils::TimePoint now)
{
    std::set<std::string> present;
    for (const Batch::RunningTask& task : running)
        present.insert(Internal::attemptKey(task.attempt));
    std::vector<std::string> endedKeys;
    for (const auto& [key, id] : attemptIds) {
        if (!present.contains(key))
            endedKeys.push_back(key);
    }
    for (const std::string& key : endedKeys)
        endAttempt(key, AttemptOutcome::Interrupted, now);
    for (const Batch::RunningTask& task : running) {
        const std::string key = Internal::attemptKey(task.attempt);
        const auto worker = workers.find(task.worker);
        if (attemptIds.contains(key) || worker == workers.end())
            continue;
        const TaskRequest request = makeRequest(task.attempt, *task.spec);
        const PlacedTask placed { worker->second, request.declaredSize };
        if (!Utils::isOk(engine.adopt(request, placed, task.startedAt)))
            endAttempt(key, AttemptOutcome::Interrupted, now);
    }
}

void InterferenceAwarePlacer::Private::syncFreeCapacity(
    std::span<const Batch::AvailableWorker> availableWorkers)
{
    for (const Batch::AvailableWorker& availableWorker : availableWorkers) {
        const WorkerIndex worker = workers.at(availableWorker.name);
        const Resources excess
            = engine.ledger().available(worker) - Internal::workerSize(availableWorker.free);
        engine.setReserved(worker,
            { std::max<std::int64_t>(excess.milliProcessors, 0), std::max<std::int64_t>(excess.memoryMb, 0),
                std::max<std::int64_t>(excess.accelerators, 0) });
    }
}

void InterferenceAwarePlacer::Private::endAttempt(
    const std::string& key, AttemptOutcome outcome, Utils::TimePoint now)
{
    const auto found = attemptIds.find(key);
    if (found == attemptIds.end())
        return;
    engine.onEnded(found->second, outcome, now);
    attempts.erase(found->second);
    attemptIds.erase(found);
}

double InterferenceAwarePlacer::Private::latencyRatio(
    const std::string& worker, const Internal::UsageReport& report) const
{
    const auto measured = tailLatencies.find(worker);
    if (measured != tailLatencies.end() && measured->second.measuredAt >= report.measuredAt)
        return measured->second.ratio;
    double maxSlowdown = 0;
    for (const ClassUsage& part : report.classes) {
        if (serviceClasses.contains(part.taskClass))
            maxSlowdown = std::max(maxSlowdown, part.slowdown);
    }
    return maxSlowdown / parameters.maxServiceSlowdown;
}

void InterferenceAwarePlacer::Private::flushReports(Utils::TimePoint now)
{
    for (const auto& [name, report] : reports) {
        const auto worker = workers.find(name);
        if (worker == workers.end())
            continue;
        const double ratio = latencyRatio(name, report);
        engine.onUsage(worker->second, { report.classes, ratio, report.measuredAt });
        const auto command = controller.onTailLatency(worker->second, ratio, report.measuredAt, now);
        if (command)
            preemptOn(worker->second, *command, now);
    }
    reports.clear();
}

void InterferenceAwarePlacer::Private::addPreemptionDecision(
    AttemptId attempt, Batch::PreemptionAction action, double share)
{
    const auto found = attempts.find(attempt);
    if (found != attempts.end())
        preemptionDecisions.push_back({ found->second, action, share });
}

void InterferenceAwarePlacer::Private::preemptOn(
    WorkerIndex worker, const PreemptionCommand& command, Utils::TimePoint now)
{
    const std::vector<RunningAttempt> running = engine.batchAttempts(worker);
    if (command.step == PreemptionStep::Throttle) {
        engine.setThrottleShare(worker, command.share);
        for (const RunningAttempt& each : running)
            addPreemptionDecision(each.attempt, Batch::PreemptionAction::Throttle, command.share);
        return;
    }
    std::vector<EvictionCandidate> candidates;
    candidates.reserve(running.size());
    for (const RunningAttempt& each : running)
        candidates.push_back({ each.attempt, each.milliProcessors, each.isCheckpointable,
            now - each.startedAt, each.serviceSlowdown });
    const auto chosen = controller.chooseEviction(candidates, command.step);
    if (!chosen) {
        controller.onNoEvictionCandidate(worker);
        return;
    }
    if (!controller.tryReserveEviction(now))
        return;
    const bool isStop = command.step == PreemptionStep::Stop;
    engine.markEvicting(candidates[*chosen].attempt);
    addPreemptionDecision(candidates[*chosen].attempt,
        isStop ? Batch::PreemptionAction::Stop : Batch::PreemptionAction::Checkpoint, 1);
}

void InterferenceAwarePlacer::Private::evictForUnplacedTasks(Utils::TimePoint now)
{
    if (unplacedTasks.empty() || now < nextEvictionAt)
        return;
    nextEvictionAt = now + Internal::evictionInterval;
    for (const TaskRequest& request : unplacedTasks) {
        const auto plan = engine.planEviction(request, now, random);
        if (!plan)
            continue;
        const std::vector<RunningAttempt> running = engine.batchAttempts(plan->worker);
        for (const AttemptId attempt : plan->attempts) {
            const auto known = std::ranges::find(running, attempt, &RunningAttempt::attempt);
            if (known == running.end() || !controller.tryReserveEviction(now))
                continue;
            engine.markEvicting(attempt);
            addPreemptionDecision(attempt,
                known->isCheckpointable ? Batch::PreemptionAction::Checkpoint : Batch::PreemptionAction::Stop,
                1);
        }
    }
}

InterferenceAwarePlacer::InterferenceAwarePlacer(const Parameters& parameters)
    : private_(std::make_unique<Private>(parameters))
{
}

InterferenceAwarePlacer::~InterferenceAwarePlacer() = default;

std::vector<Batch::PlacementDecision> InterferenceAwarePlacer::place(
    std::span<const Batch::PendingTask> tasks, std::span<const Batch::AvailableWorker> workers,
    std::span<const Batch::RunningTask> running, Utils::TimePoint now)
{
    private_->syncWorkers(workers);
    private_->syncRunning(running, now);
    private_->syncFreeCapacity(workers);
    private_->flushReports(now);
    private_->unplacedTasks.clear();
    std::unordered_map<WorkerIndex, std::size_t> positions;
    std::vector<Resources> free;
    for (const Batch::AvailableWorker& availableWorker : workers) {
        positions.emplace(private_->workers.at(availableWorker.name), free.size());
        free.push_back(Internal::workerSize(availableWorker.free));
    }
    std::vector<Batch::PlacementDecision> decisions;
    std::size_t failures = 0;
    for (std::size_t task = 0; task < tasks.size() && failures < Internal::maxPlacementFailures; ++task) {
        TaskRequest request = private_->makeRequest(tasks[task].attempt, *tasks[task].spec);
        if (tasks[task].deadline != Utils::TimePoint::max())
            request.deadline = tasks[task].deadline;
        const auto placed = private_->engine.place(request, now, private_->random);
        if (Utils::isOk(placed)) {
            const std::size_t position = positions.at(Utils::value(placed).worker);
            if (request.declaredSize.fitsIn(free[position])) {
                free[position] -= request.declaredSize;
                decisions.push_back({ task, position });
                continue;
            }
        }
        ++failures;
        private_->endAttempt(Internal::attemptKey(tasks[task].attempt), AttemptOutcome::Interrupted, now);
        if (request.rank == 0 || request.kind == TaskKind::Service)
            private_->unplacedTasks.push_back(request);
    }
    return decisions;
}

std::vector<Batch::PreemptionDecision> InterferenceAwarePlacer::preempt(
    std::span<const Batch::RunningTask> running, std::span<const Batch::AvailableWorker> workers,
    Utils::TimePoint now)
{
    (void)running;
    (void)workers;
    private_->flushReports(now);
    private_->evictForUnplacedTasks(now);
    std::vector<Batch::PreemptionDecision> preemptionDecisions;
    std::set<std::string> seen;
    // Later decisions come first after reversing, so only the latest one about each attempt is kept.
    std::ranges::reverse(private_->preemptionDecisions);
    for (const Batch::PreemptionDecision& decision : private_->preemptionDecisions) {
        if (seen.insert(Internal::attemptKey(decision.attempt)).second)
            preemptionDecisions.push_back(decision);
    }
    private_->preemptionDecisions.clear();
    return preemptionDecisions;
}

void InterferenceAwarePlacer::onUsageSample(
    const std::string& worker, const Schema::UsageSample& sample, Utils::TimePoint now)
{
    const Utils::TimePoint measuredAt = now - std::chrono::milliseconds(sample.age_ms());
    Internal::UsageReport& report = private_->reports[worker];
    if (measuredAt < report.measuredAt)
        return;
    if (measuredAt > report.measuredAt)
        report = { measuredAt, {} };
    const double processors = sample.processors() * 1000;
    const auto found = std::ranges::find(report.classes, sample.task_class(), &ClassUsage::taskClass);
    if (found == report.classes.end()) {
        report.classes.push_back({ sample.task_class(), processors, sample.memory_mb(), sample.slowdown() });
        return;
    }
    found->milliProcessors += processors;
    found->memoryMb += sample.memory_mb();
    found->slowdown = std::max(found->slowdown, sample.slowdown());
}

void InterferenceAwarePlacer::onAttemptEnded(
    const Batch::RunningTask& task, Schema::AttemptState state, Utils::TimePoint now)
{
    AttemptOutcome outcome = AttemptOutcome::Interrupted;
    if (state == Schema::ATTEMPT_SUCCEEDED)
        outcome = AttemptOutcome::Succeeded;
    else if (state == Schema::ATTEMPT_FAILED)
        outcome = AttemptOutcome::Failed;
    private_->endAttempt(Internal::attemptKey(task.attempt), outcome, now);
}

void InterferenceAwarePlacer::setPolicy(const Schema::PolicyDocument& policy)
{
    constexpr double percent = 0.01;
    private_->parameters.ranksByClass.clear();
    for (const Schema::PriorityClassPolicy& priorityClass : policy.priority_class())
        private_->parameters.ranksByClass[priorityClass.name()] = priorityClass.rank();
    const Schema::BatchPolicy& batch = policy.batch();
    private_->engine.setBatchCapacityShares(
        batch.processors_percent() * percent, batch.memory_percent() * percent);
    std::vector<PreemptionStep> steps;
    for (const std::string& step : policy.give_way().order())
        steps.push_back(Internal::stepFromName(step));
    private_->controller.setPolicy(std::move(steps), batch.max_evictions_per_minute());
}

void InterferenceAwarePlacer::onTailLatency(
    const std::string& worker, double ratio, Utils::TimePoint measuredAt)
{
    private_->tailLatencies[worker] = { ratio, measuredAt };
}

} // namespace Placement
