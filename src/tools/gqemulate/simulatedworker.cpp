#include "simulatedworker.h"

#include <algorithm>

namespace Emulate {

namespace {

constexpr std::int64_t leaseLimitMs = 10'000;
constexpr int percentDone = 100;

} // namespace

SimulatedWorker::SimulatedWorker(Ports::WorkerInfo info, bool honorsEpochs)
    : info_(std::move(info))
    , honorsEpochs_(honorsEpochs)
{
}

Ports::CommandReply SimulatedWorker::start(
    const Ports::StartCommand& order, const TaskBehaviour& behaviour, std::int64_t nowMs)
{
    if (honorsEpochs_ && order.epoch < epoch_)
        return { Ports::CommandOutcome::Fenced, clock(nowMs) };
    epoch_ = std::max(epoch_, order.epoch);
    if (order.leaseUntilMs <= clock(nowMs))
        return { Ports::CommandOutcome::LeaseExpired, clock(nowMs) };
    const auto present = running_.find(order.task);
    if (present != running_.end() && present->second.attempt == order.attempt)
        return { Ports::CommandOutcome::Done, clock(nowMs) };
    if (present != running_.end() || order.attempt <= highestAttempt_[order.task])
        return { Ports::CommandOutcome::Superseded, clock(nowMs) };
    highestAttempt_[order.task] = order.attempt;
    leaseUntilMs_ = std::max(leaseUntilMs_, std::min(order.leaseUntilMs, clock(nowMs) + leaseLimitMs));
    running_[order.task] = { order.attempt, behaviour, nowMs };
    return { Ports::CommandOutcome::Done, clock(nowMs) };
}

Ports::CommandReply SimulatedWorker::stop(
    const Ports::TaskKey& task, std::uint32_t attempt, std::uint64_t epoch, std::int64_t nowMs)
{
    if (honorsEpochs_ && epoch < epoch_)
        return { Ports::CommandOutcome::Fenced, clock(nowMs) };
    epoch_ = std::max(epoch_, epoch);
    highestAttempt_[task] = std::max(highestAttempt_[task], attempt);
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.attempt == attempt)
        end(task, Ports::AttemptOutcome::Stopped);
    return { Ports::CommandOutcome::Done, clock(nowMs) };
}

std::optional<Ports::WorkerReport> SimulatedWorker::poll(const Ports::PollRequest& order, std::int64_t nowMs)
{
    if (honorsEpochs_ && order.epoch < epoch_)
        return std::nullopt;
    epoch_ = std::max(epoch_, order.epoch);
    if (order.leaseUntilMs > 0)
        leaseUntilMs_ = std::max(leaseUntilMs_, std::min(order.leaseUntilMs, clock(nowMs) + leaseLimitMs));
    std::erase_if(ended_, [&](const Ports::EndedAttempt& ended) {
        if (ended.sequence > order.acknowledgedUpTo)
            return false;
        if (ended.sequence > lapsedEnd_)
            acknowledged.push_back(ended);
        return true;
    });
    Ports::WorkerReport report;
    report.startedUnixMs = info_.startedUnixMs;
    report.clockMs = clock(nowMs);
    report.ended = ended_;
    for (const auto& [task, run] : running_) {
        const std::int64_t whole = run.behaviour.runMs * slowness;
        const int percent = whole == 0
            ? percentDone
            : static_cast<int>(std::min<std::int64_t>(99, (nowMs - run.startedMs) * percentDone / whole));
        report.running.push_back({ task, run.attempt, {}, percent, run.behaviour.milliProcessors });
    }
    return report;
}

void SimulatedWorker::advance(std::int64_t nowMs)
{
    const bool isLapsed = leaseUntilMs_ <= clock(nowMs);
    if (isLapsed)
        lapsedEnd_ = nextEnd_ - 1;
    std::vector<std::pair<Ports::TaskKey, Ports::AttemptOutcome>> ends;
    for (const auto& [task, run] : running_) {
        const bool isDue = run.behaviour.runMs > 0 && nowMs - run.startedMs >= run.behaviour.runMs * slowness;
        // A task that fails does so half way.
        const bool isFailing = (failsEverything || run.behaviour.alwaysFails)
            && nowMs - run.startedMs >= run.behaviour.runMs / 2;
        if (isLapsed)
            ends.emplace_back(task, Ports::AttemptOutcome::LeaseLapsed);
        else if (isFailing)
            ends.emplace_back(task, Ports::AttemptOutcome::Failed);
        else if (isDue)
            ends.emplace_back(task, Ports::AttemptOutcome::Done);
    }
    for (const auto& [task, kind] : ends)
        end(task, kind);
}

void SimulatedWorker::end(const Ports::TaskKey& task, Ports::AttemptOutcome kind)
{
    const auto run = running_.find(task);
    ended_.push_back({ nextEnd_++, task, run->second.attempt, kind, {} });
    newEnds.push_back(ended_.back());
    running_.erase(run);
}

void SimulatedWorker::restart(std::int64_t nowMs)
{
    running_.clear();
    highestAttempt_.clear();
    ended_.clear();
    nextEnd_ = 1;
    lapsedEnd_ = 0;
    epoch_ = 0;
    leaseUntilMs_ = 0;
    info_.startedUnixMs = nowMs;
}

} // namespace Emulate
