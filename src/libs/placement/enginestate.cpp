#include "enginestate.h"

#include <algorithm>

namespace Placement::Internal {

constexpr double domainPenalty = 1000;
constexpr double rackPenalty = 50;
constexpr double workerPenalty = 10;
constexpr double leastRecoveryWork = 5; // Processor seconds that any eviction costs.
constexpr Utils::Duration probeCheckInterval = std::chrono::seconds(1);

static double countOf(const std::unordered_map<std::uint32_t, int>& counts, std::uint32_t key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

static void addTo(std::unordered_map<std::uint32_t, int>& counts, std::uint32_t key, int change)
{
    int& count = counts[key];
    count += change;
    if (count == 0)
        counts.erase(key);
}

Resources EngineState::availableOf(WorkerIndex worker) const
{
    const Resources rest = ledger.available(worker) - workers[worker].withheld;
    return { std::max<std::int64_t>(rest.milliProcessors, 0), std::max<std::int64_t>(rest.memoryMb, 0),
        std::max<std::int64_t>(rest.accelerators, 0) };
}

void EngineState::reindex(WorkerIndex worker)
{
    const WorkerEntry& entry = workers[worker];
    if (entry.isInFleet && entry.accepts && !quarantine.isAside(worker))
        index.update(worker, availableOf(worker));
    else
        index.remove(worker);
}

Resources EngineState::expectedSize(const TaskRequest& request) const
{
    Resources size = sizes.size(request.taskClass, request.declared);
    if (!parameters.givesLessThanDeclared || request.kind == TaskKind::Service) {
        size.milliProcessors = std::max(size.milliProcessors, request.declared.milliProcessors);
        size.memoryMb = std::max(size.memoryMb, request.declared.memoryMb);
    }
    return size;
}

bool EngineState::hasBatchRoom(WorkerIndex worker, const Resources& size) const
{
    const Resources given = workers[worker].batchGiven + size;
    const Resources& capacity = ledger.capacity(worker);
    return static_cast<double>(given.milliProcessors)
        <= parameters.batchProcessorsShare * static_cast<double>(capacity.milliProcessors)
        && static_cast<double>(given.memoryMb)
        <= parameters.batchMemoryShare * static_cast<double>(capacity.memoryMb);
}

std::optional<double> EngineState::rate(const TaskRequest& request, WorkerIndex worker, const Resources& size,
    ClassIndex taskClass, bool isTight) const
{
    const WorkerEntry& entry = workers[worker];
    if (!request.region.empty() && regions.name(entry.region) != request.region)
        return std::nullopt;
    const bool givesWay = request.kind == TaskKind::Batch && request.rank > 0;
    if (givesWay && (entry.load.batchShare < 1 || !hasBatchRoom(worker, size)))
        return std::nullopt;
    const double ratio = taskClass < meanRatios.size() ? meanRatios[taskClass] : 1;
    const ScoreInput input { entry.load, ledger.capacity(worker), availableOf(worker), taskClass, givesWay,
        size, static_cast<double>(request.declared.milliProcessors) * ratio, isTight };
    std::optional<double> score = scoreWorker(model, input, meanRatios, parameters.score);
    if (!score || request.kind == TaskKind::Batch)
        return score;
    const auto found = replicas.find(request.job);
    if (found == replicas.end())
        return score;
    const ReplicaSpread& spread = found->second;
    return *score - domainPenalty * countOf(spread.domains, entry.domain)
        - rackPenalty * countOf(spread.racks, entry.rack) - workerPenalty * countOf(spread.workers, worker);
}

std::optional<WorkerIndex> EngineState::probe(
    const TaskRequest& request, const Resources& size, Utils::TimePoint now)
{
    if (request.kind != TaskKind::Batch || request.rank == 0 || now < nextProbeCheck)
        return std::nullopt;
    if (quarantine.asideCount() == 0)
        return std::nullopt;
    for (const WorkerIndex worker : quarantine.dueProbes(now)) {
        const WorkerEntry& entry = workers[worker];
        const bool isUsable = entry.isInFleet && entry.accepts && hasBatchRoom(worker, size);
        if (isUsable && size.fitsIn(availableOf(worker))
            && (request.region.empty() || regions.name(entry.region) == request.region))
            return worker;
    }
    nextProbeCheck = now + probeCheckInterval;
    return std::nullopt;
}

std::optional<WorkerIndex> EngineState::best(const TaskRequest& request, const Resources& size,
    ClassIndex taskClass, Utils::TimePoint now, std::mt19937_64& random)
{
    const std::size_t count
        = request.kind == TaskKind::Service ? parameters.serviceCandidates : parameters.batchCandidates;
    index.draw(size, count, random, drawn);
    const Utils::Duration run = sizes.run(request.taskClass, request.declaredRun);
    const bool isTight = request.deadline && now + run * 2 > *request.deadline;
    std::optional<WorkerIndex> chosen;
    double greatest = 0;
    for (const WorkerIndex worker : drawn) {
        const std::optional<double> score = rate(request, worker, size, taskClass, isTight);
        if (!score || (chosen && *score <= greatest))
            continue;
        chosen = worker;
        greatest = *score;
    }
    return chosen;
}

void EngineState::changeLoad(
    WorkerIndex worker, const AttemptEntry& attempt, int change, Utils::TimePoint now)
{
    std::vector<ClassLoad>& loads = workers[worker].load.classes;
    auto found = std::ranges::find(loads, attempt.taskClass, &ClassLoad::taskClass);
    if (found == loads.end()) {
        loads.push_back({ attempt.taskClass, attempt.kind, 0, {}, now });
        found = std::prev(loads.end());
    }
    found->count += static_cast<std::uint32_t>(change);
    found->changedAt = now;
    if (change > 0)
        found->declared += attempt.declared;
    else
        found->declared -= attempt.declared;
    if (found->count == 0)
        loads.erase(found);
    if (attempt.kind == TaskKind::Batch)
        return;
    ReplicaSpread& spread = replicas[attempt.job];
    addTo(spread.domains, workers[worker].domain, change);
    addTo(spread.racks, workers[worker].rack, change);
    addTo(spread.workers, worker, change);
    if (spread.workers.empty())
        replicas.erase(attempt.job);
}

Utils::Status EngineState::take(
    const TaskRequest& request, const PlacedTask& placed, Utils::TimePoint startedAt)
{
    const bool isKnown = ledger.find(request.attempt) != nullptr;
    Utils::Status status = ledger.commit(request.attempt, placed.worker, placed.given);
    if (isKnown || !Utils::isOk(status))
        return status;
    const auto taskClass = static_cast<ClassIndex>(classes.intern(request.taskClass));
    const AttemptEntry attempt { request.job, request.team, taskClass, request.kind, request.rank,
        request.checkpointable, false, request.declared, request.declaredRun, startedAt };
    WorkerEntry& worker = workers[placed.worker];
    worker.attempts.push_back(request.attempt);
    if (request.kind == TaskKind::Batch)
        worker.batchGiven += placed.given;
    quotas.take(request.team, placed.given);
    changeLoad(placed.worker, attempt, 1, startedAt);
    attempts.emplace(request.attempt, attempt);
    reindex(placed.worker);
    return status;
}

void EngineState::learnSizes(WorkerIndex worker, const WorkerUsage& usage)
{
    const WorkerLoad& load = workers[worker].load;
    for (const ClassUsage& part : usage.classes) {
        const auto taskClass = static_cast<ClassIndex>(classes.intern(part.taskClass));
        const auto found = std::ranges::find(load.classes, taskClass, &ClassLoad::taskClass);
        const bool isThrottled = load.batchShare < 1;
        if (found == load.classes.end() || found->changedAt >= usage.measuredAt || isThrottled)
            continue;
        sizes.learnSize(part.taskClass, found->declared, part.milliProcessors, part.memoryMb);
        if (taskClass >= meanRatios.size())
            meanRatios.resize(taskClass + 1, 1.0);
        meanRatios[taskClass] = sizes.meanProcessorsRatio(part.taskClass);
    }
}

double EngineState::lostWork(const AttemptEntry& attempt, const Resources& size, Utils::TimePoint now) const
{
    const double seconds
        = attempt.checkpointable ? 0 : std::chrono::duration<double>(now - attempt.startedAt).count();
    return leastRecoveryWork + seconds * static_cast<double>(size.milliProcessors) / 1000;
}

std::optional<RoomPlan> EngineState::planOn(WorkerIndex worker, const TaskRequest& request,
    const Resources& size, Utils::TimePoint now, double& lost) const
{
    struct Option {
        AttemptId attempt = 0;
        Resources size;
        double lost = 0;
    };
    const WorkerEntry& entry = workers[worker];
    std::vector<Option> options;
    for (const AttemptId attempt : entry.attempts) {
        const AttemptEntry& running = attempts.at(attempt);
        const CapacityLedger::Commitment* commitment = ledger.find(attempt);
        if (running.kind == TaskKind::Batch && running.rank > request.rank && !running.isLeaving)
            options.push_back({ attempt, commitment->size, lostWork(running, commitment->size, now) });
    }
    std::ranges::sort(options, {}, &Option::lost);
    RoomPlan plan { worker, {} };
    Resources available = availableOf(worker);
    lost = 0;
    for (const Option& option : options) {
        if (size.fitsIn(available))
            break;
        available += option.size;
        lost += option.lost;
        plan.attempts.push_back(option.attempt);
    }
    if (!size.fitsIn(available))
        return std::nullopt;
    return plan;
}

} // namespace Placement::Internal
