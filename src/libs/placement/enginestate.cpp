#include "enginestate.h"

#include <algorithm>

namespace Placement::Internal {

constexpr double sameDomainPenalty = 1000;
constexpr double sameRackPenalty = 50;
constexpr double sameWorkerPenalty = 10;
constexpr double minRecoveryProcessorSeconds = 5; // Lost by any eviction, even of a checkpointable task.
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

Resources EngineState::availableCapacity(WorkerIndex worker) const
{
    const Resources remaining = ledger.available(worker) - workers[worker].reserved;
    return { std::max<std::int64_t>(remaining.milliProcessors, 0),
        std::max<std::int64_t>(remaining.memoryMb, 0), std::max<std::int64_t>(remaining.accelerators, 0) };
}

void EngineState::updateIndex(WorkerIndex worker)
{
    const WorkerEntry& entry = workers[worker];
    if (entry.isInFleet && entry.isAccepting && !quarantine.isQuarantined(worker))
        index.update(worker, availableCapacity(worker));
    else
        index.remove(worker);
}

Resources EngineState::expectedSize(const TaskRequest& request) const
{
    Resources size = sizeEstimator.expectedSize(request.taskClass, request.declaredSize);
    if (!parameters.allowsLessThanDeclared || request.kind == TaskKind::Service) {
        size.milliProcessors = std::max(size.milliProcessors, request.declaredSize.milliProcessors);
        size.memoryMb = std::max(size.memoryMb, request.declaredSize.memoryMb);
    }
    return size;
}

bool EngineState::hasBatchCapacity(WorkerIndex worker, const Resources& size) const
{
    const Resources committed = workers[worker].batchCommitted + size;
    const Resources& capacity = ledger.capacity(worker);
    return static_cast<double>(committed.milliProcessors)
        <= parameters.batchProcessorsShare * static_cast<double>(capacity.milliProcessors)
        && static_cast<double>(committed.memoryMb)
        <= parameters.batchMemoryShare * static_cast<double>(capacity.memoryMb);
}

std::optional<double> EngineState::placementScore(const TaskRequest& request, WorkerIndex worker,
    const Resources& size, ClassIndex taskClass, bool isDeadlineTight) const
{
    const WorkerEntry& entry = workers[worker];
    if (!request.region.empty() && regionNames.name(entry.region) != request.region)
        return std::nullopt;
    const bool mustProtectServices = request.kind == TaskKind::Batch && request.rank > 0;
    if (mustProtectServices && (entry.load.throttleShare < 1 || !hasBatchCapacity(worker, size)))
        return std::nullopt;
    const double ratio = taskClass < meanUsageRatios.size() ? meanUsageRatios[taskClass] : 1;
    const ScoreInput input { entry.load, ledger.capacity(worker), availableCapacity(worker), taskClass,
        mustProtectServices, size, static_cast<double>(request.declaredSize.milliProcessors) * ratio,
        isDeadlineTight };
    std::optional<double> score = scoreWorker(interferenceModel, input, meanUsageRatios, parameters.score);
    if (!score || request.kind == TaskKind::Batch)
        return score;
    const auto found = replicaSpreads.find(request.job);
    if (found == replicaSpreads.end())
        return score;
    const ReplicaSpread& spread = found->second;
    return *score - sameDomainPenalty * countOf(spread.countByDomain, entry.domain)
        - sameRackPenalty * countOf(spread.countByRack, entry.rack)
        - sameWorkerPenalty * countOf(spread.countByWorker, worker);
}

std::optional<WorkerIndex> EngineState::workerToProbe(
    const TaskRequest& request, const Resources& size, Utils::TimePoint now)
{
    if (request.kind != TaskKind::Batch || request.rank == 0 || now < nextProbeCheckAt)
        return std::nullopt;
    if (quarantine.quarantinedCount() == 0)
        return std::nullopt;
    for (const WorkerIndex worker : quarantine.workersDueForProbe(now)) {
        const WorkerEntry& entry = workers[worker];
        const bool isUsable = entry.isInFleet && entry.isAccepting && hasBatchCapacity(worker, size);
        if (isUsable && size.fitsIn(availableCapacity(worker))
            && (request.region.empty() || regionNames.name(entry.region) == request.region))
            return worker;
    }
    nextProbeCheckAt = now + probeCheckInterval;
    return std::nullopt;
}

std::optional<WorkerIndex> EngineState::bestWorker(const TaskRequest& request, const Resources& size,
    ClassIndex taskClass, Utils::TimePoint now, std::mt19937_64& random)
{
    const std::size_t count
        = request.kind == TaskKind::Service ? parameters.serviceCandidates : parameters.batchCandidates;
    index.sampleFitting(size, count, random, candidates);
    const Utils::Duration runTime = sizeEstimator.expectedRunTime(request.taskClass, request.declaredRunTime);
    const bool isDeadlineTight = request.deadline && now + runTime * 2 > *request.deadline;
    std::optional<WorkerIndex> chosen;
    double bestScore = 0;
    for (const WorkerIndex worker : candidates) {
        const std::optional<double> score = placementScore(request, worker, size, taskClass, isDeadlineTight);
        if (!score || (chosen && *score <= bestScore))
            continue;
        chosen = worker;
        bestScore = *score;
    }
    return chosen;
}

void EngineState::updateLoad(
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
        found->declaredSize += attempt.declaredSize;
    else
        found->declaredSize -= attempt.declaredSize;
    if (found->count == 0)
        loads.erase(found);
    if (attempt.kind == TaskKind::Batch)
        return;
    ReplicaSpread& spread = replicaSpreads[attempt.job];
    addTo(spread.countByDomain, workers[worker].domain, change);
    addTo(spread.countByRack, workers[worker].rack, change);
    addTo(spread.countByWorker, worker, change);
    if (spread.countByWorker.empty())
        replicaSpreads.erase(attempt.job);
}

Utils::Status EngineState::commit(
    const TaskRequest& request, const PlacedTask& placed, Utils::TimePoint startedAt)
{
    const bool isKnown = ledger.find(request.attempt) != nullptr;
    Utils::Status status = ledger.commit(request.attempt, placed.worker, placed.committed);
    if (isKnown || !Utils::isOk(status))
        return status;
    const auto taskClass = static_cast<ClassIndex>(classNames.intern(request.taskClass));
    const AttemptEntry attempt { request.job, request.team, taskClass, request.kind, request.rank,
        request.isCheckpointable, false, request.declaredSize, request.declaredRunTime, startedAt };
    WorkerEntry& worker = workers[placed.worker];
    worker.attempts.push_back(request.attempt);
    if (request.kind == TaskKind::Batch)
        worker.batchCommitted += placed.committed;
    quotas.charge(request.team, placed.committed);
    updateLoad(placed.worker, attempt, 1, startedAt);
    attempts.emplace(request.attempt, attempt);
    updateIndex(placed.worker);
    return status;
}

void EngineState::learnSizes(WorkerIndex worker, const WorkerUsage& usage)
{
    const WorkerLoad& load = workers[worker].load;
    for (const ClassUsage& part : usage.classes) {
        const auto taskClass = static_cast<ClassIndex>(classNames.intern(part.taskClass));
        const auto found = std::ranges::find(load.classes, taskClass, &ClassLoad::taskClass);
        const bool isThrottled = load.throttleShare < 1;
        if (found == load.classes.end() || found->changedAt >= usage.measuredAt || isThrottled)
            continue;
        sizeEstimator.learnSize(part.taskClass, found->declaredSize, part.milliProcessors, part.memoryMb);
        if (taskClass >= meanUsageRatios.size())
            meanUsageRatios.resize(taskClass + 1, 1.0);
        meanUsageRatios[taskClass] = sizeEstimator.meanProcessorsRatio(part.taskClass);
    }
}

double EngineState::lostProcessorSeconds(
    const AttemptEntry& attempt, const Resources& size, Utils::TimePoint now) const
{
    const double seconds
        = attempt.isCheckpointable ? 0 : std::chrono::duration<double>(now - attempt.startedAt).count();
    return minRecoveryProcessorSeconds + seconds * static_cast<double>(size.milliProcessors) / 1000;
}

std::optional<EvictionPlan> EngineState::planEvictionOn(WorkerIndex worker, const TaskRequest& request,
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
        if (running.kind == TaskKind::Batch && running.rank > request.rank && !running.isBeingEvicted)
            options.push_back(
                { attempt, commitment->size, lostProcessorSeconds(running, commitment->size, now) });
    }
    std::ranges::sort(options, {}, &Option::lost);
    EvictionPlan plan { worker, {} };
    Resources available = availableCapacity(worker);
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
