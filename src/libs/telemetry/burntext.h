#pragma once

#include <string>

namespace Telemetry {

struct BurnReport;

/*!
    A burn report as a table for a terminal.
    \param report the report.
    \return one line for each objective, followed by its largest causes.
*/
std::string burnToText(const BurnReport& report);

/*!
    A burn report as JSON.
    \param report the report.
    \return one object.
*/
std::string burnToJson(const BurnReport& report);

/*!
    A burn report as a plot: burn rates of each objective over its windows, with the line of rate 1.
    \param report the report.
    \return an SVG document without scripts.
*/
std::string burnToSvg(const BurnReport& report);

} // namespace Telemetry
