#include "callerservice.h"

#include "shardownership.h"

#include "fleet/jobrows.h"

#include "utils/log/log.h"

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Time limit of requests whose caller does not specify how long it waits.
constexpr milliseconds defaultTimeout { 3000 };
// Retry delay for callers of a node that has just started; it receives its configuration within about a
// second.
constexpr std::uint32_t noConfigurationRetryAfterMs = 1000;

Ports::CallerResponse refusal(
    Ports::CallerOutcome outcome, std::string message, std::uint32_t retryAfterMs = 0)
{
    Ports::CallerResponse answer;
    answer.outcome = outcome;
    answer.message = std::move(message);
    answer.retryAfterMs = retryAfterMs;
    return answer;
}

std::string queueId(const Ports::Queue& queue)
{
    return queue.host + queue.pathPrefix;
}

void applyQueue(const Ports::Queue& queue, std::string_view id, FleetSchema::JobSpec& spec)
{
    spec.set_id(std::string(id));
    spec.set_queue(queueId(queue));
    spec.set_service(queue.service);
    spec.set_priority(queue.priority);
    spec.set_max_failures(queue.maxFailures);
    spec.set_slack_factor(queue.slackFactor);
    spec.set_target_ms(queue.targetMs);
    spec.set_needs_advice(queue.needsAdvice);
}

const char* nameOf(Ports::CallerOutcome outcome)
{
    static constexpr const char* names[] = { "done", "no-such-queue", "no-such-job", "invalid", "too-large",
        "overloaded", "unavailable", "undecided" };
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace

CallerService::CallerService(
    NodeContext& context, const Fleet::QueueTable& queues, JobRouter& router, const ShardOwnership& ownership)
    : context_(context)
    , queues_(queues)
    , router_(router)
    , ownership_(ownership)
{
}

void CallerService::handle(const Http::Request& request, const Http::Responder& respond)
{
    const auto answer = [this, respond, startedAt = context_.now(), method = request.method,
                            target = request.target](const Ports::CallerResponse& result) {
        const double tookMs = std::chrono::duration<double, std::milli>(context_.now() - startedAt).count();
        context_.metrics.add(
            "geraniumquay_caller_requests_total", Telemetry::label("outcome", nameOf(result.outcome)));
        context_.metrics.observe("geraniumquay_caller_request_milliseconds", {}, tookMs);
        if (result.outcome != Ports::CallerOutcome::Done) {
            Utils::log(Utils::LogLevel::Info, "request-refused",
                { { "method", method }, { "target", target }, { "outcome", nameOf(result.outcome) },
                    { "reason", result.message }, { "ms", std::to_string(tookMs) } });
        }
        respond(context_.platform.encodeResponse(result));
    };
    if (queues_.revision() == 0)
        return answer(
            refusal(Ports::CallerOutcome::Unavailable, "no configuration yet", noConfigurationRetryAfterMs));
    const std::uint64_t limit = queues_.configuration().maxBodyBytes;
    if (limit > 0 && request.body.size() > limit)
        return answer(refusal(Ports::CallerOutcome::TooLarge, "the body is too large"));
    auto call = context_.platform.decodeRequest(request);
    if (!Utils::isOk(call))
        return answer(refusal(Ports::CallerOutcome::Invalid, Utils::error(call).toString()));
    dispatch(Utils::value(std::move(call)), answer);
}

void CallerService::dispatch(Ports::CallerRequest call, JobRouter::ResponseHandler handler)
{
    const Fleet::QueueMatch match = queues_.find(call.host, call.path);
    if (!match.queue)
        return handler(refusal(Ports::CallerOutcome::NoSuchQueue, "no such queue"));
    const milliseconds timeout = call.deadlineMs > 0 ? milliseconds(call.deadlineMs) : defaultTimeout;
    const Utils::TimePoint deadline = context_.now() + timeout;
    if (match.jobId.empty()) {
        if (call.action != Ports::CallerAction::Query)
            return handler(refusal(Ports::CallerOutcome::Invalid, "the job's identifier is missing"));
        Ports::CallerResponse answer;
        answer.hasPendingJobs = true;
        answer.pendingJobs = ownership_.pendingJobs(queueId(*match.queue));
        return handler(answer);
    }
    const std::string id(match.jobId);
    if (!Fleet::isJobId(id)) {
        const bool isSubmission = call.action == Ports::CallerAction::Submit;
        return handler(isSubmission ? refusal(Ports::CallerOutcome::Invalid,
                           "the identifier of a job has 1 to 64 letters and digits")
                                    : refusal(Ports::CallerOutcome::NoSuchJob, "no such job"));
    }
    switch (call.action) {
    case Ports::CallerAction::Query:
        return router_.query(id, deadline, std::move(handler));
    case Ports::CallerAction::Cancel:
        return router_.cancel(id, deadline, std::move(handler));
    case Ports::CallerAction::Submit:
        break;
    }
    applyQueue(*match.queue, id, call.spec);
    Fleet::removeRepeatedPredecessors(call.spec);
    const std::string fault = Fleet::validateJobSpec(call.spec);
    if (!fault.empty())
        return handler(refusal(Ports::CallerOutcome::Invalid, fault));
    const std::string excess = Fleet::validateJobSize(call.spec, maxRowBytes(context_));
    if (!excess.empty())
        return handler(refusal(Ports::CallerOutcome::TooLarge, excess));
    router_.submit(call.spec, deadline, std::move(handler));
}

} // namespace FleetNode
