#pragma once

#include "nodecontext.h"
#include "timer.h"

#include "fleet/shardscheduler.h"
#include "fleet/stalllimit.h"
#include "fleet/storeclock.h"

#include <fleet.pb.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace FleetNode {

/*!
    Writes the rows of a shard that this node owns, one transaction at a time.

    Each transaction also replaces the shard's owner row, on the condition that the row still has its last
    known version. A transaction is therefore applied at most once, and never after a later transaction or
    after a takeover by another node. A transaction without an answer is sent again unchanged.
*/
class ShardWriter {
public:
    /*!
        \param onLost called once when another node is found to have taken over the shard.
        \param onRejected called when the store will never accept the rows of a write, which is over then.
    */
    ShardWriter(NodeContext& context, std::string shard, std::function<void()> onLost,
        std::function<void()> onRejected = {});

    /*!
        Takes over the shard with the next epoch.
        \param former the shard's current owner row; empty if there is none.
        \param version the row's version; 0 if there is no row.
        \param clock the store's clock, from the answer with the row.
        \param formerLeases leases that former owners have granted.
        \param done called when this node owns the shard.
    */
    void takeOver(const FleetSchema::ShardRecord& former, std::uint64_t version,
        const Fleet::StoreClock& clock, const Fleet::FormerLeases& formerLeases, std::function<void()> done);

    /*!
        Writes a batch of rows; no other write may be in progress.
        \param isRelease whether to give up the ownership in the same transaction.
        \param done called when the rows are stored.
        \param leaseEnds until when attempts can run on workers. This owner must not have granted longer
       leases to them, and must not do so before a later batch states other ends.
    */
    void write(const Fleet::RecordBatch& batch, bool isRelease, std::function<void()> done,
        const Fleet::LeaseEnds& leaseEnds = {});

    /*! \return whether a transaction is in progress. */
    bool isBusy() const { return transaction_.has_value(); }

    /*! \return whether the transaction in progress takes so long that the store counts as stalled. */
    bool isStalled() const;

    /*! \return whether the store answers: no transaction has failed or takes long since the last success. */
    bool isStoreAnswering() const { return !hasFailedTry_ && !isStalled(); }

    /*!
        \return a time at which this node still owned the shard, not later than the time that the stored owner
            row states.
    */
    Utils::TimePoint confirmedAt() const { return confirmedAt_; }

    /*! \return the store's clock. */
    const Fleet::StoreClock& storeClock() const { return storeClock_; }

    /*! \return the epoch of this node's ownership. */
    std::uint64_t epoch() const { return record_.epoch(); }

    /*! \return when the latest transaction was first sent. */
    Utils::TimePoint firstSentAt() const { return firstSentAt_; }

    /*! Sets until when workers may hold leases in the clock of a former incarnation, for the next
        transactions. */
    void setHeldLeaseEnd(Utils::TimePoint end) { heldLeaseEnd_ = end; }

private:
    void setLeaseTimes(const Fleet::LeaseEnds& leaseEnds);
    void send();
    void onOutcome(const Utils::Result<Ports::TransactionOutcome>& result);
    void onConflict(const Ports::TransactionOutcome& outcome);
    void finish(std::uint64_t version, Utils::TimePoint confirmedAt);
    std::uint32_t longestLeaseMs() const;
    void scheduleRetry(const Utils::Error& error);
    bool mustReject(const Utils::Error& error) const;
    void reject(const Utils::Error& error);
    Ports::RowKey ownerRowKey() const;

    NodeContext& context_;
    std::string shard_;
    std::function<void()> onLost_;
    std::function<void()> onRejected_;
    FleetSchema::ShardRecord record_; //!< Owner row in the transaction in progress, otherwise as stored.
    std::uint64_t version_ = 0; //!< Last known version of the owner row.
    std::optional<Ports::Transaction> transaction_;
    std::function<void()> done_;
    Utils::TimePoint earlierRenewalEnd_ {}; //!< Until when former owners may renew leases of workers.
    Utils::Duration earlierLease_ {}; //!< Longest lease that they request.
    Utils::TimePoint heldLeaseEnd_ {}; //!< As in setHeldLeaseEnd().
    Fleet::StoreClock storeClock_;
    Utils::TimePoint firstSentAt_ {}; //!< When the transaction in progress was first sent.
    Utils::TimePoint lastSentAt_ {};
    Utils::TimePoint confirmedAt_ {};
    Fleet::StallLimit stallLimit_;
    Utils::Duration backoff_ {};
    bool hasFailedTry_ = false; //!< The latest try of a transaction failed.
    Timer retryTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
