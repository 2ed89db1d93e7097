#include "requestcore.h"

#include "requestcoreprivate.h"

#include <policy.pb.h>

#include <algorithm>

namespace Requests {

using Internal::AttemptState;
using Internal::RequestState;

namespace {

constexpr Utils::Duration queueRecheckInterval
    = std::chrono::milliseconds(20); // While requests wait; no event signals the end of a target's pause.
constexpr std::uint32_t minFailureStatus = 500;

} // namespace

RequestCore::RequestCore(CoreParameters parameters)
    : d_(std::make_unique<Private>(std::move(parameters)))
{
}

RequestCore::~RequestCore() = default;

void RequestCore::setPolicy(const Schema::PolicyDocument& policy, Utils::TimePoint now)
{
    std::vector<ClassRule> rules;
    for (const Schema::PriorityClassPolicy& source : policy.priority_class()) {
        rules.push_back({ .name = source.name(),
            .rank = source.rank(),
            .guaranteedShare = source.guaranteed_percent() / 100,
            .ceilingShare = source.ceiling_percent() / 100,
            .maxQueueTime = std::chrono::milliseconds(source.max_queue_ms()) });
    }
    if (rules.empty())
        rules.push_back({ .name = "default" });
    std::vector<std::string> names;
    for (std::size_t index = 0; index < d_->queue_.classCount(); ++index)
        names.push_back(d_->queue_.className(index));
    d_->queue_.setRules(rules);
    for (auto& [id, state] : d_->requests_)
        state.classIndex = d_->queue_.classIndex(names[state.classIndex], {});
    for (auto& [id, attempt] : d_->attempts_)
        attempt.classIndex = d_->queue_.classIndex(names[attempt.classIndex], {});
    for (auto& [when, attempt] : d_->heldSlots_)
        attempt.classIndex = d_->queue_.classIndex(names[attempt.classIndex], {});
    for (const Schema::ServicePolicy& service : policy.service()) {
        if (service.name() == d_->parameters_.service)
            d_->defaultClass_ = service.default_class();
    }
    std::vector<LinkBudget> budgets;
    for (const Schema::LinkPolicy& link : policy.link()) {
        const double rate = link.megabits() * 1e6 / 8 * d_->parameters_.linkBudgetShare;
        if (link.from() == d_->parameters_.region)
            budgets.push_back({ link.to(), rate });
        if (link.to() == d_->parameters_.region)
            budgets.push_back({ link.from(), rate });
    }
    d_->router_.setLinkBudgets(budgets);
    d_->dispatchQueued(now);
}

void RequestCore::setBackends(std::span<const Backend> backends, Utils::TimePoint now)
{
    d_->router_.setBackends(backends);
    d_->dispatchQueued(now);
}

void RequestCore::setCredits(
    std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry, Utils::TimePoint now)
{
    d_->router_.setCredits(backend, slots, expiry);
    d_->dispatchQueued(now);
}

void RequestCore::beginStop()
{
    d_->isStopping_ = true;
}

bool RequestCore::isIdle() const
{
    return d_->requests_.empty();
}

void RequestCore::submit(RequestDescription description, Utils::TimePoint now)
{
    const RequestId id = description.id;
    RequestState& state = d_->requests_[id];
    state.classIndex = d_->queue_.classIndex(description.priorityClass, d_->defaultClass_);
    state.description = std::move(description);
    state.submittedAt = now;
    ++d_->classCounters(state.classIndex).submitted;
    if (d_->isStopping_) {
        d_->reject(id, RejectReason::Stopping);
        return;
    }
    if (state.description.deadline <= now) {
        d_->reject(id, RejectReason::DeadlinePassed);
        return;
    }
    if (!d_->router_.hasUsableTarget(now)) {
        d_->reject(id, RejectReason::NoBackend);
        return;
    }
    d_->enqueue(state, now);
    d_->dispatchQueued(now);
}

void RequestCore::cancel(RequestId request, Utils::TimePoint now)
{
    if (d_->requests_.contains(request))
        d_->abandon(request, now);
}

bool RequestCore::beginSending(AttemptId attempt, Utils::TimePoint now)
{
    if (!d_->findOpenRequest(attempt))
        return false;
    AttemptState& state = d_->attempts_.at(attempt);
    // The credits may have expired since the dispatch, for example while the process was paused.
    state.hasExpiredCredits = !d_->router_.hasValidCredits(state.backend, now);
    state.isSending = !state.hasExpiredCredits;
    return state.isSending;
}

void RequestCore::onAttemptNotSent(AttemptId attempt, Utils::TimePoint now)
{
    if (!d_->attempts_.contains(attempt))
        return;
    const RequestState* state = d_->findOpenRequest(attempt);
    const bool isAbandoned = !state || d_->attempts_.at(attempt).hasExpiredCredits;
    d_->endAttempt(attempt, isAbandoned ? AttemptEnd::Abandoned : AttemptEnd::ConnectFailed, false, now);
    if (state)
        d_->retryOrFinish(
            state->description.id, true, false, state->mayHaveRun ? Outcome::Unknown : Outcome::NotRun, now);
    d_->dispatchQueued(now);
}

void RequestCore::onAttemptRefused(AttemptId attempt, RefusalKind kind, Utils::TimePoint now)
{
    if (!d_->attempts_.contains(attempt))
        return;
    const RequestState* state = d_->findOpenRequest(attempt);
    const bool isDraining = kind == RefusalKind::Draining;
    d_->endAttempt(attempt, isDraining ? AttemptEnd::Draining : AttemptEnd::Overloaded, false, now);
    if (state) {
        const Outcome outcome = state->mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        const RequestId id = state->description.id;
        if (isDraining)
            d_->retryOrFinish(id, true, false, outcome, now);
        else
            d_->finish(id, outcome);
    }
    d_->dispatchQueued(now);
}

void RequestCore::onAttemptCompleted(AttemptId attempt, std::uint32_t status, Utils::TimePoint now)
{
    if (!d_->attempts_.contains(attempt))
        return;
    RequestState* state = d_->findOpenRequest(attempt);
    const bool isFailure = status >= minFailureStatus;
    d_->endAttempt(attempt, isFailure ? AttemptEnd::Failure : AttemptEnd::Success, false, now);
    if (state) {
        state->mayHaveRun = true;
        const RequestId id = state->description.id;
        if (isFailure && state->description.isIdempotent)
            d_->retryOrFinish(id, false, true, Outcome::Completed, now);
        else
            d_->finish(id, Outcome::Completed);
    }
    d_->dispatchQueued(now);
}

void RequestCore::onAttemptBroken(AttemptId attempt, Utils::TimePoint now)
{
    const auto found = d_->attempts_.find(attempt);
    if (found == d_->attempts_.end())
        return;
    RequestState* state = d_->findOpenRequest(attempt);
    const bool wasSent = found->second.isSending;
    d_->endAttempt(attempt, state ? AttemptEnd::Failure : AttemptEnd::Abandoned, wasSent, now);
    if (state) {
        state->mayHaveRun = state->mayHaveRun || wasSent;
        const Outcome outcome = state->mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        const RequestId id = state->description.id;
        if (!wasSent || state->description.isIdempotent)
            d_->retryOrFinish(id, false, true, outcome, now);
        else
            d_->finish(id, outcome);
    }
    d_->dispatchQueued(now);
}

void RequestCore::onAttemptTimedOut(AttemptId attempt, Utils::TimePoint now)
{
    onAttemptBroken(attempt, now);
}

void RequestCore::tick(Utils::TimePoint now)
{
    while (!d_->heldSlots_.empty() && d_->heldSlots_.begin()->first <= now) {
        const AttemptState attempt = d_->heldSlots_.begin()->second;
        d_->heldSlots_.erase(d_->heldSlots_.begin());
        d_->freeSlot(attempt, now);
    }
    d_->rejectExpired(now);
    d_->processWakeups(now);
    d_->dispatchQueued(now);
}

std::optional<Utils::TimePoint> RequestCore::nextWakeup() const
{
    Utils::TimePoint next = Utils::TimePoint::max();
    if (const auto expiry = d_->queue_.nextExpiry())
        next = std::min(next, *expiry);
    if (!d_->wakeups_.empty())
        next = std::min(next, d_->wakeups_.begin()->first);
    if (!d_->heldSlots_.empty())
        next = std::min(next, d_->heldSlots_.begin()->first);
    if (d_->queue_.size() > 0)
        next = std::min(next, d_->lastEventAt_ + queueRecheckInterval);
    if (next == Utils::TimePoint::max())
        return {};
    return next;
}

void RequestCore::takeActions(std::vector<Action>& actions)
{
    actions.insert(actions.end(), d_->actions_.begin(), d_->actions_.end());
    d_->actions_.clear();
}

RequestCounters RequestCore::counters() const
{
    RequestCounters result { d_->classCounters_, d_->router_.counters(d_->lastEventAt_) };
    for (std::size_t index = 0; index < d_->queue_.classCount(); ++index) {
        ClassCounters& counters = result.classes[d_->queue_.className(index)];
        counters.queued = static_cast<std::uint32_t>(d_->queue_.queuedCount(index));
        counters.running = d_->queue_.runningCount(index);
    }
    return result;
}

} // namespace Requests
