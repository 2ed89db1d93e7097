#include "shardwriter.h"

#include "utils/log/log.h"

#include <algorithm>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Delays before a transaction is sent again; the maximum limits the number of calls during a store outage.
constexpr milliseconds initialBackoff { 30 };
constexpr milliseconds maxBackoff { 400 };

} // namespace

ShardWriter::ShardWriter(NodeContext& context, std::string shard, std::function<void()> onLost)
    : context_(context)
    , shard_(std::move(shard))
    , onLost_(std::move(onLost))
    , retryTimer_(context.io)
{
}

Ports::RowKey ShardWriter::ownerRowKey() const
{
    return { shardTable, shard_, shardOwnerKey };
}

void ShardWriter::takeOver(const FleetSchema::ShardRecord& former, std::uint64_t version,
    Utils::Duration earlierRenewal, std::function<void()> done)
{
    earlierRenewalEnd_ = context_.now() + earlierRenewal;
    record_.set_epoch(former.epoch() + 1);
    record_.set_sequence(0);
    version_ = version;
    write({}, false, std::move(done));
}

// The times remain upper bounds if the transaction is applied late: a successor adds them to a time after
// that. Without a release, this owner goes on renewing leases, so the row must not hold any.
void ShardWriter::setLeaseEnds(const Fleet::LeaseEnds& leaseEnds)
{
    record_.clear_lease_remaining_ms();
    for (const auto& [worker, end] : leaseEnds) {
        const auto remaining = std::chrono::ceil<milliseconds>(end - context_.now());
        (*record_.mutable_lease_remaining_ms())[worker]
            = static_cast<std::uint32_t>(std::max<std::int64_t>(0, remaining.count()));
    }
}

void ShardWriter::write(const Fleet::RecordBatch& batch, bool isRelease, std::function<void()> done,
    const Fleet::LeaseEnds& leaseEnds)
{
    setLeaseEnds(isRelease ? leaseEnds : Fleet::LeaseEnds());
    record_.set_owner(isRelease ? std::string() : context_.settings.node().name());
    record_.set_incarnation(context_.incarnation);
    const auto earlierRenewal = std::chrono::duration_cast<milliseconds>(earlierRenewalEnd_ - context_.now());
    record_.set_earlier_renewal_ms(
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, earlierRenewal.count())));
    record_.set_sequence(record_.sequence() + 1);
    Ports::Transaction transaction;
    transaction.puts.push_back({ ownerRowKey(), record_.SerializeAsString() });
    for (const auto& [job, value] : batch.puts)
        transaction.puts.push_back({ { jobTable, shard_, job }, value });
    for (const std::string& job : batch.removals)
        transaction.removals.push_back({ jobTable, shard_, job });
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
    transaction_->conditions = { { ownerRowKey(), version_ } };
    lastSentAt_ = context_.now();
    context_.store.commit(*transaction_,
        [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<Ports::TransactionOutcome>& result) {
            if (weak.lock())
                onOutcome(result);
        });
}

void ShardWriter::onOutcome(const Utils::Result<Ports::TransactionOutcome>& result)
{
    if (!Utils::isOk(result))
        return scheduleRetry(Utils::error(result));
    const Ports::TransactionOutcome& outcome = Utils::value(result);
    if (outcome.isCommitted)
        finish(outcome.version);
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
    if (isOwnEpoch && stored.sequence() == record_.sequence())
        return finish(version);
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

void ShardWriter::finish(std::uint64_t version)
{
    version_ = version;
    confirmedAt_ = lastSentAt_;
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
