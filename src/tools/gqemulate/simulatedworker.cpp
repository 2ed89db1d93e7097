#include "simulatedworker.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Emulate {

namespace {

constexpr std::int64_t maxLeaseMs = 10'000;
constexpr int completePercent = 100;
// Time from the start of a task that crashes workers to the crash.
constexpr std::int64_t crashDelayMs = 10;

} // namespace

SimulatedWorker::SimulatedWorker(Ports::WorkerInfo info, bool honorsEpochs)
    : info_(std::move(info))
    , honorsEpochs_(honorsEpochs)
    , capacityChanges_({ { std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::min(),
          info_.milliProcessors, info_.memoryMb } })
{
}

Ports::CommandReply SimulatedWorker::start(
    const Ports::StartCommand& command, const TaskBehavior& behavior, std::int64_t nowMs)
{
    if (command.workerStartUnixMs != 0 && command.workerStartUnixMs != info_.startedUnixMs)
        return { Ports::CommandOutcome::IncarnationMismatch, clockMs(nowMs) };
    if (honorsEpochs_ && command.authority.epoch < epoch_)
        return { Ports::CommandOutcome::Fenced, clockMs(nowMs) };
    epoch_ = std::max(epoch_, command.authority.epoch);
    if (command.leaseUntilMs <= clockMs(nowMs))
        return { Ports::CommandOutcome::LeaseExpired, clockMs(nowMs) };
    const auto existing = running_.find(command.task);
    if (existing != running_.end() && existing->second.number == command.attempt)
        return { Ports::CommandOutcome::Done, clockMs(nowMs) };
    if (existing != running_.end() || command.attempt <= highestAttempt_[command.task])
        return { Ports::CommandOutcome::Superseded, clockMs(nowMs) };
    highestAttempt_[command.task] = command.attempt;
    leaseUntilMs_ = std::max(leaseUntilMs_, std::min(command.leaseUntilMs, clockMs(nowMs) + maxLeaseMs));
    running_[command.task] = { command.attempt, behavior, nowMs, 100, 0, -1, -1 };
    return { Ports::CommandOutcome::Done, clockMs(nowMs) };
}

Ports::CommandReply SimulatedWorker::stop(
    const Ports::TaskKey& task, std::uint32_t attempt, std::uint64_t epoch, std::int64_t nowMs)
{
    if (honorsEpochs_ && epoch < epoch_)
        return { Ports::CommandOutcome::Fenced, clockMs(nowMs) };
    epoch_ = std::max(epoch_, epoch);
    highestAttempt_[task] = std::max(highestAttempt_[task], attempt);
    const auto existing = running_.find(task);
    if (existing != running_.end() && existing->second.number == attempt) {
        if (stopDurationMs == 0)
            endAttempt(task, Ports::AttemptOutcome::Stopped);
        else if (existing->second.stopAtMs < 0)
            existing->second.stopAtMs = nowMs + stopDurationMs;
    }
    return { Ports::CommandOutcome::Done, clockMs(nowMs) };
}

std::optional<Ports::WorkerReport> SimulatedWorker::poll(
    const Ports::PollRequest& command, std::int64_t nowMs)
{
    if (honorsEpochs_ && command.authority.epoch < epoch_)
        return std::nullopt;
    epoch_ = std::max(epoch_, command.authority.epoch);
    if (command.leaseUntilMs > 0)
        leaseUntilMs_ = std::max(leaseUntilMs_, std::min(command.leaseUntilMs, clockMs(nowMs) + maxLeaseMs));
    acknowledgedUpTo_ = std::max(acknowledgedUpTo_, command.acknowledgedUpTo);
    forgetAcknowledgedEnds();
    Ports::WorkerReport report;
    report.startedUnixMs = info_.startedUnixMs;
    report.clockMs = clockMs(nowMs);
    report.ended = unacknowledgedEnds_;
    for (const auto& [task, attempt] : running_) {
        const std::int64_t totalRunTimeMs = attempt.behavior.runTimeMs * slowness;
        const int percent = totalRunTimeMs == 0
            ? completePercent
            : static_cast<int>(std::min<std::int64_t>(
                99, (nowMs - attempt.startedMs - attempt.lostMs) * completePercent / totalRunTimeMs));
        report.running.push_back({ task, attempt.number, {}, percent, reportedLoad(attempt, nowMs) });
    }
    return report;
}

void SimulatedWorker::advance(std::int64_t nowMs)
{
    const bool isLeaseLapsed = leaseUntilMs_ <= clockMs(nowMs);
    if (isLeaseLapsed)
        lastEndBeforeLapse_ = nextEndNumber_ - 1;
    const std::int64_t elapsedMs = nowMs - advancedMs_;
    advancedMs_ = nowMs;
    const bool isCrashDue = std::any_of(running_.begin(), running_.end(), [nowMs](const auto& entry) {
        return entry.second.behavior.crashesWorker && nowMs - entry.second.startedMs >= crashDelayMs;
    });
    if (isCrashDue)
        return crash();
    std::vector<std::pair<Ports::TaskKey, Ports::AttemptOutcome>> ends;
    for (auto& [task, attempt] : running_) {
        attempt.lostMs += elapsedMs * (completePercent - attempt.speedPercent) / completePercent;
        const std::int64_t ranMs = nowMs - attempt.startedMs - attempt.lostMs;
        const bool isDue = attempt.behavior.runTimeMs > 0 && ranMs >= attempt.behavior.runTimeMs * slowness;
        // A failing task fails halfway through its run time.
        const bool isFailing
            = (failsAllTasks || attempt.behavior.alwaysFails) && ranMs >= attempt.behavior.runTimeMs / 2;
        if (isLeaseLapsed && attempt.lapseAtMs < 0)
            attempt.lapseAtMs = nowMs + stopDurationMs;
        if (attempt.lapseAtMs >= 0 && attempt.lapseAtMs <= nowMs)
            ends.emplace_back(task, Ports::AttemptOutcome::LeaseLapsed);
        else if (attempt.stopAtMs >= 0 && attempt.stopAtMs <= nowMs)
            ends.emplace_back(task, Ports::AttemptOutcome::Stopped);
        else if (isFailing)
            ends.emplace_back(task, Ports::AttemptOutcome::Failed);
        else if (isDue)
            ends.emplace_back(task, Ports::AttemptOutcome::Done);
    }
    for (const auto& [task, kind] : ends)
        endAttempt(task, kind);
}

