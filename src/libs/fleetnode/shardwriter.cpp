#include "shardwriter.h"

#include "leaserenewal.h"

#include "fleet/fencingtokens.h"
#include "utils/log/log.h"

#include <algorithm>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Delays before a transaction is sent again; the maximum limits the number of calls during a store outage.
constexpr milliseconds initialBackoff { 30 };
constexpr milliseconds maxBackoff { 400 };

} // namespace

ShardWriter::ShardWriter(
    NodeContext& context, std::string shard, std::function<void()> onLost, std::function<void()> onRejected)
    : context_(context)
    , shard_(std::move(shard))
    , onLost_(std::move(onLost))
    , onRejected_(std::move(onRejected))
    , retryTimer_(context.io)
{
}

Ports::RowKey ShardWriter::ownerRowKey() const
{
    return { shardTable, shard_, shardOwnerKey };
}

void ShardWriter::takeOver(const FleetSchema::ShardRecord& former, std::uint64_t version,
    const Fleet::StoreClock& clock, const Fleet::FormerLeases& formerLeases, std::function<void()> done)
{
    storeClock_ = clock;
    earlierRenewalEnd_ = context_.now() + formerLeases.renewal;
    earlierLease_ = formerLeases.lease;
    heldLeaseEnd_ = context_.now() + formerLeases.held;
    record_.set_epoch(Fleet::nextEpoch(former.epoch()));
    record_.set_sequence(0);
    version_ = version;
    // Until its next transaction, this owner keeps to the ends that the former one stated.
    write({}, false, std::move(done), formerLeases.ends);
}

std::uint32_t ShardWriter::longestLeaseMs() const
{
    const Schema::DispatchSettings& settings = context_.settings.dispatch();
    const std::uint32_t own = std::min(settings.worker_lease_ms(), settings.worker_lease_limit_ms());
    const bool areEarlierOver = context_.now() > earlierRenewalEnd_ + earlierLease_ * 51 / 50;
    const auto earlier = std::chrono::ceil<milliseconds>(earlierLease_);
    return areEarlierOver ? own : std::max(own, static_cast<std::uint32_t>(earlier.count()));
}

// The times remain upper bounds if the transaction is sent again or applied late: a successor counts them
// from the time that the row states, or from a time after that.
void ShardWriter::setLeaseTimes(const Fleet::LeaseEnds& leaseEnds)
{
    const Utils::TimePoint now = context_.now();
    const auto remainingMs = [now](Utils::TimePoint end) {
        return static_cast<std::uint32_t>(
            std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(end - now).count()));
    };
    const auto renewal = std::chrono::ceil<milliseconds>(renewalTime(context_.settings.dispatch()));
    record_.set_renewal_ms(static_cast<std::uint32_t>(renewal.count()));
    record_.set_lease_ms(longestLeaseMs());
    record_.set_held_lease_ms(remainingMs(heldLeaseEnd_));
    record_.set_earlier_renewal_ms(remainingMs(earlierRenewalEnd_));
    record_.clear_lease_remaining_ms();
    for (const auto& [worker, end] : leaseEnds)
        (*record_.mutable_lease_remaining_ms())[worker] = remainingMs(end);
}

void ShardWriter::write(const Fleet::RecordBatch& batch, bool isRelease, std::function<void()> done,
    const Fleet::LeaseEnds& leaseEnds)
{
    setLeaseTimes(leaseEnds);
    record_.set_owner(isRelease ? std::string() : context_.settings.node().name());
    record_.set_incarnation(context_.incarnation);
    record_.set_sequence(record_.sequence() + 1);
    Ports::Transaction transaction;
    transaction.puts.push_back({ ownerRowKey(), {} });
    for (const Fleet::JobRow& row : batch.puts)
        transaction.puts.push_back({ { jobTable, shard_, row.key }, row.value });
    for (const std::string& key : batch.removals)
        transaction.removals.push_back({ jobTable, shard_, key });
    transaction_ = std::move(transaction);
    done_ = std::move(done);
    backoff_ = initialBackoff;
    firstSentAt_ = context_.now();
    send();
}

bool ShardWriter::isStalled() const
{
    return transaction_ && context_.now() - firstSentAt_ > stallLimit_.value();
}

