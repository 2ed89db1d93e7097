#pragma once

#include "simulatedfleet.h"

namespace Bench {

/*! Places tasks by their true sizes and interference, and by the present and future service load. */
class ClairvoyantStrategy final : public Strategy {
public:
    std::string name() const override { return "clairvoyant"; }
    void initialize(SimulatedFleet& fleet) override;
    void runRound(SimulatedFleet& fleet) override;

private:
    double maxLatencyRatio(const SimulatedFleet& fleet, const ProcessorUsage& usage) const;
    bool hasFreeMemory(const SimulatedFleet& fleet, std::size_t worker, const BenchTask& task) const;
    bool place(SimulatedFleet& fleet, std::size_t task);
    void throttleWorkers(SimulatedFleet& fleet);

    double processors_ = 0;
};

} // namespace Bench
