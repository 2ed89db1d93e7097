#include "workerlink.h"

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Pause after a failed poll: finds a returned worker soon without crowding one that restarts.
constexpr milliseconds retryPause { 250 };
// Ends are recorded meanwhile; a poll before that would return the same ends at once.
constexpr milliseconds recordPause { 200 };

} // namespace

WorkerLink::WorkerLink(NodeContext& context, const Ports::WorkerInfo& info, WorkerLinkOwner& owner)
    : context_(context)
    , worker_(info.id)
    , address_(info.address)
    , owner_(owner)
    , agent_(context.platform.makeWorkerAgent(info))
    , timer_(context.io)
{
    timer_.start(Utils::Duration::zero(), [this] { poll(); });
}

WorkerLink::~WorkerLink() = default;

void WorkerLink::wake()
{
    if (isAwaitingRecord_ && timer_.isSet())
        timer_.start(Utils::Duration::zero(), [this] { poll(); });
}

void WorkerLink::poll()
{
    const Ports::PollRequest order = owner_.planPoll(worker_);
    agent_->poll(order,
        [this, weak = std::weak_ptr<bool>(alive_), sentAt = context_.now()](
            const Utils::Result<Ports::WorkerReport>& result) {
            if (weak.lock())
                onResult(sentAt, result);
        });
}

void WorkerLink::onResult(Utils::TimePoint sentAt, const Utils::Result<Ports::WorkerReport>& result)
{
    context_.metrics.add("geraniumquay_worker_polls_total",
        Telemetry::label("result", Utils::isOk(result) ? "answered" : "failed"));
    if (!Utils::isOk(result)) {
        isAwaitingRecord_ = false;
        timer_.start(retryPause, [this] { poll(); });
        owner_.onPollFailed(worker_, Utils::error(result));
        return;
    }
    isAwaitingRecord_ = !Utils::value(result).ended.empty();
    timer_.start(isAwaitingRecord_ ? recordPause : Utils::Duration::zero(), [this] { poll(); });
    owner_.onReport(worker_, sentAt, Utils::value(result));
}

} // namespace FleetNode
