// Starts and stops that EmulatedOwner sends to workers.

#include "emulatedowner.h"

#include "emulatedfleet.h"

#include <variant>

namespace Emulate {

namespace {

constexpr std::int64_t workerTimeoutMs = 700;

} // namespace

void EmulatedOwner::startAttempt(const Fleet::AttemptStart& start)
{
    trace(start.task, "start of attempt " + std::to_string(start.attempt) + " ordered at " + start.worker);
    Ports::StartCommand command;
    command.task = start.task;
    command.attempt = start.attempt;
    command.leaseUntilMs = start.leaseUntilMs;
    command.authority.epoch = tokenFor(start.worker);
    const ConnectionKind connections = fleet_.scenario().connections;
    const bool endWithProcess
        = connections == ConnectionKind::EndWithProcess || connections == ConnectionKind::EndWithAnswer;
    if (endWithProcess && fleet_.scenario().variant != FleetVariant::CallsToAnyIncarnation)
        command.workerStartUnixMs = start.workerBornMs;
    fleet_.onStartOrdered(start.task, start.worker, shard_);
    const auto onReply = [weak = weak_from_this(), worker = start.worker, command](
                             const Utils::Result<Ports::CommandReply>& reply) {
        if (const auto self = weak.lock())
            self->runLater(0, [owner = self.get(), worker, command, reply] {
                const auto* const error = std::get_if<Utils::Error>(&reply);
                if (!error || error->code != Utils::ErrorCode::OutcomeUnknown)
                    owner->fleet_.onStartResolved(command.task, worker);
                owner->scheduler_->onStartReply(
                    worker, command.task, command.attempt, reply, owner->fleet_.time().now());
            });
    };
    if (isForbiddenProbe(start))
        return runLater(0, [onReply] {
            onReply(Ports::CommandReply { Ports::CommandOutcome::Rejected, 0 });
        });
    if (!nextPollMs_.contains(start.worker)) {
        return runLater(0, [onReply, worker = start.worker] {
            onReply(Utils::Error { Utils::ErrorCode::Unavailable, "start", worker, "no connection" });
        });
    }
    if (start.checkLimit != Utils::Duration::zero())
        return startIfAnswering(start, command, onReply);
    sendStart(start.worker, command, onReply);
}

// Sends the start if the worker would answer a check. The time that the check takes is not emulated.
void EmulatedOwner::startIfAnswering(
    const Fleet::AttemptStart& start, const Ports::StartCommand& command, const StartHandler& onReply)
{
    const FleetWorker* const worker = fleet_.platform().findWorker(start.worker);
    if (worker && worker->answers())
        return sendStart(start.worker, command, onReply);
    const auto limitMs = std::chrono::duration_cast<std::chrono::milliseconds>(start.checkLimit).count();
    fleet_.time().schedule(limitMs, [onReply, id = start.worker] {
        onReply(Utils::Error { Utils::ErrorCode::Unavailable, "start", id, "the check was not answered" });
    });
}

void EmulatedOwner::sendStart(
    const std::string& id, const Ports::StartCommand& command, const StartHandler& onReply)
{
    fleet_.time().schedule(
        fleet_.time().latencyMs(), [&fleet = fleet_, worker = id, command, onReply, shard = shard_] {
            const auto reply = fleet.startOnWorker(worker, command, shard);
            if (reply)
                return onReply(*reply);
            fleet.time().schedule(workerTimeoutMs, [onReply, worker] {
                onReply(Utils::Error { Utils::ErrorCode::OutcomeUnknown, "start", worker, "no answer" });
            });
        });
}

// For FleetVariant::NoProbesByFailedTasks.
bool EmulatedOwner::isForbiddenProbe(const Fleet::AttemptStart& start) const
{
    return fleet_.scenario().variant == FleetVariant::NoProbesByFailedTasks
        && quarantinedWorkers_.contains(start.worker) && failedTasks_.contains(start.task);
}

void EmulatedOwner::stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt)
{
    trace(task, "stop of attempt " + std::to_string(attempt) + " ordered at " + worker);
    if (!nextPollMs_.contains(worker))
        return;
    fleet_.time().schedule(fleet_.time().latencyMs(),
        [weak = weak_from_this(), &fleet = fleet_, worker, task, attempt, epoch = tokenFor(worker)] {
            FleetWorker* const target = fleet.platform().findWorker(worker);
            if (!target || !target->carriesOutCalls())
                return;
            const Ports::CommandReply reply = target->simulated.stop(task, attempt, epoch, fleet.nowMs());
            if (const auto self = target->answers() ? weak.lock() : nullptr)
                self->runLater(0, [owner = self.get(), worker, task, attempt, reply] {
                    owner->scheduler_->onStopReply(worker, task, attempt, reply, owner->fleet_.time().now());
                });
        });
}

} // namespace Emulate
