#include "placementengine.h"

#include "enginestate.h"

#include <algorithm>

namespace Placement {

namespace Internal {

constexpr std::size_t evictionCandidateWorkers = 24;

} // namespace Internal

PlacementEngine::PlacementEngine(const Parameters& parameters)
    : private_(std::make_unique<Internal::EngineState>(parameters))
{
}

PlacementEngine::~PlacementEngine() = default;

void PlacementEngine::setBatchCapacityShares(double processorsShare, double memoryShare)
{
    private_->parameters.batchProcessorsShare = processorsShare;
    private_->parameters.batchMemoryShare = memoryShare;
}

WorkerIndex PlacementEngine::addWorker(const WorkerDescription& description)
{
    const WorkerIndex worker = private_->ledger.addWorker(description.capacity);
    Internal::WorkerEntry entry;
    entry.region = private_->regionNames.intern(description.region);
    entry.domain = private_->domainNames.intern(description.domain);
    entry.rack = private_->rackNames.intern(description.domain + "/" + description.rack);
    private_->workers.push_back(std::move(entry));
    private_->shapes.add(description.region, private_->ledger.capacity(worker));
    private_->quarantine.setWorkerCount(++private_->fleetSize);
    private_->updateIndex(worker);
    return worker;
}

void PlacementEngine::setCapacity(WorkerIndex worker, const Resources& capacity)
{
    const Internal::WorkerEntry& entry = private_->workers[worker];
    const std::string& region = private_->regionNames.name(entry.region);
    if (entry.isInFleet)
        private_->shapes.remove(region, private_->ledger.capacity(worker));
    private_->ledger.setCapacity(worker, capacity);
    if (entry.isInFleet)
        private_->shapes.add(region, private_->ledger.capacity(worker));
    private_->updateIndex(worker);
}

void PlacementEngine::setAccepting(WorkerIndex worker, bool isAccepting)
{
    private_->workers[worker].isAccepting = isAccepting;
    private_->updateIndex(worker);
}

void PlacementEngine::setReserved(WorkerIndex worker, const Resources& reserved)
{
    private_->workers[worker].reserved = reserved;
    private_->updateIndex(worker);
}

void PlacementEngine::removeWorker(WorkerIndex worker)
{
    Internal::WorkerEntry& entry = private_->workers[worker];
    if (!entry.isInFleet)
        return;
    entry.isInFleet = false;
    private_->shapes.remove(private_->regionNames.name(entry.region), private_->ledger.capacity(worker));
    private_->quarantine.removeWorker(worker);
    private_->quarantine.setWorkerCount(--private_->fleetSize);
    private_->updateIndex(worker);
}

TeamQuotas& PlacementEngine::quotas()
{
    return private_->quotas;
}

std::optional<std::string> PlacementEngine::infeasibilityReason(const TaskRequest& request) const
{
    return private_->shapes.infeasibilityReason(request, private_->expectedSize(request), private_->quotas);
}

std::uint64_t PlacementEngine::fleetRevision() const
{
    return private_->shapes.revision();
}

Utils::Result<PlacedTask> PlacementEngine::place(
    const TaskRequest& request, Utils::TimePoint now, std::mt19937_64& random)
{
    using Utils::ErrorCode;
    if (private_->ledger.find(request.attempt) != nullptr)
        return Utils::Error { ErrorCode::Conflict, "placement.place", "", "the attempt is placed already" };
    const Resources size = private_->expectedSize(request);
    if (!private_->quotas.allows(request.team, size))
        return Utils::Error { ErrorCode::Conflict, "placement.place", "", "the team's quota is used up" };
    const auto taskClass = static_cast<ClassIndex>(private_->classNames.intern(request.taskClass));
    std::optional<WorkerIndex> worker = private_->workerToProbe(request, size, now);
    const bool isProbe = worker.has_value();
    if (!worker)
        worker = private_->bestWorker(request, size, taskClass, now, random);
    if (!worker)
        return Utils::Error { ErrorCode::Refused, "placement.place", "", "no worker has room" };
    const PlacedTask placed { *worker, size };
    const Utils::Status status = private_->commit(request, placed, now);
    if (!Utils::isOk(status))
        return Utils::error(status);
    if (isProbe)
        private_->quarantine.onProbeStarted(*worker);
    return placed;
}

Utils::Status PlacementEngine::adopt(
    const TaskRequest& request, const PlacedTask& placed, Utils::TimePoint startedAt)
{
    return private_->commit(request, placed, startedAt);
}

void PlacementEngine::onEnded(AttemptId attempt, AttemptOutcome outcome, Utils::TimePoint now)
{
    const std::optional<CapacityLedger::Commitment> ended = private_->ledger.release(attempt);
    if (!ended)
        return;
    const Internal::AttemptEntry known = private_->attempts.at(attempt);
    private_->attempts.erase(attempt);
    Internal::WorkerEntry& worker = private_->workers[ended->worker];
    std::erase(worker.attempts, attempt);
    if (known.kind == TaskKind::Batch)
        worker.batchCommitted -= ended->size;
    private_->quotas.release(known.team, ended->size);
    private_->updateLoad(ended->worker, known, -1, now);
    if (worker.isInFleet && outcome == AttemptOutcome::Succeeded)
        private_->quarantine.onSuccess(ended->worker, known.job);
    if (worker.isInFleet && outcome == AttemptOutcome::Failed)
        private_->quarantine.onFailure(ended->worker, known.job, now);
    if (worker.isInFleet && outcome == AttemptOutcome::Interrupted)
        private_->quarantine.onInterrupted(ended->worker);
    if (outcome == AttemptOutcome::Succeeded) {
        const std::string& taskClass = private_->classNames.name(known.taskClass);
        private_->sizeEstimator.learnRunTime(taskClass, known.declaredRunTime, now - known.startedAt);
    }
    private_->updateIndex(ended->worker);
}

void PlacementEngine::markEvicting(AttemptId attempt)
{
    const auto found = private_->attempts.find(attempt);
    if (found != private_->attempts.end())
        found->second.isBeingEvicted = true;
}

void PlacementEngine::onUsage(WorkerIndex worker, const WorkerUsage& usage)
{
    private_->learnSizes(worker, usage);
    Internal::WorkerEntry& entry = private_->workers[worker];
    const double total
        = std::max<double>(static_cast<double>(private_->ledger.capacity(worker).milliProcessors), 1);
    std::vector<ClassShare> mix;
    for (const ClassUsage& part : usage.classes) {
        const auto taskClass = static_cast<ClassIndex>(private_->classNames.intern(part.taskClass));
        mix.push_back({ taskClass, part.milliProcessors / total });
    }
    for (std::size_t position = 0; position < mix.size(); ++position)
        private_->interferenceModel.learn(
            mix[position].taskClass, mix, usage.classes[position].slowdown, usage.measuredAt);
    if (!usage.latencyRatio)
        return;
    entry.load.latencyRatio = *usage.latencyRatio;
    entry.load.slowdownAtMeasurement = serviceSlowdown(private_->interferenceModel, entry.load, mix);
}

void PlacementEngine::setThrottleShare(WorkerIndex worker, double share)
{
    private_->workers[worker].load.throttleShare = share;
}

std::vector<RunningAttempt> PlacementEngine::batchAttempts(WorkerIndex worker) const
{
    const Internal::WorkerEntry& entry = private_->workers[worker];
    const auto total = static_cast<double>(private_->ledger.capacity(worker).milliProcessors);
    std::vector<ClassShare> mix;
    currentMix(entry.load, private_->ledger.capacity(worker), private_->meanUsageRatios, mix);
    const double slowdown = serviceSlowdown(private_->interferenceModel, entry.load, mix);
    std::vector<RunningAttempt> found;
    for (const AttemptId attempt : entry.attempts) {
        const Internal::AttemptEntry& running = private_->attempts.at(attempt);
        if (running.kind != TaskKind::Batch || running.isBeingEvicted)
            continue;
        const double ratio = running.taskClass < private_->meanUsageRatios.size()
            ? private_->meanUsageRatios[running.taskClass]
            : 1;
        const double used = static_cast<double>(running.declaredSize.milliProcessors) * ratio;
        mix.push_back({ running.taskClass, -used * entry.load.throttleShare / total });
        const double without = serviceSlowdown(private_->interferenceModel, entry.load, mix);
        mix.pop_back();
        found.push_back(
            { attempt, used, running.rank, running.isCheckpointable, running.startedAt, slowdown - without });
    }
    return found;
}

std::optional<EvictionPlan> PlacementEngine::planEviction(
    const TaskRequest& request, Utils::TimePoint now, std::mt19937_64& random) const
{
    const Resources size = private_->expectedSize(request);
    std::optional<EvictionPlan> chosen;
    double minLost = 0;
    private_->index.sampleAny(Internal::evictionCandidateWorkers, random, private_->candidates);
    for (const WorkerIndex worker : private_->candidates) {
        const Internal::WorkerEntry& entry = private_->workers[worker];
        if (!request.region.empty() && private_->regionNames.name(entry.region) != request.region)
            continue;
        double lost = 0;
        std::optional<EvictionPlan> plan = private_->planEvictionOn(worker, request, size, now, lost);
        if (!plan || (chosen && lost >= minLost))
            continue;
        chosen = std::move(plan);
        minLost = lost;
    }
    return chosen;
}

Utils::Duration PlacementEngine::expectedRunTime(const TaskRequest& request) const
{
    return private_->sizeEstimator.expectedRunTime(request.taskClass, request.declaredRunTime);
}

double PlacementEngine::predictedLatencyRatio(WorkerIndex worker) const
{
    const WorkerLoad& load = private_->workers[worker].load;
    std::vector<ClassShare> mix;
    currentMix(load, private_->ledger.capacity(worker), private_->meanUsageRatios, mix);
    return load.latencyRatio * serviceSlowdown(private_->interferenceModel, load, mix)
        / std::max(load.slowdownAtMeasurement, 1.0);
}

const CapacityLedger& PlacementEngine::ledger() const
{
    return private_->ledger;
}

const WorkerQuarantine& PlacementEngine::quarantine() const
{
    return private_->quarantine;
}

} // namespace Placement
