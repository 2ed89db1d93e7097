#include "serviceshard.h"

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

// A caller that waits for its answer.
struct Waiting {
    Http::Request request;
    CallerRequest caller;
    Http::Responder respond;
    Utils::TimePoint arrival {};
    Utils::TimePoint deadline {};
    Http::Response answer;
    std::string servedBy;
    Utils::Error lastError;
};

// What is to be done outside the lock.
struct Send {
    AttemptId attempt = 0;
    RequestId request = 0;
    BackendTarget target;
    Http::Request message;
    ExchangeLimits limits;
};

struct Answer {
    Http::Responder respond;
    Http::Response response;
    CallerRequest caller;
    Utils::TimePoint arrival {};
    std::string cause; // Why there is no answer of a backend server; empty if there is one.
};

struct Work {
    std::vector<Send> sends;
    std::vector<Answer> answers;
};

// An entry VM of another domain says in its answer what became of the request.
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

class ServiceShard::Private {
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

    // Runs a function on the core under the lock, then carries out its actions outside of it.
    template <typename Function> void update(const std::shared_ptr<ServiceShard>& owner, Function&& function)
    {
        Work work;
        {
            const std::lock_guard<std::mutex> guard(mutex);
            function();
            collect(work);
            arm(owner);
        }
        carryOut(owner, work);
    }

    mutable std::mutex mutex;
    Requests::RequestCore core;
    std::unordered_map<RequestId, Waiting> waiting;
    std::unordered_map<std::string, BackendTarget> targets;
    RequestId lastRequest = 0;

private:
    void collect(Work& work);
    void collectOne(const Requests::Dispatch& dispatch, Work& work);
    void collectOne(const Requests::Reject& reject, Work& work);
    void collectOne(const Requests::Finish& finish, Work& work);
    void answer(RequestId request, Http::Response response, std::string cause, Work& work);
    void count(const Answer& answer);
    ExchangeLimits limitsOf(const Waiting& caller) const;
    void arm(const std::shared_ptr<ServiceShard>& owner);
    void carryOut(const std::shared_ptr<ServiceShard>& owner, Work& work);
    void send(const std::shared_ptr<ServiceShard>& owner, Send& send);
    void finished(const Send& send, ExchangeResult result);

    Telemetry::BurnCounter& burn_;
    GatewayLimits limits_;
    BackendPool& pool_;
    boost::asio::steady_timer timer_;
    Utils::TimePoint armedFor_ = Utils::TimePoint::max();
    std::vector<Requests::Action> actions_;
};

void ServiceShard::Private::collect(Work& work)
{
    // Carrying out an action may lead to the next one.
    for (;;) {
        actions_.clear();
        core.takeActions(actions_);
        if (actions_.empty())
            return;
        for (const Requests::Action& action : actions_)
            std::visit([this, &work](const auto& one) { collectOne(one, work); }, action);
    }
}

void ServiceShard::Private::collectOne(const Requests::Dispatch& dispatch, Work& work)
{
    const auto caller = waiting.find(dispatch.request);
    const auto target = targets.find(dispatch.backend);
    if (caller == waiting.end() || target == targets.end()) {
        core.onAttemptNotSent(dispatch.attempt, now());
        return;
    }
    Http::Request message = backendRequest(caller->second.request, caller->second.caller);
    if (target->second.isEntry) {
        message.target = caller->second.request.target;
        message.headers.push_back({ "Geraniumquay-Forwarded", "1" });
    }
    work.sends.push_back(
        { dispatch.attempt, dispatch.request, target->second, std::move(message), limitsOf(caller->second) });
}

void ServiceShard::Private::collectOne(const Requests::Reject& reject, Work& work)
{
    answer(reject.request, Internal::rejectResponse(reject), Requests::rejectReasonName(reject.reason), work);
}

void ServiceShard::Private::collectOne(const Requests::Finish& finish, Work& work)
{
    const auto found = waiting.find(finish.request);
    if (found == waiting.end())
        return;
    Waiting& caller = found->second;
    if (finish.outcome == Outcome::Completed) {
        answer(
            finish.request, Internal::completedResponse(std::move(caller.answer), caller.servedBy), {}, work);
        return;
    }
    const unsigned status = finish.outcome == Outcome::NotRun ? statusUnavailable : statusBadGateway;
    std::string cause = caller.lastError.step.empty() ? "no-answer" : caller.lastError.step;
    answer(finish.request, Internal::outcomeResponse(status, finish.outcome, caller.lastError),
        std::move(cause), work);
}

void ServiceShard::Private::answer(RequestId request, Http::Response response, std::string cause, Work& work)
{
    const auto found = waiting.find(request);
    if (found == waiting.end())
        return;
    response.headers.push_back({ "Geraniumquay-Request-Id", found->second.caller.id });
    Waiting& caller = found->second;
    work.answers.push_back({ std::move(caller.respond), std::move(response), std::move(caller.caller),
        caller.arrival, std::move(cause) });
    waiting.erase(found);
}

