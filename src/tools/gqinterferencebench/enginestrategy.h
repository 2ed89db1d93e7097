#pragma once

#include "simulatedfleet.h"

#include <map>

namespace Bench {

/*! Strategy under test: uses PlacementEngine and PreemptionController. */
class EngineStrategy final : public Strategy {
public:
    /*! \param allowsLessThanDeclared whether tasks may get less capacity than they declare. */
    explicit EngineStrategy(bool allowsLessThanDeclared);

    std::string name() const override { return title_; }
    void initialize(SimulatedFleet& fleet) override;
    void runRound(SimulatedFleet& fleet) override;
    void onUsage(SimulatedFleet& fleet, std::size_t worker, const Placement::WorkerUsage& usage) override;
    void onEnded(SimulatedFleet& fleet, std::size_t task, Placement::AttemptOutcome outcome) override;
    void onWorkerStateChanged(SimulatedFleet& fleet, std::size_t worker, bool isLive) override;

private:
    Placement::TaskRequest makeRequest(const SimulatedFleet& fleet, std::size_t task) const;
    void addWorker(SimulatedFleet& fleet, std::size_t worker);
    bool place(SimulatedFleet& fleet, std::size_t task);
    void evictForTask(SimulatedFleet& fleet, std::size_t task);
    void preemptOn(SimulatedFleet& fleet, std::size_t worker, const Placement::PreemptionCommand& command);
    std::vector<std::size_t> placementOrder(const SimulatedFleet& fleet) const;

    std::string title_;
    Placement::PlacementEngine engine_;
    Placement::PreemptionController controller_;
    std::mt19937_64 random_ { 1 };
    std::vector<Placement::WorkerIndex> engineIndices_; //!< Index in the engine, by worker.
    std::vector<std::size_t> workersByEngineIndex_;
    std::map<std::size_t, double> lastEvictionAt_; //!< Seconds since the beginning, by urgent task.
    Placement::AttemptId nextReplicaAttempt_;
};

} // namespace Bench
