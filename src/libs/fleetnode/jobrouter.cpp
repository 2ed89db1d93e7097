#include "jobrouter.h"

#include "storedjobstate.h"

#include "utils/log/log.h"

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Pause before a request is sent to the owner again; a takeover of the shard becomes known to this node
// within about this time.
constexpr milliseconds ownerRetryPause { 120 };
// Timeout of one request to an owner. It leaves time for a transaction, which takes up to half a second if
// the store is slow.
constexpr milliseconds ownerTimeout { 1200 };
// Margin before the caller's deadline, so that the response arrives in time.
constexpr milliseconds answerReserve { 150 };
// Share of the caller's deadline for which a submission waits for an owner that can process it. The rest lets
// the caller retry at another node once the shard has been taken over. A submission that an owner may have
// processed keeps waiting, because only the owner knows its outcome.
constexpr int holdPercent = 45;
// Retry delay for callers if nothing was done. Within this delay, a shard without an owner is taken over, and
// an unavailable store may recover.
constexpr std::uint32_t retryAfterMs = 1000;
// Retry delay for callers if no shard has capacity for a long-running job. Such jobs seldom end, so an
// earlier retry would hardly find free capacity.
constexpr std::uint32_t overloadRetryAfterMs = 3000;

Ports::CallerResponse failure(Ports::CallerOutcome outcome, std::string message)
{
    Ports::CallerResponse answer;
    answer.outcome = outcome;
    answer.message = std::move(message);
    if (outcome == Ports::CallerOutcome::Unavailable)
        answer.retryAfterMs = retryAfterMs;
    return answer;
}

} // namespace

JobRouter::JobRouter(NodeContext& context, ShardDirectory& directory)
    : context_(context)
    , directory_(directory)
    , index_(context)
    , peerClient_(context)
{
}

JobRouter::CallPointer JobRouter::makeCall(Utils::TimePoint deadline, ResponseHandler handler)
{
    auto call = std::make_shared<Call>();
    call->deadline = deadline;
    call->handler = std::move(handler);
    call->timer = std::make_unique<Timer>(context_.io);
    return call;
}

void JobRouter::submit(const FleetSchema::JobSpec& spec, Utils::TimePoint deadline, ResponseHandler handler)
{
    // Waiting for the store would only use up the time that the caller has for a retry.
    if (!directory_.isStoreReachable())
        return handler(failure(Ports::CallerOutcome::Unavailable, "the store is out of reach"));
    const Fleet::ShardChoice choice = directory_.chooseShard(spec);
    if (choice.isOverloaded) {
        Ports::CallerResponse answer
            = failure(Ports::CallerOutcome::Overloaded, "no shard has room for a lasting job of this size");
        answer.retryAfterMs = overloadRetryAfterMs;
        return handler(answer);
    }
    if (choice.shard.empty())
        return handler(failure(Ports::CallerOutcome::Unavailable, "no shard has workers for this job"));
    const CallPointer call = makeCall(deadline, std::move(handler));
    *call->request.mutable_submit() = spec;
    call->holdTimer = std::make_unique<Timer>(context_.io);
    call->holdTimer->start((deadline - context_.now()) * holdPercent / 100, [this, call] {
        call->isHoldExpired = true;
        if (!call->mayHaveBeenProcessed && !call->isRequestInFlight)
            giveUp(call);
    });
    index_.assign(spec.id(), choice.shard, [this, call](const Utils::Result<std::string>& result) {
        // This submission cannot have been accepted, because it is forwarded to an owner only once the job's
        // index entry is known.
        if (!Utils::isOk(result))
            return answer(call, failure(Ports::CallerOutcome::Unavailable, Utils::error(result).toString()));
        call->request.set_shard(Utils::value(result));
        forwardToOwner(call);
    });
}

void JobRouter::answer(const CallPointer& call, const Ports::CallerResponse& answer)
{
    if (call->isAnswered)
        return;
    call->isAnswered = true;
    call->timer->stop();
    if (call->holdTimer)
        call->holdTimer->stop();
    call->handler(answer);
}

void JobRouter::query(const std::string& job, Utils::TimePoint deadline, ResponseHandler handler)
{
    const CallPointer call = makeCall(deadline, std::move(handler));
    call->request.set_query(job);
    findShardAndForward(call, job);
}

void JobRouter::cancel(const std::string& job, Utils::TimePoint deadline, ResponseHandler handler)
{
    const CallPointer call = makeCall(deadline, std::move(handler));
    call->request.set_cancel(job);
    findShardAndForward(call, job);
}

