#include "gatewaymetrics.h"

#include "requests/requesttypes.h"

#include <initializer_list>
#include <utility>

namespace Gateway::Internal {

namespace {

using Labels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

template <typename Number> void line(std::string_view name, Labels labels, Number value, std::string& text)
{
    text += "geraniumquay_";
    text += name;
    char separator = '{';
    for (const auto& [label, content] : labels) {
        text += separator;
        text += label;
        text += "=\"";
        text += content;
        text += '"';
        separator = ',';
    }
    text += "} " + std::to_string(value) + "\n";
}

void appendClass(
    std::string_view service, std::string_view name, const Requests::ClassCounters& one, std::string& text)
{
    const Labels labels { { "service", service }, { "class", name } };
    line("requests_submitted_total", labels, one.submitted, text);
    line("requests_admitted_total", labels, one.admitted, text);
    line("requests_retried_total", labels, one.retried, text);
    line("requests_queue_seconds_total", labels, one.queueSeconds, text);
    line("requests_queued", labels, one.queued, text);
    line("requests_running", labels, one.running, text);
    for (std::size_t i = 0; i < one.rejected.size(); ++i) {
        const auto reason = Requests::rejectReasonName(static_cast<Requests::RejectReason>(i));
        line("requests_rejected_total", { { "service", service }, { "class", name }, { "reason", reason } },
            one.rejected[i], text);
    }
    for (std::size_t i = 0; i < one.finished.size(); ++i) {
        const auto outcome = Requests::outcomeName(static_cast<Requests::Outcome>(i));
        line("requests_finished_total", { { "service", service }, { "class", name }, { "outcome", outcome } },
            one.finished[i], text);
    }
}

void appendBackend(
    std::string_view service, std::string_view name, const Requests::BackendCounters& one, std::string& text)
{
    const Labels labels { { "service", service }, { "backend", name } };
    line("backend_dispatched_total", labels, one.dispatched, text);
    line("backend_failed_total", labels, one.failed, text);
    line("backend_refused_total", labels, one.refused, text);
    line("backend_ejections_total", labels, one.ejections, text);
    line("backend_running", labels, one.running, text);
    line("backend_credits", labels, one.credits, text);
    line("backend_ejected", labels, one.isEjected ? 1 : 0, text);
}

} // namespace

void appendMetrics(std::string_view service, const Requests::RequestCounters& counters, std::string& text)
{
    for (const auto& [name, one] : counters.classes)
        appendClass(service, name, one, text);
    for (const auto& [name, one] : counters.backends)
        appendBackend(service, name, one, text);
}

} // namespace Gateway::Internal
