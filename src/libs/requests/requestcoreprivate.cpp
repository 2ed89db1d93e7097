#include "requestcoreprivate.h"

#include <algorithm>

namespace Requests {

using Internal::AttemptState;
using Internal::Phase;
using Internal::RequestState;

namespace {

constexpr Utils::Duration retryAfterOverload = std::chrono::seconds(1);

} // namespace

RequestCore::Private::Private(CoreParameters parameters)
    : parameters_(std::move(parameters))
    , random_(parameters_.seed)
    , queue_(std::vector<ClassRule>(1, ClassRule { .name = "default" }))
    , router_(parameters_.domain, parameters_.region, parameters_.seed, parameters_.requireCredits)
{
}

void RequestCore::Private::pump(Utils::TimePoint now)
{
    lastNow_ = now;
    if (queue_.size() == 0)
        return;
    queue_.setCapacity(router_.capacity(now));
    while (queue_.size() > 0 && dispatchNext(now)) { }
}

bool RequestCore::Private::dispatchNext(Utils::TimePoint now)
{
    const bool local = router_.hasFreeSlot(now);
    const auto queued = local ? queue_.peek(now) : queue_.peekAny();
    if (!queued)
        return false;
    const RequestState& state = requests_.at(queued->id);
    const bool waitedLong = now - queued->enqueued >= parameters_.spillDelay;
    const RouteQuery query { .avoid = state.lastBackend,
        .bytes = state.description.bytes,
        .mayLeaveDomain = !state.description.ownDomainOnly && (waitedLong || router_.capacity(now) == 0) };
    const auto chosen = router_.choose(query, now);
    if (!chosen)
        return false;
    dispatch(*queued, chosen->first, chosen->second, now);
    return true;
}

void RequestCore::Private::dispatch(
    const QueuedRequest& queued, const std::string& backend, Distance distance, Utils::TimePoint now)
{
    RequestState& state = requests_.at(queued.id);
    const bool ownDomain = distance == Distance::OwnDomain;
    if (ownDomain)
        queue_.start(queued.id, now);
    else
        queue_.remove(queued.id);
    router_.begin(backend, state.description.bytes, now);
    ClassCounters& counters = classCounters(state.classIndex);
    if (state.attempts == 0) {
        ++counters.admitted;
        counters.queueSeconds += std::chrono::duration<double>(now - state.submitted).count();
    }
    ++state.attempts;
    state.phase = Phase::Running;
    state.attempt = ++lastAttempt_;
    state.lastBackend = backend;
    setWake(state, state.description.deadline);
    attempts_[state.attempt] = { .request = queued.id,
        .backend = backend,
        .classIndex = state.classIndex,
        .ownDomain = ownDomain,
        .started = now };
    actions_.emplace_back(Dispatch { queued.id, state.attempt, backend });
}

void RequestCore::Private::enqueue(RequestState& state, Utils::TimePoint now)
{
    state.phase = Phase::Queued;
    clearWake(state);
    queue_.setCapacity(router_.capacity(now));
    const RequestId id = state.description.id;
    const auto result = queue_.push({ .id = id,
                                        .classIndex = state.classIndex,
                                        .caller = state.description.caller,
                                        .enqueued = now,
                                        .deadline = state.description.deadline },
        now);
    if (!result.accepted)
        refuse(id, RejectReason::QueueFull);
    else if (result.displaced)
        refuse(*result.displaced, RejectReason::QueueFull);
}

void RequestCore::Private::refuse(RequestId id, RejectReason reason)
{
    RequestState& state = requests_.at(id);
    if (state.mayHaveRun) {
        finish(id, Outcome::Unknown);
        return;
    }
    ClassCounters& counters = classCounters(state.classIndex);
    ++counters.rejected[static_cast<std::size_t>(reason)];
    clearWake(state);
    requests_.erase(id);
    actions_.emplace_back(Reject { id, reason, retryAfterOverload });
}

void RequestCore::Private::finish(RequestId id, Outcome outcome)
{
    RequestState& state = requests_.at(id);
    ++classCounters(state.classIndex).finished[static_cast<std::size_t>(outcome)];
    clearWake(state);
    requests_.erase(id);
    actions_.emplace_back(Finish { id, outcome });
}

void RequestCore::Private::decideOpen(RequestId id, Utils::TimePoint now)
{
    RequestState& state = requests_.at(id);
    bool mayHaveRun = state.mayHaveRun;
    if (state.phase == Phase::Running) {
        AttemptState& attempt = attempts_.at(state.attempt);
        attempt.decided = true;
        mayHaveRun = mayHaveRun || attempt.connected;
    }
    if (state.phase == Phase::Queued)
        queue_.remove(id);
    finish(id, mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
    pump(now);
}

void RequestCore::Private::endAttempt(AttemptId id, AttemptEnd end, bool keepSlot, Utils::TimePoint now)
{
    const AttemptState attempt = attempts_.at(id);
    attempts_.erase(id);
    router_.record(attempt.backend, end, now - attempt.started, now);
    if (end == AttemptEnd::Success)
        budget_.recordSuccess();
    if (keepSlot)
        keptSlots_.emplace(now + router_.residualTime(attempt.backend), attempt);
    else
        freeSlot(attempt, now);
}

void RequestCore::Private::freeSlot(const AttemptState& attempt, Utils::TimePoint now)
{
    router_.release(attempt.backend);
    if (attempt.ownDomain)
        queue_.release(attempt.classIndex, now - attempt.started, now);
}

void RequestCore::Private::retryOrFinish(
    RequestId id, bool atOnce, bool drawBudget, Outcome outcome, Utils::TimePoint now)
{
    RequestState& state = requests_.at(id);
    const Utils::Duration delay = atOnce ? Utils::Duration {} : RetryBudget::delay(state.attempts, random_);
    const bool inTime = now + delay < state.description.deadline;
    const bool allowed = state.attempts < parameters_.maxAttempts && inTime;
    if (!allowed || (drawBudget && !budget_.tryTake())) {
        finish(id, outcome);
        return;
    }
    ++classCounters(state.classIndex).retried;
    if (atOnce) {
        enqueue(state, now);
        return;
    }
    state.phase = Phase::Waiting;
    setWake(state, now + delay);
}

void RequestCore::Private::expireQueue(Utils::TimePoint now)
{
    std::vector<QueuedRequest> expired;
    queue_.expire(now, expired);
    for (const QueuedRequest& request : expired) {
        const bool late = request.deadline <= now;
        const RejectReason waited
            = router_.hasUsable(now) ? RejectReason::QueueTimeout : RejectReason::NoBackend;
        refuse(request.id, late ? RejectReason::DeadlinePassed : waited);
    }
}

void RequestCore::Private::wakeRequests(Utils::TimePoint now)
{
    while (!wakes_.empty() && wakes_.begin()->first <= now) {
        const RequestId id = wakes_.begin()->second;
        RequestState& state = requests_.at(id);
        if (state.phase == Phase::Waiting)
            enqueue(state, now);
        else
            decideOpen(id, now);
    }
}

void RequestCore::Private::setWake(RequestState& state, Utils::TimePoint when)
{
    clearWake(state);
    state.wake = when;
    wakes_.emplace(when, state.description.id);
}

void RequestCore::Private::clearWake(const RequestState& state)
{
    wakes_.erase({ state.wake, state.description.id });
}

RequestState* RequestCore::Private::openRequest(AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.decided)
        return nullptr;
    return &requests_.at(found->second.request);
}

} // namespace Requests
