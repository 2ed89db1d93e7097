#include "admissionqueue.h"

#include <algorithm>
#include <cmath>

namespace Requests {

namespace {

constexpr double serviceWeight = 0.02; // Of a new sample in the average service time.
constexpr double balanceLimitSeconds = 0.25; // Times the class's guaranteed slots.
constexpr std::size_t minimumQueueLength = 4;
constexpr double initialServiceSeconds = 0.01; // Until the first request has ended.

double seconds(Utils::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

AdmissionQueue::AdmissionQueue(std::span<const ClassRule> rules)
{
    setRules(rules);
}

void AdmissionQueue::setRules(std::span<const ClassRule> rules)
{
    std::vector<ClassState> old = std::move(classes_);
    classes_.clear();
    for (const ClassRule& rule : rules)
        classes_.emplace_back().rule = rule;
    std::ranges::stable_sort(
        classes_, [](const ClassState& a, const ClassState& b) { return a.rule.rank < b.rule.rank; });
    for (ClassState& state : old) {
        ClassState& target = classes_[classIndex(state.rule.name, {})];
        target.running += state.running;
    }
    auto entries = std::move(entries_);
    entries_.clear();
    expiries_.clear();
    std::vector<RequestId> order;
    for (const ClassState& state : old) {
        for (const CallerQueue& queue : state.turns)
            order.insert(order.end(), queue.ids.begin(), queue.ids.end());
    }
    for (const RequestId id : order) {
        QueuedRequest request = std::move(entries.at(id));
        request.classIndex = classIndex(old[request.classIndex].rule.name, {});
        insert(std::move(request));
    }
}

std::size_t AdmissionQueue::classIndex(std::string_view name, std::string_view fallback) const
{
    for (const std::string_view candidate : { name, fallback }) {
        for (std::size_t index = 0; index < classes_.size(); ++index) {
            if (classes_[index].rule.name == candidate)
                return index;
        }
    }
    return classes_.size() - 1;
}

AdmissionQueue::PushResult AdmissionQueue::push(QueuedRequest request, Utils::TimePoint now)
{
    ClassState& state = classes_[request.classIndex];
    if (state.waiting == 0) {
        state.balance = 0;
        state.balanceAt = now;
    }
    if (state.waiting < lengthLimit(state)) {
        insert(std::move(request));
        return {};
    }
    const auto longest = std::ranges::max_element(
        state.turns, {}, [](const CallerQueue& queue) { return queue.ids.size(); });
    const auto own = state.byCaller.find(request.caller);
    const std::size_t ownLength = own == state.byCaller.end() ? 0 : own->second->ids.size();
    if (longest == state.turns.end() || longest->ids.size() <= ownLength + 1)
        return { .accepted = false, .displaced = {} };
    const RequestId displaced = longest->ids.back();
    remove(displaced);
    insert(std::move(request));
    return { .accepted = true, .displaced = displaced };
}

std::optional<QueuedRequest> AdmissionQueue::peek(Utils::TimePoint now)
{
    const std::size_t selected = selectClass(now);
    if (selected == classes_.size())
        return {};
    return front(classes_[selected]);
}

std::optional<QueuedRequest> AdmissionQueue::peekAny() const
{
    for (const ClassState& state : classes_) {
        if (state.waiting > 0)
            return front(state);
    }
    return {};
}

bool AdmissionQueue::remove(RequestId id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return false;
    ClassState& state = classes_[found->second.classIndex];
    const auto queue = state.byCaller.at(found->second.caller);
    std::erase(queue->ids, id);
    if (queue->ids.empty()) {
        state.byCaller.erase(queue->caller);
        state.turns.erase(queue);
    }
    --state.waiting;
    expiries_.erase({ expiryOf(found->second), id });
    entries_.erase(found);
    return true;
}

void AdmissionQueue::start(RequestId id, Utils::TimePoint now)
{
    const QueuedRequest request = entries_.at(id);
    ClassState& state = classes_[request.classIndex];
    updateBalance(state, now);
    const auto queue = state.byCaller.at(request.caller);
    if (queue->ids.size() > 1)
        state.turns.splice(state.turns.end(), state.turns, queue);
    remove(id);
    ++state.running;
}

void AdmissionQueue::release(std::size_t classIndex, Utils::Duration held, Utils::TimePoint now)
{
    ClassState& state = classes_[std::min(classIndex, classes_.size() - 1)];
    updateBalance(state, now);
    if (state.running > 0)
        --state.running;
    const double sample = seconds(held);
    serviceSeconds_
        = serviceSeconds_ == 0 ? sample : serviceSeconds_ + serviceWeight * (sample - serviceSeconds_);
}

void AdmissionQueue::expire(Utils::TimePoint now, std::vector<QueuedRequest>& expired)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const RequestId id = expiries_.begin()->second;
        expired.push_back(entries_.at(id));
        remove(id);
    }
}

std::optional<Utils::TimePoint> AdmissionQueue::nextExpiry() const
{
    if (expiries_.empty())
        return {};
    return expiries_.begin()->first;
}

Utils::TimePoint AdmissionQueue::expiryOf(const QueuedRequest& request) const
{
    return std::min(request.deadline, request.enqueued + classes_[request.classIndex].rule.maxQueue);
}

std::size_t AdmissionQueue::lengthLimit(const ClassState& state) const
{
    const double slots
        = std::max({ state.rule.guaranteed * capacity_, static_cast<double>(state.running), 1.0 });
    const double service = serviceSeconds_ > 0 ? serviceSeconds_ : initialServiceSeconds;
    const double length = seconds(state.rule.maxQueue) * slots / service;
    return std::max(minimumQueueLength, static_cast<std::size_t>(std::ceil(length)));
}

std::uint32_t AdmissionQueue::ceilingSlots(const ClassState& state) const
{
    return std::max(1U, static_cast<std::uint32_t>(std::ceil(state.rule.ceiling * capacity_ - 1e-9)));
}

void AdmissionQueue::updateBalance(ClassState& state, Utils::TimePoint now)
{
    const double guaranteedSlots = state.rule.guaranteed * capacity_;
    const double elapsed = seconds(now - state.balanceAt);
    state.balanceAt = now;
    if (state.waiting == 0)
        return;
    const double limit = balanceLimitSeconds * std::max(guaranteedSlots, 1.0);
    state.balance += elapsed * (guaranteedSlots - state.running);
    state.balance = std::clamp(state.balance, -limit, limit);
}

bool AdmissionQueue::belowGuarantee(const ClassState& state) const
{
    const double guaranteedSlots = state.rule.guaranteed * capacity_;
    if (state.running + 1 <= guaranteedSlots)
        return true;
    return state.balance > 0 && state.running < std::ceil(guaranteedSlots);
}

std::optional<QueuedRequest> AdmissionQueue::front(const ClassState& state) const
{
    return entries_.at(state.turns.front().ids.front());
}

void AdmissionQueue::insert(QueuedRequest request)
{
    ClassState& state = classes_[request.classIndex];
    auto found = state.byCaller.find(request.caller);
    if (found == state.byCaller.end()) {
        state.turns.push_back({ request.caller, {} });
        found = state.byCaller.emplace(request.caller, std::prev(state.turns.end())).first;
    }
    found->second->ids.push_back(request.id);
    ++state.waiting;
    expiries_.emplace(expiryOf(request), request.id);
    entries_.emplace(request.id, std::move(request));
}

std::size_t AdmissionQueue::selectClass(Utils::TimePoint now)
{
    std::size_t selected = classes_.size();
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        ClassState& state = classes_[index];
        if (state.waiting == 0)
            continue;
        updateBalance(state, now);
        if (belowGuarantee(state))
            return index;
        if (selected == classes_.size() && state.running < ceilingSlots(state))
            selected = index;
    }
    return selected;
}

} // namespace Requests
