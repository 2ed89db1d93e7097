#include "servicedispatcher.h"

#include "backendpool.h"
#include "outcomeresponse.h"

#include "http/headers.h"
#include "telemetry/burncounter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <mutex>
#include <unordered_map>
#include <vector>

namespace Gateway {

namespace {

using Requests::AttemptId;
using Requests::Outcome;
using Requests::RequestId;

constexpr unsigned statusServerError = 500;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr char outcomeHeader[] = "Geraniumquay-Outcome";

Utils::TimePoint now()
{
    return std::chrono::steady_clock::now();
}

// An accepted request whose caller waits for the response.
struct WaitingRequest {
    Http::Request request;
    CallerRequest caller;
    Http::Responder respond;
    Utils::TimePoint arrival {};
    Utils::TimePoint deadline {};
    Http::Response backendResponse;
    std::string servedBy;
    Utils::Error lastError;
};

// An exchange to start once the lock is released.
struct PendingSend {
    AttemptId attempt = 0;
    RequestId request = 0;
    BackendTarget target;
    Http::Request message;
    ExchangeLimits limits;
};

struct PendingResponse {
    Http::Responder respond;
    Http::Response response;
    CallerRequest caller;
    Utils::TimePoint arrival {};
    std::string cause; // Why there is no response of a backend server; empty if there is one.
};

struct DeferredWork {
    std::vector<PendingSend> sends;
    std::vector<PendingResponse> responses;
};

// Returns how far an exchange got with an entry VM of another failure domain, which reports the outcome of
// the request in a header of its response.
ExchangePhase forwardedPhase(const ExchangeResult& result)
{
    if (result.phase != ExchangePhase::Completed)
        return result.phase;
    const auto outcome = Http::findHeader(result.response.headers, outcomeHeader).value_or("");
    if (outcome == Requests::outcomeName(Outcome::Completed))
        return ExchangePhase::Completed;
    return outcome == Requests::outcomeName(Outcome::NotRun) ? ExchangePhase::Refused : ExchangePhase::Broken;
}

Requests::RefusalKind refusalKind(const Http::Response& response)
{
    const auto connection = Http::findHeader(response.headers, "Connection").value_or("");
    return Http::equalNames(connection, "close") ? Requests::RefusalKind::Draining
                                                 : Requests::RefusalKind::Overloaded;
}

} // namespace

class ServiceDispatcher::Private {
public:
    Private(boost::asio::io_context& context, BackendPool& pool, Telemetry::BurnCounter& burn,
        Requests::CoreParameters parameters, const GatewayLimits& limits)
        : core(std::move(parameters))
        , burn_(burn)
        , limits_(limits)
        , pool_(pool)
        , timer_(context)
    {
    }

    // Runs a function on the core with the lock held, then executes the resulting actions without the lock.
    template <typename Function>
    void update(const std::shared_ptr<ServiceDispatcher>& owner, Function&& function)
    {
        DeferredWork work;
        {
            const std::lock_guard<std::mutex> guard(mutex);
            function();
            collectActions(work);
            armTimer(owner);
        }
        execute(owner, work);
    }

    mutable std::mutex mutex;
    Requests::RequestCore core;
    std::unordered_map<RequestId, WaitingRequest> waitingRequests;
    std::unordered_map<std::string, BackendTarget> targets;
    RequestId lastRequestId = 0;

private:
    void collectActions(DeferredWork& work);
    void collectAction(const Requests::Dispatch& dispatch, DeferredWork& work);
    void collectAction(const Requests::Reject& reject, DeferredWork& work);
    void collectAction(const Requests::Finish& finish, DeferredWork& work);
    void addResponse(RequestId request, Http::Response response, std::string cause, DeferredWork& work);
    void recordForBurnReport(const PendingResponse& pendingResponse);
    ExchangeLimits exchangeLimits(const WaitingRequest& waitingRequest) const;
    void armTimer(const std::shared_ptr<ServiceDispatcher>& owner);
    void execute(const std::shared_ptr<ServiceDispatcher>& owner, DeferredWork& work);
    void startExchange(const std::shared_ptr<ServiceDispatcher>& owner, PendingSend& pendingSend);
    void handleExchangeResult(const PendingSend& pendingSend, ExchangeResult result);

