#pragma once

#include "http/server.h"

#include <functional>
#include <string>

namespace Daemon {

class Readiness;

/*! Writes a daemon's metrics as Prometheus text. */
using MetricsWriter = std::function<std::string()>;

/*!
    Makes the handler of the administration port: /healthz, /readyz and /metrics.
    \param readiness conditions shown by /readyz; must outlive the handler.
    \param metrics writes the text of /metrics.
    \return the handler.
*/
Http::Handler administrationHandler(const Readiness& readiness, MetricsWriter metrics);

} // namespace Daemon
