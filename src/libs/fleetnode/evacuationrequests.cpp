#include "evacuationrequests.h"

#include "utils/log/log.h"

#include <algorithm>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Part of the time until a request must be in force that is left for a start to reach its worker, and for the
// way of the read itself.
constexpr milliseconds startReserve { 1000 };

const std::string& metricName()
{
    static const std::string name = "geraniumquay_domain_evacuated";
    return name;
}

} // namespace

EvacuationRequests::EvacuationRequests(NodeContext& context)
    : context_(context)
{
}

bool EvacuationRequests::areInForce() const
{
    return context_.settings.dispatch().evacuation_ms() > 0;
}

void EvacuationRequests::update(const TableWatcher::Rows& rows)
{
    if (!areInForce())
        return;
    const std::string& prefix = context_.platform.evacuationKeyPrefix;
    std::set<std::string> requested;
    for (auto row = rows.lower_bound(prefix); row != rows.end() && row->first.starts_with(prefix); ++row)
        requested.insert(row->first.substr(prefix.size()));
    for (const std::string& domain : requested) {
        if (domains_.contains(domain))
            continue;
        Utils::log(Utils::LogLevel::Info, "evacuation-requested", { { "domain", domain } });
        context_.metrics.set(metricName(), Telemetry::label("domain", domain), 1);
    }
    for (const std::string& domain : domains_) {
        if (requested.contains(domain))
            continue;
        Utils::log(Utils::LogLevel::Info, "evacuation-withdrawn", { { "domain", domain } });
        context_.metrics.set(metricName(), Telemetry::label("domain", domain), 0);
        reportedDomains_.erase(domain);
    }
    domains_ = std::move(requested);
}

Utils::TimePoint EvacuationRequests::knownUntil(Utils::TimePoint readAt) const
{
    if (!areInForce())
        return Utils::TimePoint::max();
    if (readAt == Utils::TimePoint {})
        return Utils::TimePoint::min();
    const milliseconds limit(context_.settings.dispatch().evacuation_ms());
    return readAt + std::max(limit - startReserve, limit / 2);
}

void EvacuationRequests::reportUnknown(const std::set<std::string>& knownDomains)
{
    for (const std::string& domain : domains_) {
        if (knownDomains.contains(domain) || !reportedDomains_.insert(domain).second)
            continue;
        Utils::log(Utils::LogLevel::Warning, "evacuation-of-unknown-domain", { { "domain", domain } });
    }
}

} // namespace FleetNode
