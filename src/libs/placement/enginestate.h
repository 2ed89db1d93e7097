#pragma once

#include "capacityledger.h"
#include "fleetshapes.h"
#include "freecapacityindex.h"
#include "placementengine.h"
#include "sizeestimator.h"
#include "workerscore.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Placement::Internal {

/*! State of a worker. */
struct WorkerEntry {
    std::uint32_t region = 0;
    std::uint32_t domain = 0;
    std::uint32_t rack = 0;
    bool isAccepting = true;
    bool isInFleet = true;
    Resources batchCommitted;
    Resources reserved; //!< Capacity that is used but not in the ledger, so it must not be committed.
    WorkerLoad load;
    std::vector<AttemptId> attempts;
};

/*! State of an attempt that holds capacity. */
struct AttemptEntry {
    std::string job;
    std::string team;
    ClassIndex taskClass = 0;
    TaskKind kind = TaskKind::Batch;
    std::uint32_t rank = 0;
    bool isCheckpointable = false;
    bool isBeingEvicted = false; //!< The eviction was requested, but the attempt is not known to have ended.
    Resources declaredSize;
    Utils::Duration declaredRunTime {};
    Utils::TimePoint startedAt {};
};

/*! Number of replicas of a service job by failure domain, rack and worker. */
struct ReplicaSpread {
    std::unordered_map<std::uint32_t, int> countByDomain;
    std::unordered_map<std::uint32_t, int> countByRack;
    std::unordered_map<WorkerIndex, int> countByWorker;
};

/*! Assigns consecutive numbers to names, in the order of their first use. */
class NameTable {
public:
    std::uint32_t intern(std::string_view name)
    {
        const auto next = static_cast<std::uint32_t>(names_.size());
        const auto [found, isNew] = numbers_.try_emplace(std::string(name), next);
        if (isNew)
            names_.emplace_back(name);
        return found->second;
    }

    const std::string& name(std::uint32_t number) const { return names_[number]; }

private:
    std::unordered_map<std::string, std::uint32_t> numbers_;
    std::vector<std::string> names_;
};

/*! State of a PlacementEngine and the steps that its operations share. */
class EngineState {
public:
    explicit EngineState(const PlacementEngine::Parameters& given)
        : parameters(given)
        , quarantine(given.quarantine)
    {
    }

    void updateIndex(WorkerIndex worker);
    Resources availableCapacity(WorkerIndex worker) const;
    Resources expectedSize(const TaskRequest& request) const;
    bool hasBatchCapacity(WorkerIndex worker, const Resources& size) const;
    std::optional<double> placementScore(const TaskRequest& request, WorkerIndex worker,
        const Resources& size, ClassIndex taskClass, bool isDeadlineTight) const;
    std::optional<WorkerIndex> bestWorker(const TaskRequest& request, const Resources& size,
        ClassIndex taskClass, Utils::TimePoint now, std::mt19937_64& random);
    std::optional<WorkerIndex> workerToProbe(
        const TaskRequest& request, const Resources& size, Utils::TimePoint now);
    Utils::Status commit(const TaskRequest& request, const PlacedTask& placed, Utils::TimePoint startedAt);
    void updateLoad(WorkerIndex worker, const AttemptEntry& attempt, int change, Utils::TimePoint now);
    void learnSizes(WorkerIndex worker, const WorkerUsage& usage);
    std::optional<EvictionPlan> planEvictionOn(WorkerIndex worker, const TaskRequest& request,
        const Resources& size, Utils::TimePoint now, double& lost) const;
    double lostProcessorSeconds(
        const AttemptEntry& attempt, const Resources& size, Utils::TimePoint now) const;

    PlacementEngine::Parameters parameters;
    CapacityLedger ledger;
    FleetShapes shapes;
    FreeCapacityIndex index;
    InterferenceModel interferenceModel;
    SizeEstimator sizeEstimator;
    TeamQuotas quotas;
    WorkerQuarantine quarantine;
    NameTable regionNames;
    NameTable domainNames;
    NameTable rackNames;
    NameTable classNames;
    std::vector<double> meanUsageRatios; //!< Ratio of used to declared processors by class.
    std::vector<WorkerEntry> workers;
    std::size_t fleetSize = 0;
    std::unordered_map<AttemptId, AttemptEntry> attempts;
    std::unordered_map<std::string, ReplicaSpread> replicaSpreads; //!< By job; service jobs only.
    std::vector<WorkerIndex> candidates;
    Utils::TimePoint nextProbeCheckAt {};
};

} // namespace Placement::Internal
