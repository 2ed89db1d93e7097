#include "workerlink.h"

#include "shardwatch.h"

#include <algorithm>
#include <utility>

namespace Batch {

WorkerLink::WorkerLink(Schema::VmEntry vm, Utils::TimePoint leasesLapsedAt, Utils::Duration longestLease)
    : vm_(std::move(vm))
    , leasesLapsedAt_(leasesLapsedAt)
    , longestLease_(longestLease)
{
}

void WorkerLink::stamp(
    Schema::CommandBatch& batch, std::uint64_t sequence, Utils::Duration lease, Utils::TimePoint now)
{
    // Answers to batches sent before this object existed are ignored: they say nothing about its own batches.
    if (sequence_ == 0)
        reportedSequence_ = sequence - 1;
    sequence_ = sequence;
    batch.set_sequence(sequence);
    batch.set_lease_ms(
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(lease).count()));
    awaitsReport_ = true;
    lastSentAt_ = now;
    if (!hasReported_)
        return;
    batch.set_incarnation(incarnation_);
    batch.set_granted_from_ms(workerClockMs_);
    leasesLapsedAt_ = std::max(leasesLapsedAt_, reportReceivedAt_ + withClockMargin(lease));
}

bool WorkerLink::onReport(std::uint64_t sequence, const Schema::WorkerReport& report, Utils::TimePoint now)
{
    if (sequence <= reportedSequence_ || sequence > sequence_)
        return false;
    reportedSequence_ = sequence;
    if (sequence == sequence_)
        awaitsReport_ = false;
    if (!hasReported_)
        leasesLapsedAt_ = now + withClockMargin(longestLease_);
    hasReported_ = true;
    incarnation_ = report.incarnation();
    workerClockMs_ = report.clock_ms();
    reportReceivedAt_ = now;
    return true;
}

void WorkerLink::onReportMissing(std::uint64_t sequence)
{
    if (sequence == sequence_)
        awaitsReport_ = false;
}

bool WorkerLink::canSend(Utils::TimePoint now, Utils::Duration timeout) const
{
    return !awaitsReport_ || now - lastSentAt_ >= timeout;
}

bool WorkerLink::allLeasesLapsed(Utils::TimePoint now) const
{
    return now >= leasesLapsedAt_;
}

bool WorkerLink::isResponsive(Utils::TimePoint now, Utils::Duration age) const
{
    return hasReported_ && now - reportReceivedAt_ <= age;
}

} // namespace Batch
