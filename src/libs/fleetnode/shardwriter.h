#pragma once

#include "nodecontext.h"
#include "timer.h"

#include "fleet/shardscheduler.h"
#include "fleet/stalllimit.h"

#include <fleet.pb.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace FleetNode {

/*!
    Writes the rows of a shard under the ownership of this node, one transaction at a time.

    Each transaction replaces the owner's row on the condition of its last version, so it takes effect at most
   once and never after a later one or after another node's takeover. A transaction without an answer is sent
   again unchanged.
*/
class ShardWriter {
public:
    /*!
        \param context what the node shares.
        \param shard the shard.
        \param onLost called once when another node has taken the shard over.
    */
    ShardWriter(NodeContext& context, std::string shard, std::function<void()> onLost);

    /*!
        Takes the shard over from \p former.
        \param former its row as read; without a value if there is none.
        \param version the row's version; 0 if there is none.
        \param done called when this node owns the shard.
    */
    void takeOver(const FleetSchema::ShardRecord& former, std::uint64_t version, std::function<void()> done);

    /*!
        Writes rows; none may be in progress.
        \param batch the rows.
        \param isRelease whether to give up the ownership with it.
        \param done called when they are stored.
    */
    void write(const Fleet::RecordBatch& batch, bool isRelease, std::function<void()> done);

    /*! \return whether a transaction is in progress. */
    bool isBusy() const { return transaction_.has_value(); }

    /*! \return whether the transaction in progress has been tried in vain for a while. */
    bool isStalled() const;

    /*! \return when the transaction was sent that last proved the ownership. */
    Utils::TimePoint confirmedAt() const { return confirmedAt_; }

    /*! \return the epoch of this ownership. */
    std::uint64_t epoch() const { return record_.epoch(); }

private:
    void send();
    void onOutcome(const Utils::Result<Ports::TransactionOutcome>& result);
    void onConflict(const Ports::TransactionOutcome& outcome);
    void finish(std::uint64_t version);
    void scheduleRetry(const Utils::Error& error);
    Ports::RowKey ownerRowKey() const;

    NodeContext& context_;
    std::string shard_;
    std::function<void()> onLost_;
    FleetSchema::ShardRecord record_; //!< As it stands in the transaction in progress, or else in the store.
    std::uint64_t version_ = 0; //!< Of the owner's row.
    std::optional<Ports::Transaction> transaction_;
    std::function<void()> done_;
    Utils::TimePoint firstSentAt_ {}; //!< When the transaction in progress was first sent.
    Utils::TimePoint lastSentAt_ {};
    Utils::TimePoint confirmedAt_ {};
    Fleet::StallLimit stallLimit_;
    Utils::Duration backoff_ {};
    Timer retryTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace FleetNode
