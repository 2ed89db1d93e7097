#pragma once

#include "requestcounters.h"
#include "requesttypes.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Schema {
class PolicyDocument;
}

namespace Requests {

/*! Place and limits of a RequestCore. */
struct CoreParameters {
    std::string service; //!< The service whose requests it handles.
    std::string domain; //!< Failure domain of this entry VM.
    std::string region; //!< Region of this entry VM.
    std::uint64_t seed = 1; //!< Seed of the random source for jitter and ties.
    std::uint32_t maxAttempts = 3; //!< Maximum number of sends of one request.
    bool requiresCredits = false; //!< Backend servers of the own domain get no requests before setCredits().
    double linkBudgetShare = 0.25; //!< Share of the budgets of links to other regions, 0 to 1.
    Utils::Duration spillDelay
        = std::chrono::milliseconds(50); //!< Time in the queue after which other domains are considered.
};

/*!
    Makes all decisions about the requests of one service on one entry VM.

    The core is not thread-safe. The gateway keeps one core per service, each with its own lock, passes events
    with the current time, and executes the actions after it has released the lock. Each Dispatch must be
    followed by beginSending() before the first byte is sent, and by exactly one of the five calls that report
    the end of the attempt. Without a call of setCredits(), this entry VM may use all slots of a backend
    server unless CoreParameters::requiresCredits is set.
*/
class RequestCore {
public:
    explicit RequestCore(CoreParameters parameters);
    ~RequestCore();
    RequestCore(const RequestCore&) = delete;
    RequestCore& operator=(const RequestCore&) = delete;

    /*! Applies the priority classes, the default class of the service and the link budgets of a policy. */
    void setPolicy(const Schema::PolicyDocument& policy, Utils::TimePoint now);

    /*!
        Replaces the known backend servers. Work in progress on removed ones is still counted.
        \param backends the backend servers of the own domain and the entry VMs of other domains.
    */
    void setBackends(std::span<const Backend> backends, Utils::TimePoint now);

    /*!
        Sets how many slots of a backend server this entry VM may use.
        \param slots number of slots until \a expiry.
        \param expiry when the credits expire; 0 slots may be used after that.
    */
    void setCredits(
        std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry, Utils::TimePoint now);

    /*! Rejects all new requests from now on; accepted ones are finished. */
    void beginStop();

    /*! \return true if no request is queued or in progress. */
    bool isIdle() const;

    /*! Queues, dispatches or rejects a new request. The id of the request must be new. */
    void submit(RequestDescription description, Utils::TimePoint now);

    /*!
        Ends a request whose caller has disconnected. It finishes as NotRun if nothing was sent, otherwise as
        Unknown. Ids that are not known are ignored.
    */
    void cancel(RequestId request, Utils::TimePoint now);

    /*!
        Must be called before the first byte is sent to the backend server; after that the outcome is unknown.
        \param attempt id from the Dispatch.
        \return false if the request was decided or the credits expired in the meantime; then nothing may be
                sent, and onAttemptNotSent() must follow.
    */
    bool beginSending(AttemptId attempt, Utils::TimePoint now);

    /*!
        Handles an attempt that ended before its first byte was sent.
        \param attempt id from the Dispatch.
    */
    void onAttemptNotSent(AttemptId attempt, Utils::TimePoint now);

    /*!
        Handles an attempt that the backend server refused before executing the request.
        \param attempt id from the Dispatch.
    */
    void onAttemptRefused(AttemptId attempt, RefusalKind kind, Utils::TimePoint now);

    /*!
        Handles a whole answer. A failure status of an idempotent request may lead to a new Dispatch. The
        answer must be passed on to the caller if a Finish with the outcome Completed follows.
        \param attempt id from the Dispatch.
        \param status HTTP status.
    */
    void onAttemptCompleted(AttemptId attempt, std::uint32_t status, Utils::TimePoint now);

    /*!
        Handles an attempt that ended without a whole answer. The request may have run if beginSending()
        returned true.
        \param attempt id from the Dispatch.
    */
    void onAttemptBroken(AttemptId attempt, Utils::TimePoint now);

    /*!
        Handles an attempt whose answer made no progress within its timeout or whose deadline passed.
        \param attempt id from the Dispatch.
    */
    void onAttemptTimedOut(AttemptId attempt, Utils::TimePoint now);

    /*! Handles everything that is due: queue expiry, deadlines, delayed retries and freed slots. */
    void tick(Utils::TimePoint now);

    /*! \return when tick() should next be called, if at all. */
    std::optional<Utils::TimePoint> nextWakeup() const;

    /*! Moves the pending actions to the end of \a actions, in order. */
    void takeActions(std::vector<Action>& actions);

    /*! \return counters by priority class and by backend server. */
    RequestCounters counters() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Requests
