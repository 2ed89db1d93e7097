#pragma once

#include "simulatedfleet.h"

namespace Bench {

/*! First fit by declared size under a cap, with or without evictions at a threshold. */
class FirstFitStrategy final : public Strategy {
public:
    /*!
        \param title name in the table.
        \param batchShare share of a worker that batch tasks may be given by their declared sizes.
        \param evictsAboveThreshold whether one task leaves with each sample over the objective.
    */
    FirstFitStrategy(std::string title, double batchShare, bool evictsAboveThreshold);

    std::string name() const override { return title_; }
    void initialize(SimulatedFleet& fleet) override;
    void runRound(SimulatedFleet& fleet) override;
    void onUsage(SimulatedFleet& fleet, std::size_t worker, const Placement::WorkerUsage& usage) override;
    void onEnded(SimulatedFleet& fleet, std::size_t task, Placement::AttemptOutcome outcome) override;

private:
    bool place(SimulatedFleet& fleet, std::size_t task);

    std::string title_;
    double batchShare_;
    bool evictsAboveThreshold_;
    std::vector<Placement::Resources> available_;
};

} // namespace Bench
