#include "workerlink.h"

#include "shardwatch.h"

#include <algorithm>
#include <utility>

namespace Batch {

WorkerLink::WorkerLink(Schema::VmEntry vm, Utils::TimePoint lapsedAfter, Utils::Duration longestLease)
    : vm_(std::move(vm))
    , lapsedAfter_(lapsedAfter)
    , longestLease_(longestLease)
{
}

void WorkerLink::stamp(
    Schema::CommandBatch& batch, std::uint64_t sequence, Utils::Duration lease, Utils::TimePoint now)
{
    // Answers to batches from before this link say nothing about what was sent through it.
    if (sequence_ == 0)
        reportedSequence_ = sequence - 1;
    sequence_ = sequence;
    batch.set_sequence(sequence);
    batch.set_lease_ms(
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(lease).count()));
    awaitsReport_ = true;
    lastSentAt_ = now;
    if (!heard_)
        return;
    batch.set_incarnation(incarnation_);
    batch.set_granted_from_ms(workerClockMs_);
    lapsedAfter_ = std::max(lapsedAfter_, reportReceivedAt_ + withClockMargin(lease));
}

bool WorkerLink::onReport(std::uint64_t sequence, const Schema::WorkerReport& report, Utils::TimePoint now)
{
    if (sequence <= reportedSequence_ || sequence > sequence_)
        return false;
    reportedSequence_ = sequence;
    if (sequence == sequence_)
        awaitsReport_ = false;
    if (!heard_)
        lapsedAfter_ = now + withClockMargin(longestLease_);
    heard_ = true;
    incarnation_ = report.incarnation();
    workerClockMs_ = report.clock_ms();
    reportReceivedAt_ = now;
    return true;
}

void WorkerLink::onSilence(std::uint64_t sequence)
{
    if (sequence == sequence_)
        awaitsReport_ = false;
}

bool WorkerLink::idle(Utils::TimePoint now, Utils::Duration timeout) const
{
    return !awaitsReport_ || now - lastSentAt_ >= timeout;
}

bool WorkerLink::surelyLapsed(Utils::TimePoint now) const
{
    return now >= lapsedAfter_;
}

bool WorkerLink::recentlyHeard(Utils::TimePoint now, Utils::Duration age) const
{
    return heard_ && now - reportReceivedAt_ <= age;
}

} // namespace Batch
