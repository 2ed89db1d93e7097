#pragma once

#include "measurement.h"
#include "scenario.h"

#include <optional>
#include <string>

namespace FloodBench {

/*! Prints the results of one policy as a Markdown table. The first scenario is the reference. */
class Report {
public:
    /*! \param policy name of the policy. */
    Report(const FleetSize& fleet, std::string policy);

    /*! Adds a row with the results of a run. */
    void add(const Scenario& scenario, Measurement measurement);

    /*! Prints the table to the standard output. */
    void print() const;

private:
    std::string row(const Scenario& scenario, Measurement& measurement);

    std::string title_;
    std::string rows_;
    std::optional<Measurement> reference_;
    double referenceGoodput_
        = 0; // Share of the reference run's urgent requests completed in time, in the flood phase.
    double referenceP99_ = 0;
};

} // namespace FloodBench
