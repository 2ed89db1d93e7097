#include "workerconnection.h"

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Delay after a failed poll: detects a recovered worker soon without overloading one that is restarting.
constexpr milliseconds retryPause { 250 };
// Maximum pause after a report with ended attempts, in which they are recorded; until then, a poll would
// return the same attempts again at once.
constexpr milliseconds recordingPause { 200 };

} // namespace

WorkerConnection::WorkerConnection(
    NodeContext& context, const Ports::WorkerInfo& info, WorkerConnectionHandler& handler)
    : context_(context)
    , worker_(info.id)
    , address_(info.address)
    , handler_(handler)
    , agent_(context.platform.makeWorkerAgent(info))
    , timer_(context.io)
{
    timer_.start(Utils::Duration::zero(), [this] { poll(); });
}

WorkerConnection::~WorkerConnection() = default;

void WorkerConnection::resumePolling()
{
    if (isWaitingForRecording_ && timer_.isSet())
        timer_.start(Utils::Duration::zero(), [this] { poll(); });
}

void WorkerConnection::poll()
{
    const Ports::PollRequest request = handler_.planPoll(worker_);
    agent_->poll(request,
        [this, weak = std::weak_ptr<bool>(alive_), sentAt = context_.now(),
            acknowledged = request.acknowledgedUpTo](const Utils::Result<Ports::WorkerReport>& result) {
            if (weak.lock())
                onResult(sentAt, acknowledged, result);
        });
}

void WorkerConnection::onResult(
    Utils::TimePoint sentAt, std::uint64_t acknowledged, const Utils::Result<Ports::WorkerReport>& result)
{
    context_.metrics.add("geraniumquay_worker_polls_total",
        Telemetry::label("result", Utils::isOk(result) ? "answered" : "failed"));
    if (!Utils::isOk(result)) {
        isWaitingForRecording_ = false;
        timer_.start(retryPause, [this] { poll(); });
        handler_.onPollFailed(worker_, Utils::error(result));
        return;
    }
    // A poll without acknowledgement returns ends again that are recorded already.
    const std::vector<Ports::EndedAttempt>& ended = Utils::value(result).ended;
    isWaitingForRecording_ = !ended.empty() && ended.back().sequence > acknowledged;
    timer_.start(isWaitingForRecording_ ? recordingPause : Utils::Duration::zero(), [this] { poll(); });
    handler_.onReport(worker_, sentAt, Utils::value(result));
}

} // namespace FleetNode
