#include "admissionqueue.h"

#include <algorithm>
#include <cmath>

namespace Requests {

namespace {

constexpr double slotSecondsWeight = 0.02; // Weight of a new sample in meanSlotSeconds_.
constexpr double maxOwedSecondsPerSlot = 0.25; // owedSlotSeconds is clamped to this per guaranteed slot.
constexpr std::size_t minQueueLength = 4;
constexpr double initialSlotSeconds = 0.01; // Assumed mean until the first slot is released.

double toSeconds(Utils::Duration duration)
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
        target.runningCount += state.runningCount;
    }
    auto entries = std::move(entries_);
    entries_.clear();
    expiries_.clear();
    std::vector<RequestId> order;
    for (const ClassState& state : old) {
        for (const CallerQueue& queue : state.callerRotation)
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
    if (state.waitingCount == 0) {
        state.owedSlotSeconds = 0;
        state.owedUpdatedAt = now;
    }
    if (state.waitingCount < maxQueueLength(state)) {
        insert(std::move(request));
        return {};
    }
    const auto longestQueue = std::ranges::max_element(
        state.callerRotation, {}, [](const CallerQueue& queue) { return queue.ids.size(); });
    const auto ownQueue = state.queueByCaller.find(request.caller);
    const std::size_t ownLength = ownQueue == state.queueByCaller.end() ? 0 : ownQueue->second->ids.size();
    if (longestQueue == state.callerRotation.end() || longestQueue->ids.size() <= ownLength + 1)
        return { .isAccepted = false, .displacedRequest = {} };
    const RequestId displacedRequest = longestQueue->ids.back();
    remove(displacedRequest);
    insert(std::move(request));
    return { .isAccepted = true, .displacedRequest = displacedRequest };
}

std::optional<QueuedRequest> AdmissionQueue::peek(Utils::TimePoint now)
{
    const std::size_t selected = selectClass(now);
    if (selected == classes_.size())
        return {};
    return frontRequest(classes_[selected]);
}

std::optional<QueuedRequest> AdmissionQueue::peekMostUrgent() const
{
    for (const ClassState& state : classes_) {
        if (state.waitingCount > 0)
            return frontRequest(state);
    }
    return {};
}

bool AdmissionQueue::remove(RequestId id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return false;
    ClassState& state = classes_[found->second.classIndex];
    const auto queue = state.queueByCaller.at(found->second.caller);
    std::erase(queue->ids, id);
    if (queue->ids.empty()) {
        state.queueByCaller.erase(queue->caller);
        state.callerRotation.erase(queue);
    }
    --state.waitingCount;
    expiries_.erase({ expiryOf(found->second), id });
    entries_.erase(found);
    return true;
}

void AdmissionQueue::start(RequestId id, Utils::TimePoint now)
{
    const QueuedRequest request = entries_.at(id);
    ClassState& state = classes_[request.classIndex];
    updateOwedSlotSeconds(state, now);
    const auto queue = state.queueByCaller.at(request.caller);
    if (queue->ids.size() > 1)
        state.callerRotation.splice(state.callerRotation.end(), state.callerRotation, queue);
    remove(id);
    ++state.runningCount;
}

void AdmissionQueue::release(std::size_t classIndex, Utils::Duration slotTime, Utils::TimePoint now)
{
    ClassState& state = classes_[std::min(classIndex, classes_.size() - 1)];
    updateOwedSlotSeconds(state, now);
    if (state.runningCount > 0)
        --state.runningCount;
    const double sample = toSeconds(slotTime);
    meanSlotSeconds_
        = meanSlotSeconds_ == 0 ? sample : meanSlotSeconds_ + slotSecondsWeight * (sample - meanSlotSeconds_);
}

void AdmissionQueue::takeExpired(Utils::TimePoint now, std::vector<QueuedRequest>& expired)
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
    return std::min(request.deadline, request.enqueuedAt + classes_[request.classIndex].rule.maxQueueTime);
}

std::size_t AdmissionQueue::maxQueueLength(const ClassState& state) const
{
    const double slots
        = std::max({ state.rule.guaranteedShare * capacity_, static_cast<double>(state.runningCount), 1.0 });
    const double slotSeconds = meanSlotSeconds_ > 0 ? meanSlotSeconds_ : initialSlotSeconds;
    const double length = toSeconds(state.rule.maxQueueTime) * slots / slotSeconds;
    return std::max(minQueueLength, static_cast<std::size_t>(std::ceil(length)));
}

std::uint32_t AdmissionQueue::ceilingSlots(const ClassState& state) const
{
    return std::max(1U, static_cast<std::uint32_t>(std::ceil(state.rule.ceilingShare * capacity_ - 1e-9)));
}

void AdmissionQueue::updateOwedSlotSeconds(ClassState& state, Utils::TimePoint now)
{
    const double guaranteedSlots = state.rule.guaranteedShare * capacity_;
    const double elapsed = toSeconds(now - state.owedUpdatedAt);
    state.owedUpdatedAt = now;
    if (state.waitingCount == 0)
        return;
    const double limit = maxOwedSecondsPerSlot * std::max(guaranteedSlots, 1.0);
    state.owedSlotSeconds += elapsed * (guaranteedSlots - state.runningCount);
    state.owedSlotSeconds = std::clamp(state.owedSlotSeconds, -limit, limit);
}

bool AdmissionQueue::isBelowGuarantee(const ClassState& state) const
{
    const double guaranteedSlots = state.rule.guaranteedShare * capacity_;
    if (state.runningCount + 1 <= guaranteedSlots)
        return true;
    return state.owedSlotSeconds > 0 && state.runningCount < std::ceil(guaranteedSlots);
}

std::optional<QueuedRequest> AdmissionQueue::frontRequest(const ClassState& state) const
{
    return entries_.at(state.callerRotation.front().ids.front());
}

void AdmissionQueue::insert(QueuedRequest request)
{
    ClassState& state = classes_[request.classIndex];
    auto found = state.queueByCaller.find(request.caller);
    if (found == state.queueByCaller.end()) {
        state.callerRotation.push_back({ request.caller, {} });
        found = state.queueByCaller.emplace(request.caller, std::prev(state.callerRotation.end())).first;
    }
    found->second->ids.push_back(request.id);
    ++state.waitingCount;
    expiries_.emplace(expiryOf(request), request.id);
    entries_.emplace(request.id, std::move(request));
}

std::size_t AdmissionQueue::selectClass(Utils::TimePoint now)
{
    std::size_t selected = classes_.size();
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        ClassState& state = classes_[index];
        if (state.waitingCount == 0)
            continue;
        updateOwedSlotSeconds(state, now);
        if (isBelowGuarantee(state))
            return index;
        if (selected == classes_.size() && state.runningCount < ceilingSlots(state))
            selected = index;
    }
    return selected;
}

} // namespace Requests
