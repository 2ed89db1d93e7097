#include "taillatencyexchange.h"

#include "utils/log/log.h"

#include <fleet.pb.h>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Well below the ten seconds or so in which the effect of a pair of tasks is learned. Exchanging this often
// costs little, because a row has about a kilobyte.
constexpr milliseconds exchangeInterval { 4000 };
// Interval until the row of the former incarnation has been read; shorter than exchangeInterval, because
// nothing can be written before.
constexpr milliseconds initialReadInterval { 500 };

} // namespace

TailLatencyExchange::TailLatencyExchange(NodeContext& context)
    : context_(context)
    , timer_(context.io)
{
}

TailLatencyExchange::~TailLatencyExchange() = default;

void TailLatencyExchange::setNeeded(bool isNeeded)
{
    if (isNeeded == isNeeded_)
        return;
    isNeeded_ = isNeeded;
    if (isNeeded)
        read();
    else
        timer_.stop();
}

void TailLatencyExchange::read()
{
    if (!isNeeded_)
        return;
    timer_.start(hasReadFormerRow_ ? exchangeInterval : initialReadInterval, [this] { write(); });
    Ports::RowRange range;
    range.table = tailLatencyTable;
    context_.store.read(
        range, [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<Ports::RowPage>& result) {
            if (weak.lock())
                onRows(result);
        });
}

void TailLatencyExchange::onRows(const Utils::Result<Ports::RowPage>& result)
{
    if (!Utils::isOk(result)) {
        // ShardOwnership logs when the store becomes unreachable.
        context_.metrics.add("geraniumquay_tail_exchanges_failed_total");
        return;
    }
    std::vector<FleetSchema::TailKnowledge> others;
    for (const Ports::Row& row : Utils::value(result).rows) {
        FleetSchema::TailKnowledge knowledge;
        if (!knowledge.ParseFromString(row.value))
            Utils::log(Utils::LogLevel::Error, "tail-record-damaged", { { "node", row.name.key } });
        else if (row.name.key != context_.settings.node().name())
            others.push_back(std::move(knowledge));
        else if (!hasReadFormerRow_)
            model_.resume(knowledge);
    }
    hasReadFormerRow_ = true;
    model_.setPeerKnowledge(others);
}

void TailLatencyExchange::reportAccount()
{
    const Fleet::TailAccount account = model_.takeAccount();
    context_.metrics.add(
        "geraniumquay_tail_measurements_total", {}, static_cast<double>(account.measurements));
    for (std::size_t cause = 0; cause < Fleet::overTargetCauseCount; ++cause) {
        context_.metrics.add("geraniumquay_tail_measurements_over_target_total",
            Telemetry::label("cause", Fleet::overTargetCauseNames[cause]),
            static_cast<double>(account.overTarget[cause]));
    }
}

void TailLatencyExchange::write()
{
    reportAccount();
    const FleetSchema::TailKnowledge knowledge = model_.knowledge();
    if (!hasReadFormerRow_ || knowledge.estimates().empty())
        return read();
    timer_.start(exchangeInterval, [this] { write(); });
    Ports::Transaction transaction;
    transaction.puts.push_back(
        { { tailLatencyTable, {}, context_.settings.node().name() }, knowledge.SerializeAsString() });
    context_.store.commit(transaction,
        [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<Ports::TransactionOutcome>& result) {
            if (!weak.lock())
                return;
            if (!Utils::isOk(result))
                context_.metrics.add("geraniumquay_tail_exchanges_failed_total");
            read();
        });
}

} // namespace FleetNode
