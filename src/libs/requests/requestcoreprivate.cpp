#include "requestcoreprivate.h"

#include <algorithm>

namespace Requests {

using Internal::AttemptState;
using Internal::RequestPhase;
using Internal::RequestState;

namespace {

constexpr Utils::Duration rejectRetryAfter = std::chrono::seconds(1);

} // namespace

RequestCore::Private::Private(CoreParameters parameters)
    : parameters_(std::move(parameters))
    , random_(parameters_.seed)
    , queue_(std::vector<ClassRule>(1, ClassRule { .name = "default" }))
    , router_(parameters_.domain, parameters_.region, parameters_.seed, parameters_.requiresCredits)
{
}

void RequestCore::Private::dispatchQueued(Utils::TimePoint now)
{
    lastEventAt_ = now;
    if (queue_.size() == 0)
        return;
    queue_.setCapacity(router_.capacity(now));
    while (queue_.size() > 0 && dispatchNext(now)) { }
}

bool RequestCore::Private::dispatchNext(Utils::TimePoint now)
{
    const bool hasLocalSlot = router_.hasFreeSlot(now);
    const auto queued = hasLocalSlot ? queue_.peek(now) : queue_.peekMostUrgent();
    if (!queued)
        return false;
    const RequestState& state = requests_.at(queued->id);
    const bool hasWaitedLong = now - queued->enqueuedAt >= parameters_.spillDelay;
    const RouteQuery query { .lastTarget = state.lastBackend,
        .expectedBytes = state.description.expectedBytes,
        .mayLeaveDomain
        = !state.description.mustStayInDomain && (hasWaitedLong || router_.capacity(now) == 0) };
    const auto chosen = router_.chooseTarget(query, now);
    if (!chosen)
        return false;
    dispatch(*queued, chosen->first, chosen->second, now);
    return true;
}

void RequestCore::Private::dispatch(
    const QueuedRequest& queued, const std::string& backend, Distance distance, Utils::TimePoint now)
{
    RequestState& state = requests_.at(queued.id);
    const bool isInOwnDomain = distance == Distance::OwnDomain;
    if (isInOwnDomain)
        queue_.start(queued.id, now);
    else
        queue_.remove(queued.id);
    router_.acquireSlot(backend, state.description.expectedBytes, now);
    ClassCounters& counters = classCounters(state.classIndex);
    if (state.attemptCount == 0) {
        ++counters.admitted;
        counters.queueSeconds += std::chrono::duration<double>(now - state.submittedAt).count();
    }
    ++state.attemptCount;
    state.phase = RequestPhase::Running;
    state.currentAttempt = ++lastAttempt_;
    state.lastBackend = backend;
    scheduleWakeup(state, state.description.deadline);
    attempts_[state.currentAttempt] = { .request = queued.id,
        .backend = backend,
        .classIndex = state.classIndex,
        .isInOwnDomain = isInOwnDomain,
        .startedAt = now };
    actions_.emplace_back(Dispatch { queued.id, state.currentAttempt, backend });
}

void RequestCore::Private::enqueue(RequestState& state, Utils::TimePoint now)
{
    state.phase = RequestPhase::Queued;
    cancelWakeup(state);
    queue_.setCapacity(router_.capacity(now));
    const RequestId id = state.description.id;
    const auto result = queue_.push({ .id = id,
                                        .classIndex = state.classIndex,
                                        .caller = state.description.caller,
                                        .enqueuedAt = now,
                                        .deadline = state.description.deadline },
        now);
    if (!result.isAccepted)
        reject(id, RejectReason::QueueFull);
    else if (result.displacedRequest)
        reject(*result.displacedRequest, RejectReason::QueueFull);
}

void RequestCore::Private::reject(RequestId id, RejectReason reason)
{
    RequestState& state = requests_.at(id);
    if (state.mayHaveRun) {
        finish(id, Outcome::Unknown);
        return;
    }
    ClassCounters& counters = classCounters(state.classIndex);
    ++counters.rejected[static_cast<std::size_t>(reason)];
    cancelWakeup(state);
    requests_.erase(id);
    actions_.emplace_back(Reject { id, reason, rejectRetryAfter });
}

void RequestCore::Private::finish(RequestId id, Outcome outcome)
{
    RequestState& state = requests_.at(id);
    ++classCounters(state.classIndex).finished[static_cast<std::size_t>(outcome)];
    cancelWakeup(state);
    requests_.erase(id);
    actions_.emplace_back(Finish { id, outcome });
}

void RequestCore::Private::abandon(RequestId id, Utils::TimePoint now)
{
    RequestState& state = requests_.at(id);
    bool mayHaveRun = state.mayHaveRun;
    if (state.phase == RequestPhase::Running) {
        AttemptState& attempt = attempts_.at(state.currentAttempt);
        attempt.isDecided = true;
        mayHaveRun = mayHaveRun || attempt.isSending;
    }
    if (state.phase == RequestPhase::Queued)
        queue_.remove(id);
    finish(id, mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
    dispatchQueued(now);
}

void RequestCore::Private::endAttempt(AttemptId id, AttemptEnd end, bool keepsSlot, Utils::TimePoint now)
{
    const AttemptState attempt = attempts_.at(id);
    attempts_.erase(id);
    router_.recordAttempt(attempt.backend, end, now - attempt.startedAt, now);
    if (end == AttemptEnd::Success)
        retryBudget_.recordSuccess();
    if (keepsSlot)
        heldSlots_.emplace(now + router_.expectedResidualTime(attempt.backend), attempt);
    else
        freeSlot(attempt, now);
}

void RequestCore::Private::freeSlot(const AttemptState& attempt, Utils::TimePoint now)
{
    router_.releaseSlot(attempt.backend);
    if (attempt.isInOwnDomain)
        queue_.release(attempt.classIndex, now - attempt.startedAt, now);
}

void RequestCore::Private::retryOrFinish(
    RequestId id, bool isImmediate, bool usesRetryBudget, Outcome outcome, Utils::TimePoint now)
{
    RequestState& state = requests_.at(id);
    const Utils::Duration delay
        = isImmediate ? Utils::Duration {} : RetryBudget::retryDelay(state.attemptCount, random_);
    const bool isInTime = now + delay < state.description.deadline;
    const bool mayRetry = state.attemptCount < parameters_.maxAttempts && isInTime;
    if (!mayRetry || (usesRetryBudget && !retryBudget_.tryConsume())) {
        finish(id, outcome);
        return;
    }
    ++classCounters(state.classIndex).retried;
    if (isImmediate) {
        enqueue(state, now);
        return;
    }
    state.phase = RequestPhase::Delayed;
    scheduleWakeup(state, now + delay);
}

void RequestCore::Private::rejectExpired(Utils::TimePoint now)
{
    std::vector<QueuedRequest> expired;
    queue_.takeExpired(now, expired);
    for (const QueuedRequest& request : expired) {
        const bool isPastDeadline = request.deadline <= now;
        const RejectReason waitReason
            = router_.hasUsableTarget(now) ? RejectReason::QueueTimeout : RejectReason::NoBackend;
        reject(request.id, isPastDeadline ? RejectReason::DeadlinePassed : waitReason);
    }
}

void RequestCore::Private::processWakeups(Utils::TimePoint now)
{
    while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
        const RequestId id = wakeups_.begin()->second;
        RequestState& state = requests_.at(id);
        if (state.phase == RequestPhase::Delayed)
            enqueue(state, now);
        else
            abandon(id, now);
    }
}

void RequestCore::Private::scheduleWakeup(RequestState& state, Utils::TimePoint when)
{
    cancelWakeup(state);
    state.wakeupAt = when;
    wakeups_.emplace(when, state.description.id);
}

void RequestCore::Private::cancelWakeup(const RequestState& state)
{
    wakeups_.erase({ state.wakeupAt, state.description.id });
}

RequestState* RequestCore::Private::findOpenRequest(AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.isDecided)
        return nullptr;
    return &requests_.at(found->second.request);
}

} // namespace Requests
