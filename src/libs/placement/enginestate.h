#pragma once

#include "capacityledger.h"
#include "feasibility.h"
#include "freecapacityindex.h"
#include "placementengine.h"
#include "sizeestimator.h"
#include "workerscore.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace Placement::Internal {

/*! What an engine knows of a worker. */
struct WorkerEntry {
    std::uint32_t region = 0;
    std::uint32_t domain = 0;
    std::uint32_t rack = 0;
    bool accepts = true;
    bool isInFleet = true;
    Resources batchGiven;
    Resources withheld; //!< Not committed here, and not to be given.
    WorkerLoad load;
    std::vector<AttemptId> attempts;
};

/*! What an engine knows of an attempt that holds capacity. */
struct AttemptEntry {
    std::string job;
    std::string team;
    ClassIndex taskClass = 0;
    TaskKind kind = TaskKind::Batch;
    std::uint32_t rank = 0;
    bool checkpointable = false;
    bool isLeaving = false; //!< Told to leave, and not yet known to have ended.
    Resources declared;
    Utils::Duration declaredRun {};
    Utils::TimePoint startedAt {};
};

/*! Where the replicas of a service job are. */
struct ReplicaSpread {
    std::unordered_map<std::uint32_t, int> domains;
    std::unordered_map<std::uint32_t, int> racks;
    std::unordered_map<WorkerIndex, int> workers;
};

/*! Numbers for names, in the order of their first use. */
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

/*! State of a PlacementEngine, with the steps that its operations share. */
class EngineState {
public:
    explicit EngineState(const PlacementEngine::Parameters& given)
        : parameters(given)
        , quarantine(given.quarantine)
    {
    }

    void reindex(WorkerIndex worker);
    Resources availableOf(WorkerIndex worker) const;
    Resources expectedSize(const TaskRequest& request) const;
    bool hasBatchRoom(WorkerIndex worker, const Resources& size) const;
    std::optional<double> rate(const TaskRequest& request, WorkerIndex worker, const Resources& size,
        ClassIndex taskClass, bool isTight) const;
    std::optional<WorkerIndex> best(const TaskRequest& request, const Resources& size, ClassIndex taskClass,
        Utils::TimePoint now, std::mt19937_64& random);
    std::optional<WorkerIndex> probe(const TaskRequest& request, const Resources& size, Utils::TimePoint now);
    Utils::Status take(const TaskRequest& request, const PlacedTask& placed, Utils::TimePoint startedAt);
    void changeLoad(WorkerIndex worker, const AttemptEntry& attempt, int change, Utils::TimePoint now);
    void learnSizes(WorkerIndex worker, const WorkerUsage& usage);
    std::optional<RoomPlan> planOn(WorkerIndex worker, const TaskRequest& request, const Resources& size,
        Utils::TimePoint now, double& lost) const;
    double lostWork(const AttemptEntry& attempt, const Resources& size, Utils::TimePoint now) const;

    PlacementEngine::Parameters parameters;
    CapacityLedger ledger;
    FleetShapes shapes;
    FreeCapacityIndex index;
    InterferenceModel model;
    SizeEstimator sizes;
    TeamQuotas quotas;
    WorkerQuarantine quarantine;
    NameTable regions;
    NameTable domains;
    NameTable racks;
    NameTable classes;
    std::vector<double> meanRatios; //!< Used over declared processors, by class.
    std::vector<WorkerEntry> workers;
    std::size_t fleetSize = 0;
    std::unordered_map<AttemptId, AttemptEntry> attempts;
    std::unordered_map<std::string, ReplicaSpread> replicas; //!< Service jobs only.
    std::vector<WorkerIndex> drawn;
    Utils::TimePoint nextProbeCheck {};
};

} // namespace Placement::Internal
