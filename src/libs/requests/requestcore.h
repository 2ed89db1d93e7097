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

/*! Where a RequestCore runs and its bounds. */
struct CoreParameters {
    std::string service; //!< The one service it decides for.
    std::string domain; //!< Failure domain of this entry VM.
    std::string region; //!< Region of this entry VM.
    std::uint64_t seed = 1; //!< Of the random source for jitter and tied choices.
    std::uint32_t maxAttempts = 3; //!< Sends of one request at most.
    bool requiresCredits = false; //!< Backend servers of the own domain get nothing before setCredits().
    double linkBudgetShare = 0.25; //!< Of the budgets of links to other regions.
    Utils::Duration spillDelay
        = std::chrono::milliseconds(50); //!< Stay in the queue before another domain is asked.
};

/*!
    All decisions about the requests of one service on one entry VM.

    Not safe for several threads: the shell keeps one per service, each under its own lock, feeds events
    with the current time, and carries out the actions after it has left the lock. Every Dispatch must be
    followed by attemptConnected() before the first byte is sent, and by exactly one of the five ends.
    Without a call of setCredits() for a backend server, its whole slots count as this entry VM's, unless
    CoreParameters::requireCredits is set.
*/
class RequestCore {
public:
    /*! \param parameters service, place and bounds. */
    explicit RequestCore(CoreParameters parameters);
    ~RequestCore();
    RequestCore(const RequestCore&) = delete;
    RequestCore& operator=(const RequestCore&) = delete;

    /*!
        Applies classes, the service's numbers and the links' budgets.
        \param policy the document in force.
        \param now the current time.
    */
    void setPolicy(const Schema::PolicyDocument& policy, Utils::TimePoint now);

    /*!
        Replaces the known backend servers; work in progress on those that are gone stays counted.
        \param backends those of the own domain, and entry VMs of other domains.
        \param now the current time.
    */
    void setBackends(std::span<const Backend> backends, Utils::TimePoint now);

    /*!
        Sets how many slots of a backend server this entry VM may use.
        \param backend its name.
        \param slots number of slots; 0 after \a expiry.
        \param expiry when the credits lapse.
        \param now the current time.
    */
    void setCredits(
        std::string_view backend, std::uint32_t slots, Utils::TimePoint expiry, Utils::TimePoint now);

    /*! Refuses all that comes from now on and lets what was accepted finish. */
    void beginStop();

    /*! \return true if no request is queued or in progress. */
    bool isIdle() const;

    /*!
        A new request; it is queued, dispatched or rejected.
        \param description what is asked for; its id must be new.
        \param now the current time.
    */
    void submit(RequestDescription description, Utils::TimePoint now);

    /*!
        The caller is gone. Finished as NotRun if nothing was sent, else as Unknown.
        \param request its id; unknown ids are ignored.
        \param now the current time.
    */
    void cancel(RequestId request, Utils::TimePoint now);

    /*!
        The next byte goes to the backend server: from now on the outcome is unknown.
        \param attempt id from the Dispatch.
        \param now the current time.
        \return false if the request was decided or the credits lapsed meanwhile; then nothing may be sent,
       and attemptNotSent() follows.
    */
    bool beginSending(AttemptId attempt, Utils::TimePoint now);

    /*!
        The attempt ended before its first byte was sent.
        \param attempt id from the Dispatch.
        \param now the current time.
    */
    void onAttemptNotSent(AttemptId attempt, Utils::TimePoint now);

    /*!
        The backend server refused before execution.
        \param attempt id from the Dispatch.
        \param kind why.
        \param now the current time.
    */
    void onAttemptRefused(AttemptId attempt, RefusalKind kind, Utils::TimePoint now);

    /*!
        A whole answer arrived. A failure status of an idempotent request may lead to a new Dispatch;
        the shell passes the answer on when Finish says Completed.
        \param attempt id from the Dispatch.
        \param status HTTP status.
        \param now the current time.
    */
    void onAttemptCompleted(AttemptId attempt, std::uint32_t status, Utils::TimePoint now);

    /*!
        Bytes were sent and no whole answer came.
        \param attempt id from the Dispatch.
        \param now the current time.
    */
    void onAttemptBroken(AttemptId attempt, Utils::TimePoint now);

    /*!
        The answer made no progress within its bound, or the deadline passed.
        \param attempt id from the Dispatch.
        \param now the current time.
    */
    void onAttemptTimedOut(AttemptId attempt, Utils::TimePoint now);

    /*!
        Does what is due: expiry in queues, deadlines, delayed retries, freed slots.
        \param now the current time.
    */
    void tick(Utils::TimePoint now);

    /*! \return when tick() should next be called, if at all. */
    std::optional<Utils::TimePoint> nextWakeup() const;

    /*!
        Moves the pending actions out.
        \param actions receives them at its end, in order.
    */
    void takeActions(std::vector<Action>& actions);

    /*! \return counters for operators, by class and by backend server. */
    RequestCounters counters() const;

private:
    class Private;
    std::unique_ptr<Private> d_;
};

} // namespace Requests
