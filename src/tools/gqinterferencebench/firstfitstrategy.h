#pragma once

#include "simulatedfleet.h"

namespace Bench {

/*! Places by first fit of declared sizes under a cap, with or without evictions above a threshold. */
class FirstFitStrategy final : public Strategy {
public:
    /*!
        \param title name of the strategy in the table.
        \param batchShare maximum share of a worker for batch tasks, by their declared sizes.
        \param evictsAboveThreshold whether each sample over the objective evicts one task.
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
