#include "requestcore.h"

#include "admissionqueue.h"
#include "retrybudget.h"
#include "router.h"

#include <policy.pb.h>

#include <algorithm>
#include <set>
#include <unordered_map>

namespace Requests {

namespace {

enum class Phase { Queued, Running, Waiting };

struct RequestState {
    RequestDescription description;
    Phase phase = Phase::Queued;
    Utils::TimePoint submitted {};
    Utils::TimePoint wake {}; // Deadline while running, end of the delay while waiting.
    std::size_t classIndex = 0;
    AttemptId attempt = 0;
    std::uint32_t attempts = 0;
    bool mayHaveRun = false; // An earlier attempt was sent and is not proven not run.
    std::string lastBackend;
};

struct AttemptState {
    RequestId request = 0;
    std::string backend;
    std::size_t classIndex = 0;
    bool ownDomain = true;
    bool connected = false;
    bool withdrawn = false; // The credits lapsed before the first byte.
    bool decided = false; // The request was finished or goes on without this attempt.
    Utils::TimePoint started {};
};

constexpr Utils::Duration retryAfterOverload = std::chrono::seconds(1);
constexpr Utils::Duration queueRecheck
    = std::chrono::milliseconds(20); // Ends of holds on targets have no event.
constexpr std::uint32_t firstFailureStatus = 500;

} // namespace

class RequestCore::Private {
public:
    explicit Private(CoreParameters parameters);

    void pump(Utils::TimePoint now);
    bool dispatchNext(Utils::TimePoint now);
    void dispatch(
        const QueuedRequest& queued, const std::string& backend, Distance distance, Utils::TimePoint now);
    void enqueue(RequestState& state, Utils::TimePoint now);
    void refuse(RequestId id, RejectReason reason);
    void finish(RequestId id, Outcome outcome);
    void decideOpen(RequestId id, Utils::TimePoint now);
    void endAttempt(AttemptId id, AttemptEnd end, bool keepSlot, Utils::TimePoint now);
    void freeSlot(const AttemptState& attempt, Utils::TimePoint now);
    void retryOrFinish(RequestId id, bool atOnce, bool drawBudget, Outcome outcome, Utils::TimePoint now);
    void expireQueue(Utils::TimePoint now);
    void wakeRequests(Utils::TimePoint now);
    void setWake(RequestState& state, Utils::TimePoint when);
    void clearWake(const RequestState& state);
    RequestState* openRequest(AttemptId attempt);
    ClassCounters& classCounters(std::size_t index) { return classes_[queue_.className(index)]; }

    CoreParameters parameters_;
    std::mt19937_64 random_;
    AdmissionQueue queue_;
    Router router_;
    RetryBudget budget_;
    std::string defaultClass_;
    bool stopping_ = false;
    AttemptId lastAttempt_ = 0;
    Utils::TimePoint lastNow_ {};
    std::unordered_map<RequestId, RequestState> requests_;
    std::unordered_map<AttemptId, AttemptState> attempts_;
    std::set<std::pair<Utils::TimePoint, RequestId>> wakes_;
    std::multimap<Utils::TimePoint, AttemptState> keptSlots_;
    std::map<std::string, ClassCounters> classes_;
    std::vector<Action> actions_;
};

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
            .guaranteed = source.guaranteed_percent() / 100,
            .ceiling = source.ceiling_percent() / 100,
            .maxQueue = std::chrono::milliseconds(source.max_queue_ms()) });
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
    for (auto& [when, attempt] : d_->keptSlots_)
        attempt.classIndex = d_->queue_.classIndex(names[attempt.classIndex], {});
    for (const Schema::ServicePolicy& service : policy.service()) {
        if (service.name() == d_->parameters_.service)
            d_->defaultClass_ = service.default_class();
    }
    std::vector<LinkBudget> budgets;
    for (const Schema::LinkPolicy& link : policy.link()) {
        const double rate = link.megabits() * 1e6 / 8 * d_->parameters_.linkShare;
        if (link.from() == d_->parameters_.region)
            budgets.push_back({ link.to(), rate });
        if (link.to() == d_->parameters_.region)
            budgets.push_back({ link.from(), rate });
    }
    d_->router_.setLinkBudgets(budgets);
    d_->pump(now);
}

void RequestCore::setBackends(std::span<const Backend> backends, Utils::TimePoint now)
{
    d_->router_.setBackends(backends);
    d_->pump(now);
}

void RequestCore::setCredits(
    std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry, Utils::TimePoint now)
{
    d_->router_.setCredits(backend, slots, expiry);
    d_->pump(now);
}

void RequestCore::beginStop()
{
    d_->stopping_ = true;
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
    state.submitted = now;
    ++d_->classCounters(state.classIndex).submitted;
    if (d_->stopping_) {
        d_->refuse(id, RejectReason::Stopping);
        return;
    }
    if (state.description.deadline <= now) {
        d_->refuse(id, RejectReason::DeadlinePassed);
        return;
    }
    if (!d_->router_.hasUsable(now)) {
        d_->refuse(id, RejectReason::NoBackend);
        return;
    }
    d_->enqueue(state, now);
    d_->pump(now);
}

