#pragma once

#include "nodecontext.h"
#include "timer.h"

#include "fleet/shardscheduler.h"

#include <functional>
#include <memory>
#include <string>

namespace FleetNode {

/*! Supplies a worker connection with poll requests and receives its reports. */
class WorkerConnectionHandler {
public:
    virtual ~WorkerConnectionHandler() = default;

    /*! \return the next poll request to send to a worker. */
    virtual Ports::PollRequest planPoll(const std::string& worker) = 0;

    /*! Called for each report of a worker. \param sentAt time at which the poll was sent. */
    virtual void onReport(
        const std::string& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report)
        = 0;

    /*! Called when a poll failed. */
    virtual void onPollFailed(const std::string& worker, const Utils::Error& error) = 0;
};

/*! Polls one worker continuously and gives access to its agent for commands. */
class WorkerConnection {
public:
    /*! Starts polling from the event loop. \param handler must outlive the connection. */
    WorkerConnection(NodeContext& context, const Ports::WorkerInfo& info, WorkerConnectionHandler& handler);
    ~WorkerConnection();

    /*! Polls immediately if the next poll is waiting for ended attempts to be recorded. */
    void resumePolling();

    /*! \return the agent that sends commands to the worker. */
    Ports::WorkerAgent& agent() { return *agent_; }

    /*! \return the worker's address at the time the connection was created. */
    const std::string& address() const { return address_; }

private:
    void poll();
    void onResult(Utils::TimePoint sentAt, std::uint64_t acknowledged,
        const Utils::Result<Ports::WorkerReport>& result);

    NodeContext& context_;
    std::string worker_;
    std::string address_;
    WorkerConnectionHandler& handler_;
    std::unique_ptr<Ports::WorkerAgent> agent_;
    Timer timer_;
    bool isWaitingForRecording_ = false; //!< The next poll waits until ended attempts are recorded.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
