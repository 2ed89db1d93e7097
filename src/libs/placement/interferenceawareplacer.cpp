#include "interferenceawareplacer.h"

#include "capacityledger.h"
#include "givewaycontroller.h"
#include "placementengine.h"

#include <policy.pb.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>

namespace Placement {

namespace Internal {

constexpr std::size_t failureLimit = 200; // Tasks without room after which a round ends.
constexpr Utils::Duration roomInterval = std::chrono::seconds(3);

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

static std::string keyOf(const Schema::AttemptRef& attempt)
{
    return attempt.job() + "/" + std::to_string(attempt.task()) + "/" + std::to_string(attempt.attempt());
}

static PlacementEngine::Parameters engineParameters(const InterferenceAwarePlacer::Parameters& given)
{
    PlacementEngine::Parameters parameters;
    parameters.batchProcessorsShare = given.batchProcessorsShare;
    parameters.batchMemoryShare = given.batchMemoryShare;
    parameters.givesLessThanDeclared = false;
    return parameters;
}

static GiveWayStep stepNamed(std::string_view name)
{
    if (name == "throttle")
        return GiveWayStep::Throttle;
    return name == "checkpoint" ? GiveWayStep::Checkpoint : GiveWayStep::Stop;
}

static GiveWayController::Parameters controllerParameters(const InterferenceAwarePlacer::Parameters& given)
{
    GiveWayController::Parameters parameters;
    parameters.evictionsPerMinute = given.evictionsPerMinute;
    return parameters;
}

struct TailLatency {
    double ratio = 0;
    Utils::TimePoint measuredAt {};
};

/*! Samples of one report of a worker. */
struct Report {
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

    AttemptId idOf(const Schema::AttemptRef& attempt);
    TaskRequest requestOf(const Schema::AttemptRef& attempt, const Schema::JobSpec& spec);
    void syncWorkers(std::span<const Batch::AvailableWorker> rooms);
    void syncRunning(std::span<const Batch::RunningTask> running, Utils::TimePoint now);
    void syncRoom(std::span<const Batch::AvailableWorker> rooms);
    void end(const std::string& key, AttemptEnd how, Utils::TimePoint now);
    void flushReports(Utils::TimePoint now);
    double serviceRatio(const std::string& worker, const Internal::Report& report) const;
    void giveWay(WorkerIndex worker, const GiveWayAction& action, Utils::TimePoint now);
    void makeRoom(Utils::TimePoint now);
    void order(AttemptId attempt, Batch::PreemptionAction relief, double share);

