#include "loopmonitor.h"

#include "nodecontext.h"

#include "utils/log/log.h"

#include <algorithm>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds loggedLateness { 250 };

} // namespace

LoopMonitor::LoopMonitor(NodeContext& context)
    : context_(context)
{
}

void LoopMonitor::onTick(Utils::TimePoint dueAt, Utils::Duration heartbeatAge)
{
    const Utils::Duration lateness = std::max(Utils::Duration::zero(), context_.now() - dueAt);
    context_.metrics.observe(
        "geraniumquay_loop_late_seconds", {}, std::chrono::duration<double>(lateness).count());
    if (lateness <= loggedLateness)
        return;
    const auto toMs = [](Utils::Duration duration) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
    };
    Utils::log(Utils::LogLevel::Warning, "loop-late",
        { { "late_ms", toMs(lateness) }, { "heartbeat_age_ms", toMs(heartbeatAge) } });
}

} // namespace FleetNode
