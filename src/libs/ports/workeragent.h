#pragma once

#include "workerreport.h"

#include "utils/clock.h"
#include "utils/result.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Ports {

/*! Whether a worker executed a command, or why it did not. Speaks of the latest sending of the command. */
enum class CommandOutcome {
    Done, //!< Executed, now or by an earlier copy of the command.
    Fenced, //!< The worker has seen a command with a higher epoch.
    Superseded, //!< This attempt or a later one was already stopped or has ended on the worker.
    LeaseExpired, //!< The lease in the command had already expired.
    InsufficientCapacity,
    InvalidTicket, //!< The advice service's ticket is missing or invalid.
    Invalid,
    Rejected, //!< The worker is overloaded or unhealthy and did nothing.
    IncarnationMismatch, //!< The worker is not the incarnation that the command addresses, and did nothing.
};

/*! Reply to a command. */
struct CommandReply {
    CommandOutcome outcome = CommandOutcome::Done;
    std::int64_t clockMs = 0; //!< Current time of the worker's clock; 0: unknown.
    //! An earlier sending got no answer, so the worker may have executed the command even if it rejects it
    //! now.
    bool isToRepeatedCommand = false;

    /*! \return whether the command has certainly not been executed. */
    bool isNotExecuted() const { return outcome != CommandOutcome::Done && !isToRepeatedCommand; }
};

/*! Right of a shard's owner to send a command to a worker. */
struct Authority {
    std::uint64_t epoch = 0; //!< Epoch of the shard's owner.
    //! A command that was not written to the connection by this time is not sent.
    Utils::TimePoint sendBy = Utils::TimePoint::max();
};

/*! Command to start an attempt. */
struct StartCommand {
    TaskKey task;
    std::uint32_t attempt = 0;
    std::string payload;
    std::string checkpoint; //!< Checkpoint to resume from; empty: start from the beginning.
    std::string ticket; //!< Issued by the advice service; empty if not required.
    std::int64_t leaseUntilMs = 0; //!< Expiry of the lease, on the worker's clock.
    //! Start time of the incarnation that the command is meant for; no other one carries it out. 0: any.
    std::int64_t workerStartUnixMs = 0;
    //! The worker must answer another call within this time right before the command is sent, or the command
    //! is not sent (Unavailable). 0: an earlier answer on the connection suffices.
    Utils::Duration checkLimit {};
    Authority authority;
};

/*! Request for a worker's report, which also renews the worker's lease. */
struct PollRequest {
    std::int64_t leaseUntilMs = 0; //!< New expiry of the lease, on the worker's clock; 0: do not renew it.
    Authority authority;
    std::uint64_t acknowledgedUpTo = 0; //!< The worker may drop ended attempts up to this sequence number.
    Utils::Duration wait {}; //!< How long the worker may delay its report until an attempt ends.
};

/*!
    Sends commands to one worker.

    All calls are asynchronous: the handler runs later on the calling thread, never inside the call.

    Errors are Unavailable if the command was not sent, and OutcomeUnknown if it may have been executed or may
    still be executed.
*/
class WorkerAgent {
public:
    using CommandHandler = std::function<void(Utils::Result<CommandReply>)>;
    using ReportHandler = std::function<void(Utils::Result<WorkerReport>)>;

    virtual ~WorkerAgent() = default;

    /*! Starts an attempt. */
    virtual void start(const StartCommand& command, CommandHandler handler) = 0;

    /*!
        Stops an attempt; the worker rejects later commands to start it.
    */
    virtual void stop(
        const TaskKey& task, std::uint32_t attempt, const Authority& authority, CommandHandler handler)
        = 0;

    /*!
        Limits the speed of an attempt.
        \param speedPercent share of the full speed, from 0 to 100.
    */
    virtual void throttle(const TaskKey& task, std::uint32_t attempt, int speedPercent,
        const Authority& authority, CommandHandler handler)
        = 0;

    /*!
        Renews the worker's lease and requests a report. The lease and the acknowledgement, which are in the
        terms of one incarnation, reach only the process that has sent the report before this one.
        \param handler receives the report; Conflict if the worker has seen a higher epoch, NotFound if
       another worker has taken the place of this one, so that nothing runs on this one any more.
    */
    virtual void poll(const PollRequest& request, ReportHandler handler) = 0;
};

} // namespace Ports