    Parameters parameters;
    PlacementEngine engine;
    GiveWayController controller;
    std::mt19937_64 random;
    std::unordered_map<std::string, WorkerIndex> workers;
    std::unordered_map<std::string, AttemptId> ids; //!< Attempts that hold capacity, by key.
    std::unordered_map<AttemptId, Schema::AttemptRef> attempts;
    AttemptId lastId = 0;
    std::map<std::string, Internal::Report> reports;
    std::map<std::string, Internal::TailLatency> tailLatencies;
    std::set<std::string> serviceClasses;
    std::vector<TaskRequest> withoutRoom; //!< Most urgent tasks that found no worker.
    Utils::TimePoint nextRoomAt {};
    std::vector<Batch::PreemptionDecision> orders;
};

AttemptId InterferenceAwarePlacer::Private::idOf(const Schema::AttemptRef& attempt)
{
    const auto [found, isNew] = ids.try_emplace(Internal::keyOf(attempt), lastId + 1);
    if (isNew) {
        ++lastId;
        attempts.emplace(lastId, attempt);
    }
    return found->second;
}

TaskRequest InterferenceAwarePlacer::Private::requestOf(
    const Schema::AttemptRef& attempt, const Schema::JobSpec& spec)
{
    TaskRequest request;
    request.attempt = idOf(attempt);
    request.job = attempt.job();
    request.team = spec.team();
    request.taskClass = spec.task_class();
    request.kind = spec.kind() == Schema::SERVICE ? TaskKind::Service : TaskKind::Batch;
    const auto rank = parameters.ranks.find(spec.priority_class());
    request.rank = rank == parameters.ranks.end() ? parameters.otherRank : rank->second;
    request.declared = Internal::taskSize(spec.size());
    request.declaredRun = std::chrono::milliseconds(spec.run_ms());
    request.checkpointable = spec.checkpointable();
    request.region = spec.region();
    if (request.kind == TaskKind::Service)
        serviceClasses.insert(request.taskClass);
    return request;
}

void InterferenceAwarePlacer::Private::syncWorkers(std::span<const Batch::AvailableWorker> rooms)
{
    std::set<std::string> present;
    for (const Batch::AvailableWorker& room : rooms) {
        present.insert(room.name);
        const Resources capacity = Internal::workerSize(room.capacity);
        const auto found = workers.find(room.name);
        if (found == workers.end()) {
            const WorkerDescription description { room.name, room.region, room.domain, room.rack, capacity };
            workers.emplace(room.name, engine.addWorker(description));
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
        present.insert(Internal::keyOf(task.attempt));
    std::vector<std::string> gone;
    for (const auto& [key, id] : ids) {
        if (!present.contains(key))
            gone.push_back(key);
    }
    for (const std::string& key : gone)
        end(key, AttemptEnd::GaveWay, now);
    for (const Batch::RunningTask& task : running) {
        const std::string key = Internal::keyOf(task.attempt);
        const auto worker = workers.find(task.worker);
        if (ids.contains(key) || worker == workers.end())
            continue;
        const TaskRequest request = requestOf(task.attempt, *task.spec);
        const PlacedTask placed { worker->second, request.declared };
        if (!Utils::isOk(engine.adopt(request, placed, task.startedAt)))
            end(key, AttemptEnd::GaveWay, now);
    }
}

void InterferenceAwarePlacer::Private::syncRoom(std::span<const Batch::AvailableWorker> rooms)
{
    for (const Batch::AvailableWorker& room : rooms) {
        const WorkerIndex worker = workers.at(room.name);
        const Resources excess = engine.ledger().available(worker) - Internal::workerSize(room.free);
        engine.setWithheld(worker,
            { std::max<std::int64_t>(excess.milliProcessors, 0), std::max<std::int64_t>(excess.memoryMb, 0),
                std::max<std::int64_t>(excess.accelerators, 0) });
    }
}

void InterferenceAwarePlacer::Private::end(const std::string& key, AttemptEnd how, Utils::TimePoint now)
{
    const auto found = ids.find(key);
    if (found == ids.end())
        return;
    engine.onEnded(found->second, how, now);
    attempts.erase(found->second);
    ids.erase(found);
}

double InterferenceAwarePlacer::Private::serviceRatio(
    const std::string& worker, const Internal::Report& report) const
{
    const auto measured = tailLatencies.find(worker);
    if (measured != tailLatencies.end() && measured->second.measuredAt >= report.measuredAt)
        return measured->second.ratio;
    double greatest = 0;
    for (const ClassUsage& part : report.classes) {
        if (serviceClasses.contains(part.taskClass))
            greatest = std::max(greatest, part.slowdown);
    }
    return greatest / parameters.greatestServiceSlowdown;
}

void InterferenceAwarePlacer::Private::flushReports(Utils::TimePoint now)
{
    for (const auto& [name, report] : reports) {
        const auto worker = workers.find(name);
        if (worker == workers.end())
            continue;
        const double ratio = serviceRatio(name, report);
        engine.onUsage(worker->second, { report.classes, ratio, report.measuredAt });
        const auto action = controller.onTailLatency(worker->second, ratio, report.measuredAt, now);
        if (action)
            giveWay(worker->second, *action, now);
    }
    reports.clear();
}

void InterferenceAwarePlacer::Private::order(AttemptId attempt, Batch::PreemptionAction relief, double share)
{
    const auto found = attempts.find(attempt);
    if (found != attempts.end())
        orders.push_back({ found->second, relief, share });
}

void InterferenceAwarePlacer::Private::giveWay(
    WorkerIndex worker, const GiveWayAction& action, Utils::TimePoint now)
{
    const std::vector<RunningAttempt> running = engine.batchAttempts(worker);
    if (action.step == GiveWayStep::Throttle) {
        engine.setBatchShare(worker, action.share);
        for (const RunningAttempt& each : running)
            order(each.attempt, Batch::PreemptionAction::Throttle, action.share);
        return;
    }
    std::vector<EvictionCandidate> candidates;
    candidates.reserve(running.size());
    for (const RunningAttempt& each : running)
        candidates.push_back({ each.attempt, each.milliProcessors, each.checkpointable, now - each.startedAt,
            each.disturbance });
    const auto chosen = controller.chooseEviction(candidates, action.step);
    if (!chosen) {
        controller.onNothingToEvict(worker);
        return;
    }
    if (!controller.tryEvict(now))
        return;
    const bool isStop = action.step == GiveWayStep::Stop;
    engine.setLeaving(candidates[*chosen].attempt);
    order(candidates[*chosen].attempt,
        isStop ? Batch::PreemptionAction::Stop : Batch::PreemptionAction::Checkpoint, 1);
}

void InterferenceAwarePlacer::Private::makeRoom(Utils::TimePoint now)
{
    if (withoutRoom.empty() || now < nextRoomAt)
        return;
    nextRoomAt = now + Internal::roomInterval;
    for (const TaskRequest& request : withoutRoom) {
        const auto plan = engine.planRoom(request, now, random);
        if (!plan)
            continue;
        const std::vector<RunningAttempt> running = engine.batchAttempts(plan->worker);
        for (const AttemptId attempt : plan->attempts) {
            const auto known = std::ranges::find(running, attempt, &RunningAttempt::attempt);
            if (known == running.end() || !controller.tryEvict(now))
                continue;
            engine.setLeaving(attempt);
            order(attempt,
                known->checkpointable ? Batch::PreemptionAction::Checkpoint : Batch::PreemptionAction::Stop,
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
    private_->syncRoom(workers);
    private_->flushReports(now);
    private_->withoutRoom.clear();
    std::unordered_map<WorkerIndex, std::size_t> positions;
    std::vector<Resources> free;
    for (const Batch::AvailableWorker& room : workers) {
        positions.emplace(private_->workers.at(room.name), free.size());
        free.push_back(Internal::workerSize(room.free));
    }
    std::vector<Batch::PlacementDecision> choices;
    std::size_t failures = 0;
    for (std::size_t task = 0; task < tasks.size() && failures < Internal::failureLimit; ++task) {
        TaskRequest request = private_->requestOf(tasks[task].attempt, *tasks[task].spec);
        if (tasks[task].deadline != Utils::TimePoint::max())
            request.deadline = tasks[task].deadline;
        const auto placed = private_->engine.place(request, now, private_->random);
        if (Utils::isOk(placed)) {
            const std::size_t position = positions.at(Utils::value(placed).worker);
            if (request.declared.fitsIn(free[position])) {
                free[position] -= request.declared;
                choices.push_back({ task, position });
                continue;
            }
        }
        ++failures;
        private_->end(Internal::keyOf(tasks[task].attempt), AttemptEnd::GaveWay, now);
        if (request.rank == 0 || request.kind == TaskKind::Service)
            private_->withoutRoom.push_back(request);
    }
    return choices;
}

std::vector<Batch::PreemptionDecision> InterferenceAwarePlacer::preempt(
    std::span<const Batch::RunningTask> running, std::span<const Batch::AvailableWorker> workers,
    Utils::TimePoint now)
{
    (void)running;
    (void)workers;
    private_->flushReports(now);
    private_->makeRoom(now);
    std::vector<Batch::PreemptionDecision> orders;
    std::set<std::string> seen;
    // The latest order of an attempt counts.
    std::ranges::reverse(private_->orders);
    for (const Batch::PreemptionDecision& order : private_->orders) {
        if (seen.insert(Internal::keyOf(order.attempt)).second)
            orders.push_back(order);
    }
    private_->orders.clear();
    return orders;
}

void InterferenceAwarePlacer::onUsageSample(
    const std::string& worker, const Schema::UsageSample& sample, Utils::TimePoint now)
{
    const Utils::TimePoint measuredAt = now - std::chrono::milliseconds(sample.age_ms());
    Internal::Report& report = private_->reports[worker];
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
    AttemptEnd how = AttemptEnd::GaveWay;
    if (state == Schema::ATTEMPT_SUCCEEDED)
        how = AttemptEnd::Succeeded;
    else if (state == Schema::ATTEMPT_FAILED)
        how = AttemptEnd::Failed;
    private_->end(Internal::keyOf(task.attempt), how, now);
}

void InterferenceAwarePlacer::setPolicy(const Schema::PolicyDocument& policy)
{
    constexpr double percent = 0.01;
    private_->parameters.ranks.clear();
    for (const Schema::PriorityClassPolicy& priorityClass : policy.priority_class())
        private_->parameters.ranks[priorityClass.name()] = priorityClass.rank();
    const Schema::BatchPolicy& batch = policy.batch();
    private_->engine.setBatchShares(batch.processors_percent() * percent, batch.memory_percent() * percent);
    std::vector<GiveWayStep> order;
    for (const std::string& step : policy.give_way().order())
        order.push_back(Internal::stepNamed(step));
    private_->controller.setPolicy(std::move(order), batch.max_evictions_per_minute());
}

void InterferenceAwarePlacer::onTailLatency(
    const std::string& worker, double ratio, Utils::TimePoint measuredAt)
{
    private_->tailLatencies[worker] = { ratio, measuredAt };
}

} // namespace Placement
