#pragma once

#include <string>

namespace Telemetry {

struct BurnReport;

/*! Formats a burn report for a terminal: one line per objective, followed by its most frequent causes. */
std::string burnToText(const BurnReport& report);

/*! Converts a burn report to a JSON object. */
std::string burnToJson(const BurnReport& report);

/*!
    Converts a burn report to an SVG bar chart without scripts. It shows the burn rates of each objective in
    its windows and a line that marks the rate 1.
*/
std::string burnToSvg(const BurnReport& report);

} // namespace Telemetry
