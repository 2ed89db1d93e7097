#pragma once

#include "utils/clock.h"

#include <batch.pb.h>
#include <platform.pb.h>

#include <cstdint>
#include <string>

namespace Batch {

/*!
    The owner's side of the lease at one worker: numbers batches, tells which reports count and from when on
    the lease has surely lapsed.

    The worker counts its lease from the moment of the report that a batch gives back, the owner from when it
    received that report, which is later.
*/
class WorkerLink {
public:
    /*!
        \param vm the worker as listed.
        \param leasesLapsedAt when every lease that earlier owners may have granted has lapsed, if it stays
       unheard. \param longestLease longest lease of this and earlier owners; once the worker has reported, it
       refuses earlier owners, so what they granted lapses within it.
    */
    WorkerLink(Schema::VmEntry vm, Utils::TimePoint leasesLapsedAt, Utils::Duration longestLease);

    /*!
        Numbers a batch and grants the lease with it.
        \param batch the batch to complete.
        \param sequence its number: higher than that of any earlier batch of this process to the worker.
        \param lease duration of the lease.
        \param now the current time.
    */
    void stamp(
        Schema::CommandBatch& batch, std::uint64_t sequence, Utils::Duration lease, Utils::TimePoint now);

    /*!
        Takes in a report.
        \param sequence of the batch that it answers.
        \param report the report.
        \param now the current time.
        \return false if a later one came first, or if it answers a batch from before this link.
    */
    bool onReport(std::uint64_t sequence, const Schema::WorkerReport& report, Utils::TimePoint now);

    /*! Takes note that no report came. \param sequence of the batch. */
    void onReportMissing(std::uint64_t sequence);

    /*! \return whether a batch may be sent. \param now the current time. \param timeout of an answer. */
    bool canSend(Utils::TimePoint now, Utils::Duration timeout) const;

    /*! \return whether every lease granted to this worker has surely lapsed. \param now the current time. */
    bool allLeasesLapsed(Utils::TimePoint now) const;

    /*! \return whether the worker reported in this epoch. */
    bool hasReported() const { return hasReported_; }

    /*! \return whether its latest report is recent. \param now the current time. \param age greatest age. */
    bool isResponsive(Utils::TimePoint now, Utils::Duration age) const;

    /*! Forgets that it was heard, after its attempts were given up. */
    void resetContact() { hasReported_ = false; }

    /*! \return incarnation that reported last. */
    const std::string& incarnation() const { return incarnation_; }

    /*! \return the worker as listed. */
    const Schema::VmEntry& vm() const { return vm_; }

    /*! \return the worker as listed, to be renewed. */
    Schema::VmEntry& vm() { return vm_; }

    /*! \return when the last batch was sent. */
    Utils::TimePoint lastSentAt() const { return lastSentAt_; }

private:
    Schema::VmEntry vm_;
    std::uint64_t sequence_ = 0;
    std::uint64_t reportedSequence_ = 0;
    bool awaitsReport_ = false;
    bool hasReported_ = false;
    std::string incarnation_;
    std::int64_t workerClockMs_ = 0;
    Utils::TimePoint reportReceivedAt_;
    Utils::TimePoint lastSentAt_;
    Utils::TimePoint leasesLapsedAt_;
    Utils::Duration longestLease_;
};

} // namespace Batch
