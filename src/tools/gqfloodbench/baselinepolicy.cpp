#include "baselinepolicy.h"

namespace FloodBench {

namespace {

constexpr Utils::Duration retryDelay = std::chrono::milliseconds(100);

} // namespace

BaselinePolicy::BaselinePolicy(std::span<const Requests::Backend> backends)
{
    for (const Requests::Backend& backend : backends)
        backends_.push_back(backend.name);
}

void BaselinePolicy::submit(const Requests::RequestDescription& description, Utils::TimePoint)
{
    deadlines_[description.id] = description.deadline;
    deadlineOrder_.emplace(description.deadline, description.id);
    send(description.id);
}

void BaselinePolicy::onAttemptEnded(Requests::AttemptId attempt, AttemptResult result, Utils::TimePoint now)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end())
        return;
    const Requests::RequestId request = found->second;
    attempts_.erase(found);
    const auto deadline = deadlines_.find(request);
    if (deadline == deadlines_.end())
        return;
    if (result != AttemptResult::Completed) {
        retries_.emplace(now + retryDelay, request);
        return;
    }
    deadlineOrder_.erase({ deadline->second, request });
    deadlines_.erase(deadline);
    actions_.emplace_back(Requests::Finish { request, Requests::Outcome::Completed });
}

void BaselinePolicy::tick(Utils::TimePoint now)
{
    while (!deadlineOrder_.empty() && deadlineOrder_.begin()->first <= now) {
        const Requests::RequestId request = deadlineOrder_.begin()->second;
        deadlineOrder_.erase(deadlineOrder_.begin());
        deadlines_.erase(request);
        actions_.emplace_back(Requests::Finish { request, Requests::Outcome::Unknown });
    }
    while (!retries_.empty() && retries_.begin()->first <= now) {
        const Requests::RequestId request = retries_.begin()->second;
        retries_.erase(retries_.begin());
        if (deadlines_.contains(request))
            send(request);
    }
}

std::optional<Utils::TimePoint> BaselinePolicy::nextWakeup() const
{
    Utils::TimePoint next = Utils::TimePoint::max();
    if (!deadlineOrder_.empty())
        next = deadlineOrder_.begin()->first;
    if (!retries_.empty())
        next = std::min(next, retries_.begin()->first);
    if (next == Utils::TimePoint::max())
        return {};
    return next;
}

void BaselinePolicy::takeActions(std::vector<Requests::Action>& actions)
{
    actions.insert(actions.end(), actions_.begin(), actions_.end());
    actions_.clear();
}

void BaselinePolicy::send(Requests::RequestId request)
{
    attempts_[++lastAttempt_] = request;
    actions_.emplace_back(Requests::Dispatch { request, lastAttempt_, backends_[next_] });
    next_ = (next_ + 1) % backends_.size();
}

} // namespace FloodBench
