#include "administration.h"

#include "readiness.h"

#include "http/headers.h"

namespace Daemon {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;

} // namespace

Http::Handler administrationHandler(const Readiness& readiness, MetricsWriter metrics)
{
    return [&readiness, writer = std::move(metrics)](
               const Http::Request& request, const Http::Responder& respond) {
        if (request.target == "/healthz")
            return respond(Http::jsonResponse(statusOk, "{\"status\":\"ok\"}"));
        if (request.target == "/readyz") {
            const unsigned status = readiness.isReady() ? statusOk : statusUnavailable;
            return respond(Http::jsonResponse(status, readiness.toJson()));
        }
        if (request.target == "/metrics") {
            Http::Response response { statusOk, { { "Content-Type", "text/plain; version=0.0.4" } },
                writer() };
            return respond(std::move(response));
        }
        respond(Http::jsonResponse(
            statusNotFound, "{\"error\":\"not-found\",\"step\":\"administration\",\"peer\":\"\"}"));
    };
}

} // namespace Daemon
