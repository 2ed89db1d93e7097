#include "placementengine.h"

#include "enginestate.h"

#include <algorithm>

namespace Placement {

namespace Internal {

constexpr std::size_t roomCandidates = 24;

} // namespace Internal

PlacementEngine::PlacementEngine(const Parameters& parameters)
    : private_(std::make_unique<Internal::EngineState>(parameters))
{
}

PlacementEngine::~PlacementEngine() = default;

void PlacementEngine::setBatchShares(double processorsShare, double memoryShare)
{
    private_->parameters.batchProcessorsShare = processorsShare;
    private_->parameters.batchMemoryShare = memoryShare;
}

WorkerIndex PlacementEngine::addWorker(const WorkerDescription& description)
{
    const WorkerIndex worker = private_->ledger.addWorker(description.capacity);
    Internal::WorkerEntry entry;
    entry.region = private_->regions.intern(description.region);
    entry.domain = private_->domains.intern(description.domain);
    entry.rack = private_->racks.intern(description.domain + "/" + description.rack);
    private_->workers.push_back(std::move(entry));
    private_->shapes.add(description.region, private_->ledger.capacity(worker));
    private_->quarantine.setWorkerCount(++private_->fleetSize);
    private_->reindex(worker);
    return worker;
}

void PlacementEngine::setCapacity(WorkerIndex worker, const Resources& capacity)
{
    const Internal::WorkerEntry& entry = private_->workers[worker];
    const std::string& region = private_->regions.name(entry.region);
    if (entry.isInFleet)
        private_->shapes.remove(region, private_->ledger.capacity(worker));
    private_->ledger.setCapacity(worker, capacity);
    if (entry.isInFleet)
        private_->shapes.add(region, private_->ledger.capacity(worker));
    private_->reindex(worker);
}

void PlacementEngine::setAccepting(WorkerIndex worker, bool accepts)
{
    private_->workers[worker].accepts = accepts;
    private_->reindex(worker);
}

void PlacementEngine::setWithheld(WorkerIndex worker, const Resources& withheld)
{
    private_->workers[worker].withheld = withheld;
    private_->reindex(worker);
}

void PlacementEngine::removeWorker(WorkerIndex worker)
{
    Internal::WorkerEntry& entry = private_->workers[worker];
    if (!entry.isInFleet)
        return;
    entry.isInFleet = false;
    private_->shapes.remove(private_->regions.name(entry.region), private_->ledger.capacity(worker));
    private_->quarantine.forget(worker);
    private_->quarantine.setWorkerCount(--private_->fleetSize);
    private_->reindex(worker);
}

TeamQuotas& PlacementEngine::quotas()
{
    return private_->quotas;
}

std::optional<std::string> PlacementEngine::whyNever(const TaskRequest& request) const
{
    return private_->shapes.whyNever(request, private_->expectedSize(request), private_->quotas);
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
    const auto taskClass = static_cast<ClassIndex>(private_->classes.intern(request.taskClass));
    std::optional<WorkerIndex> worker = private_->probe(request, size, now);
    const bool isProbe = worker.has_value();
    if (!worker)
        worker = private_->best(request, size, taskClass, now, random);
    if (!worker)
        return Utils::Error { ErrorCode::Refused, "placement.place", "", "no worker has room" };
    const PlacedTask placed { *worker, size };
    const Utils::Status status = private_->take(request, placed, now);
    if (!Utils::isOk(status))
        return Utils::error(status);
    if (isProbe)
        private_->quarantine.onProbeStarted(*worker);
    return placed;
}

Utils::Status PlacementEngine::adopt(
    const TaskRequest& request, const PlacedTask& placed, Utils::TimePoint startedAt)
{
    return private_->take(request, placed, startedAt);
}

void PlacementEngine::onEnded(AttemptId attempt, AttemptEnd end, Utils::TimePoint now)
{
    const std::optional<CapacityLedger::Commitment> ended = private_->ledger.release(attempt);
    if (!ended)
        return;
    const Internal::AttemptEntry known = private_->attempts.at(attempt);
    private_->attempts.erase(attempt);
    Internal::WorkerEntry& worker = private_->workers[ended->worker];
    std::erase(worker.attempts, attempt);
    if (known.kind == TaskKind::Batch)
        worker.batchGiven -= ended->size;
    private_->quotas.giveBack(known.team, ended->size);
    private_->changeLoad(ended->worker, known, -1, now);
    if (worker.isInFleet && end == AttemptEnd::Succeeded)
        private_->quarantine.onSuccess(ended->worker, known.job);
    if (worker.isInFleet && end == AttemptEnd::Failed)
        private_->quarantine.onFailure(ended->worker, known.job, now);
    if (end == AttemptEnd::Succeeded) {
        const std::string& taskClass = private_->classes.name(known.taskClass);
        private_->sizes.learnRun(taskClass, known.declaredRun, now - known.startedAt);
    }
    private_->reindex(ended->worker);
}

void PlacementEngine::setLeaving(AttemptId attempt)
{
    const auto found = private_->attempts.find(attempt);
    if (found != private_->attempts.end())
        found->second.isLeaving = true;
}

void PlacementEngine::onUsage(WorkerIndex worker, const WorkerUsage& usage)
{
    private_->learnSizes(worker, usage);
    Internal::WorkerEntry& entry = private_->workers[worker];
    const double total
        = std::max<double>(static_cast<double>(private_->ledger.capacity(worker).milliProcessors), 1);
    std::vector<ClassShare> mix;
    for (const ClassUsage& part : usage.classes) {
        const auto taskClass = static_cast<ClassIndex>(private_->classes.intern(part.taskClass));
        mix.push_back({ taskClass, part.milliProcessors / total });
    }
    for (std::size_t position = 0; position < mix.size(); ++position)
        private_->model.learn(
            mix[position].taskClass, mix, usage.classes[position].slowdown, usage.measuredAt);
    if (!usage.serviceRatio)
        return;
    entry.load.serviceRatio = *usage.serviceRatio;
    entry.load.slowdownThen = serviceSlowdown(private_->model, entry.load, mix);
}

void PlacementEngine::setBatchShare(WorkerIndex worker, double share)
{
    private_->workers[worker].load.batchShare = share;
}

std::vector<RunningAttempt> PlacementEngine::batchAttempts(WorkerIndex worker) const
{
    const Internal::WorkerEntry& entry = private_->workers[worker];
    const auto total = static_cast<double>(private_->ledger.capacity(worker).milliProcessors);
    std::vector<ClassShare> mix;
    currentMix(entry.load, private_->ledger.capacity(worker), private_->meanRatios, mix);
    const double slowdown = serviceSlowdown(private_->model, entry.load, mix);
    std::vector<RunningAttempt> found;
    for (const AttemptId attempt : entry.attempts) {
        const Internal::AttemptEntry& running = private_->attempts.at(attempt);
        if (running.kind != TaskKind::Batch || running.isLeaving)
            continue;
        const double ratio
            = running.taskClass < private_->meanRatios.size() ? private_->meanRatios[running.taskClass] : 1;
        const double used = static_cast<double>(running.declared.milliProcessors) * ratio;
        mix.push_back({ running.taskClass, -used * entry.load.batchShare / total });
        const double without = serviceSlowdown(private_->model, entry.load, mix);
        mix.pop_back();
        found.push_back(
            { attempt, used, running.rank, running.checkpointable, running.startedAt, slowdown - without });
    }
    return found;
}

std::optional<RoomPlan> PlacementEngine::planRoom(
    const TaskRequest& request, Utils::TimePoint now, std::mt19937_64& random) const
{
    const Resources size = private_->expectedSize(request);
    std::optional<RoomPlan> chosen;
    double leastLost = 0;
    private_->index.drawAny(Internal::roomCandidates, random, private_->drawn);
    for (const WorkerIndex worker : private_->drawn) {
        const Internal::WorkerEntry& entry = private_->workers[worker];
        if (!request.region.empty() && private_->regions.name(entry.region) != request.region)
            continue;
        double lost = 0;
        std::optional<RoomPlan> plan = private_->planOn(worker, request, size, now, lost);
        if (!plan || (chosen && lost >= leastLost))
            continue;
        chosen = std::move(plan);
        leastLost = lost;
    }
    return chosen;
}

Utils::Duration PlacementEngine::expectedRun(const TaskRequest& request) const
{
    return private_->sizes.run(request.taskClass, request.declaredRun);
}

double PlacementEngine::predictedServiceRatio(WorkerIndex worker) const
{
    const WorkerLoad& load = private_->workers[worker].load;
    std::vector<ClassShare> mix;
    currentMix(load, private_->ledger.capacity(worker), private_->meanRatios, mix);
    return load.serviceRatio * serviceSlowdown(private_->model, load, mix) / std::max(load.slowdownThen, 1.0);
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
