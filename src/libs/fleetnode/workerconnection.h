#pragma once

#include "nodecontext.h"
#include "timer.h"

#include "fleet/shardscheduler.h"

#include <functional>
#include <memory>
#include <string>

namespace FleetNode {

/*! What a link asks of the owner of its worker. */
class WorkerConnectionHandler {
public:
    virtual ~WorkerConnectionHandler() = default;

    /*! \param worker the worker. \return the next poll. */
    virtual Ports::PollRequest planPoll(const std::string& worker) = 0;

    /*! Takes in a report. \param worker who. \param sentAt when the poll was sent. \param report what it
     * said. */
    virtual void onReport(
        const std::string& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report)
        = 0;

    /*! Takes in that a poll failed. \param worker who. \param error why. */
    virtual void onPollFailed(const std::string& worker, const Utils::Error& error) = 0;
};

/*! Keeps polling one worker and carries orders to it. */
class WorkerConnection {
public:
    /*!
        \param context what the node shares.
        \param info the worker.
        \param owner asked for polls and told of reports; must outlive the link.
    */
    WorkerConnection(NodeContext& context, const Ports::WorkerInfo& info, WorkerConnectionHandler& handler);
    ~WorkerConnection();

    /*! Polls now if the next poll waits for ends to be recorded. */
    void resumePolling();

    /*! \return the worker's interface. */
    Ports::WorkerAgent& agent() { return *agent_; }

    /*! \return the address that the link was made for. */
    const std::string& address() const { return address_; }

private:
    void poll();
    void onResult(Utils::TimePoint sentAt, const Utils::Result<Ports::WorkerReport>& result);

    NodeContext& context_;
    std::string worker_;
    std::string address_;
    WorkerConnectionHandler& handler_;
    std::unique_ptr<Ports::WorkerAgent> agent_;
    Timer timer_;
    bool isWaitingForRecording_ = false; //!< The next poll waits until the ends of the last one are recorded.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
