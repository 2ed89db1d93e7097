#include "gatewaymetrics.h"

#include "requests/requesttypes.h"

#include <initializer_list>
#include <utility>

namespace Gateway::Internal {

namespace {

using Labels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

template <typename Value>
void appendLine(std::string_view name, Labels labels, Value value, std::string& text)
{
    text += "geraniumquay_";
    text += name;
    char separator = '{';
    for (const auto& [labelName, labelValue] : labels) {
        text += separator;
        text += labelName;
        text += "=\"";
        text += labelValue;
        text += '"';
        separator = ',';
    }
    text += "} " + std::to_string(value) + "\n";
}

void appendClassMetrics(std::string_view service, std::string_view name,
    const Requests::ClassCounters& counters, std::string& text)
{
    const Labels labels { { "service", service }, { "class", name } };
    appendLine("requests_submitted_total", labels, counters.submitted, text);
    appendLine("requests_admitted_total", labels, counters.admitted, text);
    appendLine("requests_retried_total", labels, counters.retried, text);
    appendLine("requests_queue_seconds_total", labels, counters.queueSeconds, text);
    appendLine("requests_queued", labels, counters.queued, text);
    appendLine("requests_running", labels, counters.running, text);
    for (std::size_t i = 0; i < counters.rejected.size(); ++i) {
        const auto reason = Requests::rejectReasonName(static_cast<Requests::RejectReason>(i));
        appendLine("requests_rejected_total",
            { { "service", service }, { "class", name }, { "reason", reason } }, counters.rejected[i], text);
    }
    for (std::size_t i = 0; i < counters.finished.size(); ++i) {
        const auto outcome = Requests::outcomeName(static_cast<Requests::Outcome>(i));
        appendLine("requests_finished_total",
            { { "service", service }, { "class", name }, { "outcome", outcome } }, counters.finished[i],
            text);
    }
}

void appendBackendMetrics(std::string_view service, std::string_view name,
    const Requests::BackendCounters& counters, std::string& text)
{
    const Labels labels { { "service", service }, { "backend", name } };
    appendLine("backend_dispatched_total", labels, counters.dispatched, text);
    appendLine("backend_failed_total", labels, counters.failed, text);
    appendLine("backend_refused_total", labels, counters.refused, text);
    appendLine("backend_ejections_total", labels, counters.ejections, text);
    appendLine("backend_running", labels, counters.running, text);
    appendLine("backend_credits", labels, counters.credits, text);
    appendLine("backend_ejected", labels, counters.isEjected ? 1 : 0, text);
}

} // namespace

void appendMetrics(std::string_view service, const Requests::RequestCounters& counters, std::string& text)
{
    for (const auto& [name, classCounters] : counters.classes)
        appendClassMetrics(service, name, classCounters, text);
    for (const auto& [name, backendCounters] : counters.backends)
        appendBackendMetrics(service, name, backendCounters, text);
}

} // namespace Gateway::Internal
