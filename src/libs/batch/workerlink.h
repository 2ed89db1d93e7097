#pragma once

#include "utils/clock.h"

#include <batch.pb.h>
#include <platform.pb.h>

#include <cstdint>
#include <string>

namespace Batch {

/*!
    The owner's side of the lease protocol with one worker: numbers batches, filters reports and determines
    when every lease granted to the worker has certainly lapsed.

    The worker counts a lease from the time of the report whose clock value the batch returns. The owner
    counts the lease from its receipt of that report, which is later, so the lease lapses at the worker first.
*/
class WorkerLink {
public:
    /*!
        \param vm the worker's entry in the VM list.
        \param leasesLapsedAt when all leases of former owners have lapsed if the worker never reports.
        \param longestLease longest lease of this and former owners. A worker that has reported rejects
               former owners, so the leases that they granted lapse within this time.
    */
    WorkerLink(Schema::VmEntry vm, Utils::TimePoint leasesLapsedAt, Utils::Duration longestLease);

    /*!
        Sets a batch's sequence number and the lease that it grants. Must be called when the batch is sent.
        \param sequence number higher than that of any earlier batch of this process to the worker.
    */
    void stamp(
        Schema::CommandBatch& batch, std::uint64_t sequence, Utils::Duration lease, Utils::TimePoint now);

    /*!
        Handles a report.
        \param sequence sequence number of the batch that the report answers.
        \return false if the report must be ignored, because a newer one was handled before or because it
                answers a batch that was not sent through this object.
    */
    bool onReport(std::uint64_t sequence, const Schema::WorkerReport& report, Utils::TimePoint now);

    /*! Must be called when a batch was not answered. \param sequence its sequence number. */
    void onReportMissing(std::uint64_t sequence);

    /*! \return false while the last batch is unanswered and was sent less than \a timeout ago. */
    bool canSend(Utils::TimePoint now, Utils::Duration timeout) const;

    /*! \return whether every lease granted to this worker has certainly lapsed. */
    bool allLeasesLapsed(Utils::TimePoint now) const;

    /*! \return whether the worker has reported to this owner since resetContact(). */
    bool hasReported() const { return hasReported_; }

    /*! \return whether the worker's latest report is not older than \a age. */
    bool isResponsive(Utils::TimePoint now, Utils::Duration age) const;

    /*! Forgets that the worker has reported; called after its attempts were counted as lost. */
    void resetContact() { hasReported_ = false; }

    /*! \return the incarnation that reported last. */
    const std::string& incarnation() const { return incarnation_; }

    /*! \return the worker's latest entry in the VM list. */
    const Schema::VmEntry& vm() const { return vm_; }

    /*! \return the worker's entry in the VM list, for updates. */
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