ExchangeLimits ServiceShard::Private::limitsOf(const Waiting& caller) const
{
    ExchangeLimits limits;
    limits.deadline = caller.deadline;
    limits.connectTimeout = limits_.connectTimeout;
    limits.maxBodyBytes = limits_.maxBodyBytes;
    // A request that must not run twice waits as long as its deadline allows, on a connection that was
    // seen to work a moment ago.
    limits.progressTimeout = caller.caller.idempotent ? limits_.progressTimeout : Utils::Duration::zero();
    limits.maxIdle = caller.caller.idempotent ? limits_.maxIdle : limits_.maxIdleUnsafe;
    return limits;
}

void ServiceShard::Private::arm(const std::shared_ptr<ServiceShard>& owner)
{
    const auto next = core.nextWakeup();
    if (!next || *next >= armedFor_)
        return;
    armedFor_ = *next;
    timer_.expires_at(*next);
    timer_.async_wait([this, weak = owner->weak_from_this()](boost::system::error_code failure) {
        const auto shard = weak.lock();
        if (failure || !shard)
            return;
        update(shard, [this] {
            armedFor_ = Utils::TimePoint::max();
            core.tick(now());
        });
    });
}

void ServiceShard::Private::carryOut(const std::shared_ptr<ServiceShard>& owner, Work& work)
{
    for (Answer& one : work.answers) {
        count(one);
        one.respond(std::move(one.response));
    }
    for (Send& one : work.sends)
        send(owner, one);
}

// A request sent on by another entry VM is counted there.
void ServiceShard::Private::count(const Answer& answer)
{
    if (answer.caller.forwarded)
        return;
    const std::chrono::duration<double, std::milli> latency = now() - answer.arrival;
    const bool failed = !answer.cause.empty() || answer.response.status >= statusServerError;
    const std::string_view cause
        = answer.cause.empty() && failed ? "backend-error" : std::string_view(answer.cause);
    burn_.add({ answer.caller.service, answer.caller.priorityClass, latency.count(), !failed, cause }, now());
}

void ServiceShard::Private::send(const std::shared_ptr<ServiceShard>& owner, Send& send)
{
    const auto beforeSend = [this, owner, attempt = send.attempt] {
        const std::lock_guard<std::mutex> guard(mutex);
        return core.beginSending(attempt, now());
    };
    Http::Request message = std::move(send.message);
    const BackendAddress address = send.target.address;
    const ExchangeLimits limits = send.limits;
    pool_.exchange(address, std::move(message), limits, beforeSend,
        [this, owner, moved = std::move(send)](ExchangeResult result) {
            if (result.phase == ExchangePhase::Broken)
                pool_.retireIdle(moved.target.address);
            update(owner, [&] { finished(moved, std::move(result)); });
        });
}

void ServiceShard::Private::finished(const Send& send, ExchangeResult result)
{
    const auto found = waiting.find(send.request);
    if (found != waiting.end())
        found->second.lastError = result.error;
    switch (send.target.isEntry ? forwardedPhase(result) : result.phase) {
    case ExchangePhase::NotSent:
        core.onAttemptNotSent(send.attempt, now());
        return;
    case ExchangePhase::Refused:
        core.onAttemptRefused(send.attempt, refusalKind(result.response), now());
        return;
    case ExchangePhase::Broken:
        if (result.error.code == Utils::ErrorCode::Timeout)
            core.onAttemptTimedOut(send.attempt, now());
        else
            core.onAttemptBroken(send.attempt, now());
        return;
    case ExchangePhase::Completed:
        break;
    }
    const unsigned status = result.response.status;
    if (found != waiting.end()) {
        found->second.answer = std::move(result.response);
        found->second.servedBy = send.target.backend.name;
    }
    core.onAttemptCompleted(send.attempt, status, now());
}

ServiceShard::ServiceShard(boost::asio::io_context& context, BackendPool& pool, Telemetry::BurnCounter& burn,
    Requests::CoreParameters parameters, const GatewayLimits& limits)
    : d_(std::make_unique<Private>(context, pool, burn, std::move(parameters), limits))
{
}

ServiceShard::~ServiceShard() = default;

void ServiceShard::submit(Http::Request request, CallerRequest caller, Http::Responder respond)
{
    d_->update(shared_from_this(), [&] {
        const RequestId id = ++d_->lastRequest;
        const Utils::TimePoint arrival = now();
        const Utils::TimePoint deadline = arrival + caller.deadline;
        Requests::RequestDescription description { id, caller.service, caller.priorityClass, caller.caller,
            deadline, caller.idempotent, caller.key, caller.forwarded, request.body.size() };
        d_->waiting.emplace(id,
            Waiting {
                std::move(request), std::move(caller), std::move(respond), arrival, deadline, {}, {}, {} });
        d_->core.submit(std::move(description), arrival);
    });
}

void ServiceShard::setPolicy(const Schema::PolicyDocument& policy)
{
    d_->update(shared_from_this(), [&] { d_->core.setPolicy(policy, now()); });
}

void ServiceShard::setTargets(std::span<const BackendTarget> targets)
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

void ServiceShard::setCredits(std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry)
{
    d_->update(shared_from_this(), [&] { d_->core.setCredits(backend, slots, expiry, now()); });
}

Requests::RequestCounters ServiceShard::counters() const
{
    const std::lock_guard<std::mutex> guard(d_->mutex);
    return d_->core.counters();
}

} // namespace Gateway
