#pragma once

#include "workerreport.h"

#include "utils/clock.h"
#include "utils/result.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Ports {

/*! Why a worker did not carry out an order. */
enum class CommandOutcome {
    Done, //!< Carried out, also if it had been before.
    Fenced, //!< The worker has seen a higher epoch.
    Superseded, //!< A run with this or a higher number was stopped or ended there.
    LeaseExpired, //!< The lease in the order had passed.
    InsufficientCapacity,
    InvalidTicket, //!< The advice service's ticket is missing or not valid.
    Invalid,
    Rejected, //!< The worker turned it away without doing anything.
    IncarnationMismatch, //!< The worker's incarnation is not the intended one.
};

/*! Answer to an order. */
struct CommandReply {
    CommandOutcome outcome = CommandOutcome::Done;
    std::int64_t clockMs = 0; //!< The worker's clock; 0 if not told.
};

/*! An attempt to start. */
struct StartCommand {
    TaskKey task;
    std::uint32_t attempt = 0;
    std::string payload;
    std::string checkpoint; //!< Empty: from the beginning.
    std::string ticket; //!< Of the advice service; empty if not needed.
    std::int64_t leaseUntilMs = 0; //!< On the worker's clock.
    std::uint64_t epoch = 0;
};

/*! A request for the worker's state, which also renews its lease. */
struct PollRequest {
    std::int64_t leaseUntilMs = 0; //!< On the worker's clock; 0: leave the lease as it is.
    std::uint64_t epoch = 0;
    std::uint64_t acknowledgedUpTo = 0; //!< Ends up to this number may be forgotten.
    Utils::Duration wait {}; //!< How long the worker may wait for an end.
};

/*!
    One worker; asynchronous, handlers run on the caller's thread and never inside the call.

    Errors: Unavailable if the order was not sent, OutcomeUnknown if it may have been or may still be carried
   out.
*/
class WorkerAgent {
public:
    using CommandHandler = std::function<void(Utils::Result<CommandReply>)>;
    using ReportHandler = std::function<void(Utils::Result<WorkerReport>)>;

    virtual ~WorkerAgent() = default;

    /*! Starts an attempt. \param order the attempt. \param handler receives the answer. */
    virtual void start(const StartCommand& command, CommandHandler handler) = 0;

    /*! Stops an attempt and refuses it from then on. \param task,attempt the attempt. \param epoch of the
       owner. \param handler receives the answer. */
    virtual void stop(const TaskKey& task, std::uint32_t attempt, std::uint64_t epoch, CommandHandler handler)
        = 0;

    /*! Limits the speed of an attempt. \param task,attempt the attempt. \param percent share of its full
       speed. \param epoch of the owner. \param handler receives the answer. */
    virtual void throttle(const TaskKey& task, std::uint32_t attempt, int speedPercent, std::uint64_t epoch,
        CommandHandler handler)
        = 0;

    /*! Renews the lease and asks for the state. \param order lease and wait. \param handler receives the
     * state. */
    virtual void poll(const PollRequest& request, ReportHandler handler) = 0;
};

} // namespace Ports
