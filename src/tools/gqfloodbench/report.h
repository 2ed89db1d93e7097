#pragma once

#include "measurement.h"
#include "scenario.h"

#include <optional>
#include <string>

namespace FloodBench {

/*! Prints results of one policy as a Markdown table; the first scenario is the reference. */
class Report {
public:
    /*!
        \param fleet size of the fleet.
        \param policy name of the policy.
    */
    Report(const FleetSize& fleet, std::string policy);

    /*! Adds a run. \param scenario what was run. \param measurement its results. */
    void add(const Scenario& scenario, Measurement measurement);

    /*! Writes the table to the standard output. */
    void print() const;

private:
    std::string row(const Scenario& scenario, Measurement& measurement);

    std::string title_;
    std::string rows_;
    std::optional<Measurement> reference_;
    double referenceGoodput_ = 0; // Share of the most urgent class in the time of the flood.
    double referenceP99_ = 0;
};

} // namespace FloodBench
