#include "passmonitor.h"

#include "nodecontext.h"

#include "fleet/stepbudget.h"

#include "utils/log/log.h"

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// A pass is long if it keeps the owner's other work waiting for a noticeable part of a tick.
constexpr std::size_t longPassSteps = 100'000;
constexpr milliseconds longPassTime { 50 };

std::string toMilliseconds(Utils::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

// Lists the steps by kind, such as "search 1200, relocation 80000".
std::string describe(const Fleet::StepBudget& steps)
{
    std::string text;
    for (std::size_t index = 0; index < Fleet::stepKindCount; ++index) {
        const auto kind = static_cast<Fleet::StepKind>(index);
        if (steps.spent(kind) == 0)
            continue;
        text += text.empty() ? "" : ", ";
        text += std::string(Fleet::nameOf(kind)) + " " + std::to_string(steps.spent(kind));
    }
    return text;
}

} // namespace

PassMonitor::PassMonitor(NodeContext& context, std::string shard)
    : context_(context)
    , shard_(std::move(shard))
{
}

void PassMonitor::onPass(std::string_view pass, const Fleet::StepBudget& steps, Utils::Duration duration,
    const std::function<OwnerAges()>& ages)
{
    if (steps.spent() == 0)
        return;
    const std::string label = Telemetry::label("pass", pass);
    context_.metrics.observe("geraniumquay_pass_steps", label, static_cast<double>(steps.spent()));
    context_.metrics.observe(
        "geraniumquay_pass_seconds", label, std::chrono::duration<double>(duration).count());
    if (steps.spent() < longPassSteps && duration < longPassTime)
        return;
    context_.metrics.add("geraniumquay_long_passes_total", label);
    const OwnerAges age = ages();
    Utils::log(Utils::LogLevel::Warning, "pass-long",
        { { "shard", shard_ }, { "pass", std::string(pass) }, { "ms", toMilliseconds(duration) },
            { "steps", std::to_string(steps.spent()) }, { "by_kind", describe(steps) },
            { "list_age_ms", toMilliseconds(age.workerList) },
            { "commit_age_ms", toMilliseconds(age.transaction) },
            { "shortest_lease_ms", age.lease ? toMilliseconds(*age.lease) : "" } });
}

} // namespace FleetNode
