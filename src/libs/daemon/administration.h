#pragma once

#include "http/server.h"

#include <functional>
#include <string>

namespace Daemon {

class Readiness;

/*! Returns the metrics of a daemon in the Prometheus text format. */
using MetricsWriter = std::function<std::string()>;

/*!
    Creates the handler of the administration port, which serves /healthz, /readyz and /metrics.
    \param readiness served by /readyz; must outlive the handler.
    \param metrics called for /metrics.
*/
Http::Handler administrationHandler(const Readiness& readiness, MetricsWriter metrics);

} // namespace Daemon
