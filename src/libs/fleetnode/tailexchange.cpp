#include "tailexchange.h"

#include "utils/log/log.h"

#include <fleet.pb.h>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// Pairs are learnt within some ten seconds; a row is about a kilobyte.
constexpr milliseconds exchangeInterval { 4000 };
// Until the former incarnation's row was read, nothing can be written.
constexpr milliseconds firstRetry { 500 };

} // namespace

TailExchange::TailExchange(NodeContext& context)
    : context_(context)
    , timer_(context.io)
{
}

TailExchange::~TailExchange() = default;

void TailExchange::start()
{
    read();
}

void TailExchange::read()
{
    timer_.start(isResumed_ ? exchangeInterval : firstRetry, [this] { write(); });
    Ports::RowRange range;
    range.table = tailTable;
    context_.store.read(
        range, [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<Ports::RowPage>& result) {
            if (weak.lock())
                onRows(result);
        });
}

void TailExchange::onRows(const Utils::Result<Ports::RowPage>& result)
{
    if (!Utils::isOk(result)) {
        // The loss of the store itself is logged by the membership.
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
        else if (!isResumed_)
            model_.resume(knowledge);
    }
    isResumed_ = true;
    model_.setPeerKnowledge(others);
}

void TailExchange::write()
{
    const FleetSchema::TailKnowledge knowledge = model_.knowledge();
    if (!isResumed_ || knowledge.estimates().empty())
        return read();
    timer_.start(exchangeInterval, [this] { write(); });
    Ports::Transaction transaction;
    transaction.puts.push_back(
        { { tailTable, {}, context_.settings.node().name() }, knowledge.SerializeAsString() });
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
