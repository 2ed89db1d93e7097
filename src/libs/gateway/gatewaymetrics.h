#pragma once

#include "requests/requestcounters.h"

#include <string>
#include <string_view>

namespace Gateway::Internal {

/*!
    Appends the counters of one service as Prometheus text.
    \param service name of the service.
    \param counters its counters.
    \param text receives the lines.
*/
void appendMetrics(std::string_view service, const Requests::RequestCounters& counters, std::string& text);

} // namespace Gateway::Internal
