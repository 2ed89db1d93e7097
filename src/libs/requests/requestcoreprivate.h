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

/*! Phase of a request; a Delayed one waits for its next retry. */
enum class RequestPhase { Queued, Running, Delayed };

/*! A request that is not answered yet. */
struct RequestState {
    RequestDescription description;
    RequestPhase phase = RequestPhase::Queued;
    Utils::TimePoint submittedAt {};
    Utils::TimePoint wakeupAt {}; //!< Deadline while Running; end of the retry delay while Delayed.
    std::size_t classIndex = 0;
    AttemptId currentAttempt = 0;
    std::uint32_t attemptCount = 0;
    bool mayHaveRun = false; //!< An earlier attempt was sent and is not known to have been refused.
    std::string lastBackend;
};

/*! An attempt to send a request to a backend server. */
struct AttemptState {
    RequestId request = 0;
    std::string backend;
    std::size_t classIndex = 0;
    bool isInOwnDomain = true;
    bool isSending = false;
    bool hasExpiredCredits = false; //!< The credits expired before the first byte was sent.
    bool isDecided = false; //!< The request was finished or continues without this attempt.
    Utils::TimePoint startedAt {};
};

} // namespace Internal

/*! State and steps of the core; RequestCore only forwards events to it. */
class RequestCore::Private {
public:
    explicit Private(CoreParameters parameters);

    void dispatchQueued(Utils::TimePoint now);
    bool dispatchNext(Utils::TimePoint now);
    void dispatch(
        const QueuedRequest& queued, const std::string& backend, Distance distance, Utils::TimePoint now);
    void enqueue(Internal::RequestState& state, Utils::TimePoint now);
    void reject(RequestId id, RejectReason reason);
    void finish(RequestId id, Outcome outcome);
    /*! Finishes a request whose caller has disconnected or whose deadline has passed. */
    void abandon(RequestId id, Utils::TimePoint now);
    void endAttempt(AttemptId id, AttemptEnd end, bool keepsSlot, Utils::TimePoint now);
    void freeSlot(const Internal::AttemptState& attempt, Utils::TimePoint now);
    void retryOrFinish(
        RequestId id, bool isImmediate, bool usesRetryBudget, Outcome outcome, Utils::TimePoint now);
    void rejectExpired(Utils::TimePoint now);
    void processWakeups(Utils::TimePoint now);
    void scheduleWakeup(Internal::RequestState& state, Utils::TimePoint when);
    void cancelWakeup(const Internal::RequestState& state);
    Internal::RequestState* findOpenRequest(AttemptId attempt);
    ClassCounters& classCounters(std::size_t index) { return classCounters_[queue_.className(index)]; }

    CoreParameters parameters_;
    std::mt19937_64 random_;
    AdmissionQueue queue_;
    Router router_;
    RetryBudget retryBudget_;
    std::string defaultClass_;
    bool isStopping_ = false;
    AttemptId lastAttempt_ = 0;
    Utils::TimePoint lastEventAt_ {};
    std::unordered_map<RequestId, Internal::RequestState> requests_;
    std::unordered_map<AttemptId, Internal::AttemptState> attempts_;
    std::set<std::pair<Utils::TimePoint, RequestId>> wakeups_;
    std::multimap<Utils::TimePoint, Internal::AttemptState> heldSlots_;
    std::map<std::string, ClassCounters> classCounters_;
    std::vector<Action> actions_;
};

} // namespace Requests