    Telemetry::BurnCounter& burn_;
    GatewayLimits limits_;
    BackendPool& pool_;
    boost::asio::steady_timer timer_;
    Utils::TimePoint timerExpiry_ = Utils::TimePoint::max();
    std::vector<Requests::Action> actions_;
};

void ServiceDispatcher::Private::collectActions(DeferredWork& work)
{
    // Repeats until there are no more actions, because handling one can make the core emit others.
    for (;;) {
        actions_.clear();
        core.takeActions(actions_);
        if (actions_.empty())
            return;
        for (const Requests::Action& action : actions_)
            std::visit(
                [this, &work](const auto& concreteAction) { collectAction(concreteAction, work); }, action);
    }
}

void ServiceDispatcher::Private::collectAction(const Requests::Dispatch& dispatch, DeferredWork& work)
{
    const auto waitingRequest = waitingRequests.find(dispatch.request);
    const auto target = targets.find(dispatch.backend);
    if (waitingRequest == waitingRequests.end() || target == targets.end()) {
        core.onAttemptNotSent(dispatch.attempt, now());
        return;
    }
    Http::Request message = backendRequest(waitingRequest->second.request, waitingRequest->second.caller);
    if (target->second.isEntry) {
        message.target = waitingRequest->second.request.target;
        message.headers.push_back({ "Geraniumquay-Forwarded", "1" });
    }
    work.sends.push_back({ dispatch.attempt, dispatch.request, target->second, std::move(message),
        exchangeLimits(waitingRequest->second) });
}

void ServiceDispatcher::Private::collectAction(const Requests::Reject& reject, DeferredWork& work)
{
    addResponse(
        reject.request, Internal::rejectResponse(reject), Requests::rejectReasonName(reject.reason), work);
}

void ServiceDispatcher::Private::collectAction(const Requests::Finish& finish, DeferredWork& work)
{
    const auto found = waitingRequests.find(finish.request);
    if (found == waitingRequests.end())
        return;
    WaitingRequest& waitingRequest = found->second;
    if (finish.outcome == Outcome::Completed) {
        addResponse(finish.request,
            Internal::completedResponse(std::move(waitingRequest.backendResponse), waitingRequest.servedBy),
            {}, work);
        return;
    }
    const unsigned status = finish.outcome == Outcome::NotRun ? statusUnavailable : statusBadGateway;
    std::string cause = waitingRequest.lastError.step.empty() ? "no-answer" : waitingRequest.lastError.step;
    addResponse(finish.request, Internal::outcomeResponse(status, finish.outcome, waitingRequest.lastError),
        std::move(cause), work);
}

void ServiceDispatcher::Private::addResponse(
    RequestId request, Http::Response response, std::string cause, DeferredWork& work)
{
    const auto found = waitingRequests.find(request);
    if (found == waitingRequests.end())
        return;
    response.headers.push_back({ "Geraniumquay-Request-Id", found->second.caller.id });
    WaitingRequest& waitingRequest = found->second;
    work.responses.push_back({ std::move(waitingRequest.respond), std::move(response),
        std::move(waitingRequest.caller), waitingRequest.arrival, std::move(cause) });
    waitingRequests.erase(found);
}

ExchangeLimits ServiceDispatcher::Private::exchangeLimits(const WaitingRequest& waitingRequest) const
{
    ExchangeLimits limits;
    limits.deadline = waitingRequest.deadline;
    limits.connectTimeout = limits_.connectTimeout;
    limits.maxBodyBytes = limits_.maxBodyBytes;
    // A request that must not run twice cannot be retried after a timeout or on a connection that turns out
    // to be closed. So it may wait until its deadline, and only uses connections that worked very recently.
    limits.progressTimeout
        = waitingRequest.caller.idempotent ? limits_.progressTimeout : Utils::Duration::zero();
    limits.maxIdle = waitingRequest.caller.idempotent ? limits_.maxIdle : limits_.maxIdleNonIdempotent;
    return limits;
}

void ServiceDispatcher::Private::armTimer(const std::shared_ptr<ServiceDispatcher>& owner)
{
    const auto next = core.nextWakeup();
    if (!next || *next >= timerExpiry_)
        return;
    timerExpiry_ = *next;
    timer_.expires_at(*next);
    timer_.async_wait([this, weak = owner->weak_from_this()](boost::system::error_code failure) {
        const auto dispatcher = weak.lock();
        if (failure || !dispatcher)
            return;
        update(dispatcher, [this] {
            timerExpiry_ = Utils::TimePoint::max();
            core.tick(now());
        });
    });
}

void ServiceDispatcher::Private::execute(const std::shared_ptr<ServiceDispatcher>& owner, DeferredWork& work)
{
    for (PendingResponse& pendingResponse : work.responses) {
        recordForBurnReport(pendingResponse);
        pendingResponse.respond(std::move(pendingResponse.response));
    }
    for (PendingSend& pendingSend : work.sends)
        startExchange(owner, pendingSend);
}

// Ignores a request forwarded by another entry VM, because that VM counts it.
void ServiceDispatcher::Private::recordForBurnReport(const PendingResponse& pendingResponse)
{
    if (pendingResponse.caller.forwarded)
        return;
    const std::chrono::duration<double, std::milli> latency = now() - pendingResponse.arrival;
    const bool failed
        = !pendingResponse.cause.empty() || pendingResponse.response.status >= statusServerError;
    const std::string_view cause
        = pendingResponse.cause.empty() && failed ? "backend-error" : std::string_view(pendingResponse.cause);
    burn_.add({ pendingResponse.caller.service, pendingResponse.caller.priorityClass, latency.count(),
                  !failed, cause },
        now());
}

void ServiceDispatcher::Private::startExchange(
    const std::shared_ptr<ServiceDispatcher>& owner, PendingSend& pendingSend)
{
    const auto beforeSend = [this, owner, attempt = pendingSend.attempt] {
        const std::lock_guard<std::mutex> guard(mutex);
        return core.beginSending(attempt, now());
    };
    Http::Request message = std::move(pendingSend.message);
    const BackendAddress address = pendingSend.target.address;
    const ExchangeLimits limits = pendingSend.limits;
    pool_.exchange(address, std::move(message), limits, beforeSend,
        [this, owner, movedSend = std::move(pendingSend)](ExchangeResult result) {
            if (result.phase == ExchangePhase::Broken)
                pool_.closeIdle(movedSend.target.address);
            update(owner, [&] { handleExchangeResult(movedSend, std::move(result)); });
        });
}

void ServiceDispatcher::Private::handleExchangeResult(const PendingSend& pendingSend, ExchangeResult result)
{
    const auto found = waitingRequests.find(pendingSend.request);
    if (found != waitingRequests.end())
        found->second.lastError = result.error;
    switch (pendingSend.target.isEntry ? forwardedPhase(result) : result.phase) {
    case ExchangePhase::NotSent:
        core.onAttemptNotSent(pendingSend.attempt, now());
        return;
    case ExchangePhase::Refused:
        core.onAttemptRefused(pendingSend.attempt, refusalKind(result.response), now());
        return;
    case ExchangePhase::Broken:
        if (result.error.code == Utils::ErrorCode::Timeout)
            core.onAttemptTimedOut(pendingSend.attempt, now());
        else
            core.onAttemptBroken(pendingSend.attempt, now());
        return;
    case ExchangePhase::Completed:
        break;
    }
    const unsigned status = result.response.status;
    if (found != waitingRequests.end()) {
        found->second.backendResponse = std::move(result.response);
        found->second.servedBy = pendingSend.target.backend.name;
    }
    core.onAttemptCompleted(pendingSend.attempt, status, now());
}

ServiceDispatcher::ServiceDispatcher(boost::asio::io_context& context, BackendPool& pool,
    Telemetry::BurnCounter& burn, Requests::CoreParameters parameters, const GatewayLimits& limits)
    : d_(std::make_unique<Private>(context, pool, burn, std::move(parameters), limits))
{
}

ServiceDispatcher::~ServiceDispatcher() = default;

void ServiceDispatcher::submit(Http::Request request, CallerRequest caller, Http::Responder respond)
{
    d_->update(shared_from_this(), [&] {
        const RequestId id = ++d_->lastRequestId;
        const Utils::TimePoint arrival = now();
        const Utils::TimePoint deadline = arrival + caller.deadline;
        Requests::RequestDescription description { id, caller.service, caller.priorityClass, caller.callerId,
            deadline, caller.idempotent, caller.key, caller.forwarded, request.body.size() };
        d_->waitingRequests.emplace(id,
            WaitingRequest {
                std::move(request), std::move(caller), std::move(respond), arrival, deadline, {}, {}, {} });
        d_->core.submit(std::move(description), arrival);
    });
}

void ServiceDispatcher::setPolicy(const Schema::PolicyDocument& policy)
{
    d_->update(shared_from_this(), [&] { d_->core.setPolicy(policy, now()); });
}

void ServiceDispatcher::setTargets(std::span<const BackendTarget> targets)
{
    d_->update(shared_from_this(), [&] {
        std::vector<Requests::Backend> backends;
        d_->targets.clear();
        for (const BackendTarget& target : targets) {
            d_->targets[target.backend.name] = target;
            backends.push_back(target.backend);
        }
        d_->core.setBackends(backends, now());
    });
}

void ServiceDispatcher::setCredits(std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry)
{
    d_->update(shared_from_this(), [&] { d_->core.setCredits(backend, slots, expiry, now()); });
}

Requests::RequestCounters ServiceDispatcher::counters() const
{
    const std::lock_guard<std::mutex> guard(d_->mutex);
    return d_->core.counters();
}

} // namespace Gateway
