#pragma once

#include "entrypolicy.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

namespace FloodBench {

/*! Policy for comparison: round robin, first come first served, unlimited retries until the deadline. */
class BaselinePolicy final : public EntryPolicy {
public:
    /*! \param backends backend servers of the domain. */
    explicit BaselinePolicy(std::span<const Requests::Backend> backends);

    void submit(const Requests::RequestDescription& description, Utils::TimePoint now) override;
    void onAttemptEnded(Requests::AttemptId attempt, AttemptResult result, Utils::TimePoint now) override;
    void tick(Utils::TimePoint now) override;
    std::optional<Utils::TimePoint> nextWakeup() const override;
    void takeActions(std::vector<Requests::Action>& actions) override;

private:
    void send(Requests::RequestId request);

    std::vector<std::string> backends_;
    std::size_t next_ = 0;
    Requests::AttemptId lastAttempt_ = 0;
    std::unordered_map<Requests::RequestId, Utils::TimePoint> deadlines_;
    std::unordered_map<Requests::AttemptId, Requests::RequestId> attempts_;
    std::set<std::pair<Utils::TimePoint, Requests::RequestId>> deadlineOrder_;
    std::multimap<Utils::TimePoint, Requests::RequestId> retries_;
    std::vector<Requests::Action> actions_;
};

} // namespace FloodBench
