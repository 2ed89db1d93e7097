#pragma once

#include "requests/requestcounters.h"

#include <string>
#include <string_view>

namespace Gateway::Internal {

/*! Appends the counters of \a service to \a text in the Prometheus text format. */
void appendMetrics(std::string_view service, const Requests::RequestCounters& counters, std::string& text);

} // namespace Gateway::Internal