void ShardWriter::send()
{
    // The time that the row states and the one from which this owner counts must be the same, however long
    // the process is paused between them.
    lastSentAt_ = context_.now();
    if (storeClock_.isKnown())
        record_.set_store_ms(static_cast<std::uint64_t>(storeClock_.latestMs(lastSentAt_)));
    transaction_->puts.front().value = record_.SerializeAsString();
    transaction_->conditions = { { ownerRowKey(), version_ } };
    context_.store.commit(*transaction_,
        [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<Ports::TransactionOutcome>& result) {
            if (weak.lock())
                onOutcome(result);
        });
}

void ShardWriter::onOutcome(const Utils::Result<Ports::TransactionOutcome>& result)
{
    if (!Utils::isOk(result)) {
        const Utils::Error& error = Utils::error(result);
        return mustReject(error) ? reject(error) : scheduleRetry(error);
    }
    const Ports::TransactionOutcome& outcome = Utils::value(result);
    storeClock_.onAnswer(outcome.storeMs, lastSentAt_, context_.now());
    if (outcome.isCommitted)
        finish(outcome.version, lastSentAt_);
    else
        onConflict(outcome);
}

// The stored owner row shows whether an earlier copy of this transaction was applied.
void ShardWriter::onConflict(const Ports::TransactionOutcome& outcome)
{
    FleetSchema::ShardRecord stored;
    std::uint64_t version = 0;
    for (const Ports::Row& row : outcome.current) {
        if (row.name.table == shardTable && stored.ParseFromString(row.value))
            version = row.version;
    }
    const bool isOwnEpoch = stored.epoch() == record_.epoch() && stored.incarnation() == record_.incarnation()
        && stored.owner() == record_.owner();
    // Which copy was applied is unknown, so its row may state the time of the first one.
    if (isOwnEpoch && stored.sequence() == record_.sequence())
        return finish(version, firstSentAt_);
    if (isOwnEpoch && stored.sequence() + 1 == record_.sequence() && version != version_) {
        version_ = version;
        return send();
    }
    Utils::log(Utils::LogLevel::Warning, "shard-lost",
        { { "shard", shard_ }, { "epoch", std::to_string(record_.epoch()) }, { "owner", stored.owner() },
            { "owner_epoch", std::to_string(stored.epoch()) } });
    const auto onLost = onLost_;
    onLost();
}

void ShardWriter::finish(std::uint64_t version, Utils::TimePoint confirmedAt)
{
    version_ = version;
    confirmedAt_ = confirmedAt;
    hasFailedTry_ = false;
    const Utils::Duration took = context_.now() - firstSentAt_;
    stallLimit_.addDuration(took);
    context_.metrics.observe(
        "geraniumquay_shard_write_milliseconds", {}, std::chrono::duration<double, std::milli>(took).count());
    transaction_.reset();
    const auto done = std::move(done_);
    done_ = nullptr;
    done();
}

// A transaction that puts only the owner row is sent again in any case: no job is the cause.
bool ShardWriter::mustReject(const Utils::Error& error) const
{
    return error.code == Utils::ErrorCode::InvalidArgument && onRejected_ && transaction_->puts.size() > 1;
}

// All tries have the same rows, so none of them is applied.
void ShardWriter::reject(const Utils::Error& error)
{
    Utils::logError("shard-write-rejected", error);
    context_.metrics.add("geraniumquay_shard_writes_rejected_total");
    record_.set_sequence(record_.sequence() - 1);
    transaction_.reset();
    done_ = nullptr;
    const auto onRejected = onRejected_;
    onRejected();
}

void ShardWriter::scheduleRetry(const Utils::Error& error)
{
    hasFailedTry_ = true;
    context_.metrics.add(
        "geraniumquay_shard_write_retries_total", Telemetry::label("code", Utils::errorCodeName(error.code)));
    if (backoff_ == initialBackoff)
        Utils::logError("shard-write-retried", error);
    retryTimer_.start(backoff_, [this] { send(); });
    backoff_ = std::min<Utils::Duration>(2 * backoff_, maxBackoff);
}

} // namespace FleetNode