void SimulatedWorker::throttle(
    const Ports::TaskKey& task, std::uint32_t attempt, int speedPercent, std::uint64_t epoch)
{
    if (honorsEpochs_ && epoch < epoch_)
        return;
    epoch_ = std::max(epoch_, epoch);
    const auto existing = running_.find(task);
    if (existing != running_.end() && existing->second.number == attempt)
        existing->second.speedPercent = speedPercent;
}

// A latency-critical task is a queue whose utilization depends on its own load, which changes with time, and
// on the best-effort tasks beside it.
std::int64_t SimulatedWorker::reportedLoad(const Attempt& attempt, std::int64_t nowMs) const
{
    if (attempt.behavior.tailTargetMs == 0)
        return attempt.behavior.milliProcessors * attempt.speedPercent / completePercent;
    constexpr double tailWithoutLoadMs = 8;
    constexpr double periodMs = 20'000;
    constexpr double amplitude = 0.25;
    constexpr double fullTurn = 6.283185307179586;
    double utilization = attempt.behavior.meanUtilization
        + amplitude * std::sin(static_cast<double>(nowMs) * fullTurn / periodMs);
    for (const auto& [task, other] : running_) {
        if (other.behavior.isBestEffort)
            utilization += other.behavior.pressure * static_cast<double>(other.behavior.milliProcessors)
                / static_cast<double>(info_.milliProcessors) * other.speedPercent / completePercent;
    }
    return static_cast<std::int64_t>(tailWithoutLoadMs / (1 - std::min(0.98, utilization)));
}

void SimulatedWorker::forgetAcknowledgedEnds()
{
    std::erase_if(unacknowledgedEnds_, [this](const Ports::EndedAttempt& ended) {
        if (ended.sequence > acknowledgedUpTo_)
            return false;
        if (ended.sequence > lastEndBeforeLapse_)
            newlyAcknowledged.push_back(ended);
        return true;
    });
}

void SimulatedWorker::endAttempt(const Ports::TaskKey& task, Ports::AttemptOutcome kind)
{
    const auto attempt = running_.find(task);
    unacknowledgedEnds_.push_back({ nextEndNumber_++, task, attempt->second.number, kind, {} });
    newlyEnded.push_back(unacknowledgedEnds_.back());
    running_.erase(attempt);
    forgetAcknowledgedEnds();
}

void SimulatedWorker::crash()
{
    for (const auto& [task, attempt] : running_) {
        if (attempt.behavior.crashesWorker)
            newlyCrashedUnder.push_back(task);
    }
    running_.clear();
    isUp = false;
}

void SimulatedWorker::setCapacity(
    std::int64_t milliProcessors, std::int64_t memoryMb, std::int64_t listDelayMs, std::int64_t nowMs)
{
    info_.milliProcessors = milliProcessors;
    info_.memoryMb = memoryMb;
    capacityChanges_.push_back({ nowMs, nowMs + listDelayMs, milliProcessors, memoryMb });
}

Ports::WorkerInfo SimulatedWorker::entry(std::int64_t nowMs) const
{
    const auto shown = std::find_if(capacityChanges_.rbegin(), capacityChanges_.rend(),
        [nowMs](const CapacityChange& change) { return change.listedMs <= nowMs; });
    Ports::WorkerInfo entry = info_;
    entry.milliProcessors = shown->milliProcessors;
    entry.memoryMb = shown->memoryMb;
    return entry;
}

Ports::WorkerInfo SimulatedWorker::largestRecentCapacity(std::int64_t windowMs, std::int64_t nowMs) const
{
    Ports::WorkerInfo largest = info_;
    for (std::size_t number = 0; number + 1 < capacityChanges_.size(); ++number) {
        // A capacity lasts until the next change.
        if (capacityChanges_[number + 1].timeMs < nowMs - windowMs)
            continue;
        largest.milliProcessors = std::max(largest.milliProcessors, capacityChanges_[number].milliProcessors);
        largest.memoryMb = std::max(largest.memoryMb, capacityChanges_[number].memoryMb);
    }
    return largest;
}

void SimulatedWorker::restart(std::int64_t nowMs)
{
    running_.clear();
    highestAttempt_.clear();
    unacknowledgedEnds_.clear();
    nextEndNumber_ = 1;
    acknowledgedUpTo_ = 0;
    lastEndBeforeLapse_ = 0;
    epoch_ = 0;
    leaseUntilMs_ = 0;
    info_.startedUnixMs = nowMs;
}

} // namespace Emulate