void RequestCore::cancel(RequestId request, Utils::TimePoint now)
{
    if (d_->requests_.contains(request))
        d_->decideOpen(request, now);
}

bool RequestCore::attemptConnected(AttemptId attempt, Utils::TimePoint now)
{
    if (!d_->openRequest(attempt))
        return false;
    AttemptState& state = d_->attempts_.at(attempt);
    // The process may have been paused since the dispatch.
    state.withdrawn = !d_->router_.holdsCredits(state.backend, now);
    state.connected = !state.withdrawn;
    return state.connected;
}

void RequestCore::attemptNotSent(AttemptId attempt, Utils::TimePoint now)
{
    if (!d_->attempts_.contains(attempt))
        return;
    const RequestState* state = d_->openRequest(attempt);
    const bool reached = !state || d_->attempts_.at(attempt).withdrawn;
    d_->endAttempt(attempt, reached ? AttemptEnd::Abandoned : AttemptEnd::NotReached, false, now);
    if (state)
        d_->retryOrFinish(
            state->description.id, true, false, state->mayHaveRun ? Outcome::Unknown : Outcome::NotRun, now);
    d_->pump(now);
}

void RequestCore::attemptRefused(AttemptId attempt, RefusalKind kind, Utils::TimePoint now)
{
    if (!d_->attempts_.contains(attempt))
        return;
    const RequestState* state = d_->openRequest(attempt);
    const bool leaving = kind == RefusalKind::Leaving;
    d_->endAttempt(attempt, leaving ? AttemptEnd::Leaving : AttemptEnd::Overloaded, false, now);
    if (state) {
        const Outcome outcome = state->mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        const RequestId id = state->description.id;
        if (leaving)
            d_->retryOrFinish(id, true, false, outcome, now);
        else
            d_->finish(id, outcome);
    }
    d_->pump(now);
}

void RequestCore::attemptCompleted(AttemptId attempt, std::uint32_t status, Utils::TimePoint now)
{
    if (!d_->attempts_.contains(attempt))
        return;
    RequestState* state = d_->openRequest(attempt);
    const bool failure = status >= firstFailureStatus;
    d_->endAttempt(attempt, failure ? AttemptEnd::Failure : AttemptEnd::Success, false, now);
    if (state) {
        state->mayHaveRun = true;
        const RequestId id = state->description.id;
        if (failure && state->description.idempotent)
            d_->retryOrFinish(id, false, true, Outcome::Completed, now);
        else
            d_->finish(id, Outcome::Completed);
    }
    d_->pump(now);
}

void RequestCore::attemptBroken(AttemptId attempt, Utils::TimePoint now)
{
    const auto found = d_->attempts_.find(attempt);
    if (found == d_->attempts_.end())
        return;
    RequestState* state = d_->openRequest(attempt);
    const bool sent = found->second.connected;
    d_->endAttempt(attempt, state ? AttemptEnd::Failure : AttemptEnd::Abandoned, sent, now);
    if (state) {
        state->mayHaveRun = state->mayHaveRun || sent;
        const Outcome outcome = state->mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        const RequestId id = state->description.id;
        if (!sent || state->description.idempotent)
            d_->retryOrFinish(id, false, true, outcome, now);
        else
            d_->finish(id, outcome);
    }
    d_->pump(now);
}

void RequestCore::attemptTimedOut(AttemptId attempt, Utils::TimePoint now)
{
    attemptBroken(attempt, now);
}

void RequestCore::tick(Utils::TimePoint now)
{
    while (!d_->keptSlots_.empty() && d_->keptSlots_.begin()->first <= now) {
        const AttemptState attempt = d_->keptSlots_.begin()->second;
        d_->keptSlots_.erase(d_->keptSlots_.begin());
        d_->freeSlot(attempt, now);
    }
    d_->expireQueue(now);
    d_->wakeRequests(now);
    d_->pump(now);
}

std::optional<Utils::TimePoint> RequestCore::nextWake() const
{
    Utils::TimePoint next = Utils::TimePoint::max();
    if (const auto expiry = d_->queue_.nextExpiry())
        next = std::min(next, *expiry);
    if (!d_->wakes_.empty())
        next = std::min(next, d_->wakes_.begin()->first);
    if (!d_->keptSlots_.empty())
        next = std::min(next, d_->keptSlots_.begin()->first);
    if (d_->queue_.size() > 0)
        next = std::min(next, d_->lastNow_ + queueRecheck);
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
    RequestCounters result { d_->classes_, d_->router_.counters(d_->lastNow_) };
    for (std::size_t index = 0; index < d_->queue_.classCount(); ++index) {
        ClassCounters& counters = result.classes[d_->queue_.className(index)];
        counters.queued = static_cast<std::uint32_t>(d_->queue_.queued(index));
        counters.running = d_->queue_.running(index);
    }
    return result;
}

} // namespace Requests
