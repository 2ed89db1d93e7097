#include "connectionmonitor.h"

#include "utils/log/log.h"

namespace FleetNode {

namespace {

// Clients cause the events, so they must not cause a line each.
constexpr std::chrono::milliseconds logInterval { 10'000 };

} // namespace

ConnectionMonitor::ConnectionMonitor(NodeContext& context)
    : context_(context)
{
}

void ConnectionMonitor::onExcess(std::string_view listener, std::string_view reason, std::size_t count)
{
    context_.metrics.add("geraniumquay_connections_limited_total",
        Telemetry::label("listener", listener) + "," + Telemetry::label("reason", reason),
        static_cast<double>(count));
    unlogged_ += count;
    if (loggedAt_ != Utils::TimePoint {} && context_.now() - loggedAt_ < logInterval)
        return;
    loggedAt_ = context_.now();
    Utils::log(Utils::LogLevel::Warning, "connections-limited",
        { { "listener", std::string(listener) }, { "reason", std::string(reason) },
            { "count", std::to_string(std::exchange(unlogged_, 0)) } });
}

} // namespace FleetNode
