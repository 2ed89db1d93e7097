#pragma once

#include "fakefleet.h"

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
    void begin(FakeFleet& fleet) override;
    void round(FakeFleet& fleet) override;
    void onUsage(FakeFleet& fleet, std::size_t worker, const Placement::WorkerUsage& usage) override;
    void onEnded(FakeFleet& fleet, std::size_t task, Placement::AttemptOutcome end) override;

private:
    bool place(FakeFleet& fleet, std::size_t task);

    std::string title_;
    double batchShare_;
    bool evictsAboveThreshold_;
    std::vector<Placement::Resources> available_;
};

} // namespace Bench