void JobRouter::findShardAndForward(const CallPointer& call, const std::string& job)
{
    index_.find(job, [this, call](const Utils::Result<std::string>& result) {
        if (Utils::isOk(result)) {
            call->request.set_shard(Utils::value(result));
            return forwardToOwner(call);
        }
        const Utils::Error& error = Utils::error(result);
        if (error.code == Utils::ErrorCode::NotFound)
            return answer(call, failure(Ports::CallerOutcome::NoSuchJob, "no such job"));
        answer(call, failure(Ports::CallerOutcome::Unavailable, error.toString()));
    });
}

void JobRouter::forwardToOwner(const CallPointer& call)
{
    // Once the caller was told that the job was not accepted, the job must not reach an owner.
    if (call->isAnswered)
        return;
    if (context_.now() + answerReserve >= call->deadline)
        return giveUp(call);
    call->isRequestInFlight = true;
    const std::string address = directory_.ownerAddress(call->request.shard());
    if (address.empty()) {
        return directory_.serve(
            call->request, [this, call](const FleetSchema::PeerReply& reply) { onReply(call, reply); });
    }
    const Utils::Duration timeout
        = std::min<Utils::Duration>(ownerTimeout, call->deadline - context_.now() - answerReserve);
    peerClient_.call(address, call->request, timeout,
        [this, call](const Utils::Result<FleetSchema::PeerReply>& result) { onReply(call, result); });
}

void JobRouter::onReply(const CallPointer& call, const Utils::Result<FleetSchema::PeerReply>& result)
{
    call->isRequestInFlight = false;
    const bool isServed = Utils::isOk(result) && Utils::value(result).outcome() != FleetSchema::PEER_NOT_OWNER
        && Utils::value(result).outcome() != FleetSchema::PEER_UNAVAILABLE;
    directory_.setOwnerResponsive(call->request.shard(), isServed);
    if (Utils::isOk(result))
        return onOwnerReply(call, Utils::value(result));
    if (Utils::error(result).code != Utils::ErrorCode::Unavailable)
        call->mayHaveBeenProcessed = true;
    if (call->request.has_query())
        return answerFromStore(call);
    retryLater(call);
}

void JobRouter::onOwnerReply(const CallPointer& call, const FleetSchema::PeerReply& reply)
{
    Ports::CallerResponse result;
    switch (reply.outcome()) {
    case FleetSchema::PEER_OK:
        result.hasState = !call->request.has_submit();
        result.state = reply.state();
        return answer(call, result);
    case FleetSchema::PEER_UNKNOWN_JOB:
        return answer(call, failure(Ports::CallerOutcome::NoSuchJob, "no such job"));
    case FleetSchema::PEER_REFUSED:
        if (call->mayHaveBeenProcessed)
            return answer(call, failure(Ports::CallerOutcome::Undecided, "an earlier try got no answer"));
        result = failure(Ports::CallerOutcome::Overloaded, "more work than workers");
        result.retryAfterMs = reply.retry_after_ms();
        return answer(call, result);
    case FleetSchema::PEER_UNAVAILABLE:
        return answer(call,
            failure(call->mayHaveBeenProcessed ? Ports::CallerOutcome::Undecided
                                               : Ports::CallerOutcome::Unavailable,
                "the owner of shard " + call->request.shard() + " cannot reach the store"));
    case FleetSchema::PEER_INVALID:
        return answer(call, failure(Ports::CallerOutcome::TooLarge, "the job cannot be stored"));
    case FleetSchema::PEER_UNDECIDED:
        call->mayHaveBeenProcessed = true;
        return retryLater(call);
    default:
        break;
    }
    if (call->request.has_query())
        return answerFromStore(call);
    retryLater(call);
}

void JobRouter::retryLater(const CallPointer& call)
{
    if (call->isHoldExpired && !call->mayHaveBeenProcessed)
        return giveUp(call);
    if (context_.now() + ownerRetryPause + answerReserve >= call->deadline)
        return giveUp(call);
    call->timer->start(ownerRetryPause, [this, call] { forwardToOwner(call); });
}

void JobRouter::giveUp(const CallPointer& call)
{
    const auto outcome = call->mayHaveBeenProcessed || call->isRequestInFlight
        ? Ports::CallerOutcome::Undecided
        : Ports::CallerOutcome::Unavailable;
    answer(call, failure(outcome, "the owner of shard " + call->request.shard() + " does not answer"));
}

void JobRouter::answerFromStore(const CallPointer& call)
{
    readStoredJobState(context_, call->request.shard(), call->request.query(),
        [this, call](const Utils::Result<FleetSchema::JobState>& result) {
            Ports::CallerResponse response;
            if (Utils::isOk(result)) {
                response.hasState = true;
                response.state = Utils::value(result);
            } else if (Utils::error(result).code == Utils::ErrorCode::NotFound) {
                response = failure(Ports::CallerOutcome::NoSuchJob, "no such job");
            } else {
                response = failure(Ports::CallerOutcome::Unavailable, Utils::error(result).toString());
            }
            answer(call, response);
        });
}

} // namespace FleetNode
