#pragma once

#include "admissionqueue.h"
#include "requestcore.h"
#include "retrybudget.h"
#include "router.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Requests {

namespace Internal {

/*! What becomes of a request next. */
enum class Phase { Queued, Running, Waiting };

/*! A request that is not answered yet. */
struct RequestState {
    RequestDescription description;
    Phase phase = Phase::Queued;
    Utils::TimePoint submitted {};
    Utils::TimePoint wake {}; //!< Deadline while running, end of the delay while waiting.
    std::size_t classIndex = 0;
    AttemptId attempt = 0;
    std::uint32_t attempts = 0;
    bool mayHaveRun = false; //!< An earlier attempt was sent and is not proven not run.
    std::string lastBackend;
};

/*! An attempt at a backend server. */
struct AttemptState {
    RequestId request = 0;
    std::string backend;
    std::size_t classIndex = 0;
    bool ownDomain = true;
    bool connected = false;
    bool withdrawn = false; //!< The credits lapsed before the first byte.
    bool decided = false; //!< The request was finished or goes on without this attempt.
    Utils::TimePoint started {};
};

} // namespace Internal

/*! State and steps of the core; RequestCore only forwards events to it. */
class RequestCore::Private {
public:
    explicit Private(CoreParameters parameters);

    void pump(Utils::TimePoint now);
    bool dispatchNext(Utils::TimePoint now);
    void dispatch(
        const QueuedRequest& queued, const std::string& backend, Distance distance, Utils::TimePoint now);
    void enqueue(Internal::RequestState& state, Utils::TimePoint now);
    void refuse(RequestId id, RejectReason reason);
    void finish(RequestId id, Outcome outcome);
    void decideOpen(RequestId id, Utils::TimePoint now);
    void endAttempt(AttemptId id, AttemptEnd end, bool keepSlot, Utils::TimePoint now);
    void freeSlot(const Internal::AttemptState& attempt, Utils::TimePoint now);
    void retryOrFinish(RequestId id, bool atOnce, bool drawBudget, Outcome outcome, Utils::TimePoint now);
    void expireQueue(Utils::TimePoint now);
    void wakeRequests(Utils::TimePoint now);
    void setWake(Internal::RequestState& state, Utils::TimePoint when);
    void clearWake(const Internal::RequestState& state);
    Internal::RequestState* openRequest(AttemptId attempt);
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
    std::unordered_map<RequestId, Internal::RequestState> requests_;
    std::unordered_map<AttemptId, Internal::AttemptState> attempts_;
    std::set<std::pair<Utils::TimePoint, RequestId>> wakes_;
    std::multimap<Utils::TimePoint, Internal::AttemptState> keptSlots_;
    std::map<std::string, ClassCounters> classes_;
    std::vector<Action> actions_;
};

} // namespace Requests
