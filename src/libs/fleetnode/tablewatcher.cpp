#include "tablewatcher.h"

#include "utils/log/log.h"

#include <algorithm>

namespace FleetNode {

namespace {

using std::chrono::milliseconds;

// An unresponsive connection delays a change by this wait plus the timeout of a call. Even then, a
// configuration must be in force 2.5 s after it was written.
constexpr milliseconds longPollWait { 1500 };
// The first pause before a failed call is repeated, and the longest one, which also delays a configuration.
constexpr milliseconds initialRetryPause { 200 };
constexpr milliseconds maxRetryPause { 2000 };
// A response that takes longer or has more bytes is logged, but not more often than the interval.
constexpr milliseconds longReadDuration { 1000 };
constexpr std::size_t largeReadBytes = 256U << 10U;
constexpr milliseconds readLogInterval { 2000 };

std::size_t countBytes(const Ports::RowPage& page)
{
    std::size_t bytes = 0;
    for (const Ports::Row& row : page.rows)
        bytes += row.name.key.size() + row.value.size();
    return bytes;
}

} // namespace

TableWatcher::TableWatcher(NodeContext& context, std::string table, Mode mode, Utils::Duration pause,
    std::function<void(const Rows&)> onChange)
    : context_(context)
    , table_(std::move(table))
    , mode_(mode)
    , pause_(pause)
    , onChange_(std::move(onChange))
    , timer_(context.io)
{
}

void TableWatcher::start()
{
    timer_.stop();
    isReading_ = true;
    partialCopy_.clear();
    version_ = 0;
    readStartedAt_ = context_.now();
    readAll({});
}

void TableWatcher::pollNow()
{
    if (mode_ == Mode::Poll && !isReading_)
        start();
}

void TableWatcher::readAll(const std::string& from)
{
    Ports::RowRange range;
    range.table = table_;
    range.from = from;
    range.isBulk = true;
    callSentAt_ = context_.now();
    context_.store.read(
        range, [this, weak = std::weak_ptr<bool>(alive_), from](const Utils::Result<Ports::RowPage>& result) {
            if (weak.lock())
                onPage(from, result);
        });
}

void TableWatcher::onPage(const std::string& from, const Utils::Result<Ports::RowPage>& result)
{
    if (!Utils::isOk(result))
        return restart(Utils::error(result));
    const Ports::RowPage& page = Utils::value(result);
    recordRead(page, Utils::Duration::zero());
    if (page.hasMore && (page.rows.empty() || page.rows.back().name.key < from)) {
        return restart({ Utils::ErrorCode::InvalidArgument, "table.read", {},
            "the page does not lead to the next one" });
    }
    for (const Ports::Row& row : page.rows)
        partialCopy_[row.name.key] = row;
    // Following starts at the version of the first page, so that no change between two pages is missed.
    if (version_ == 0)
        version_ = page.version;
    if (page.hasMore)
        return readAll(page.rows.back().name.key + '\0');
    isReading_ = false;
    rows_ = std::move(partialCopy_);
    copyReadStartedAt_ = readStartedAt_;
    partialCopy_.clear();
    onReadSucceeded(copyReadStartedAt_);
    onChange_(rows_);
    if (mode_ == Mode::Follow)
        return follow();
    // A read that onChange_ has requested is already in progress.
    if (pause_ && !isReading_)
        timer_.start(*pause_, [this] { start(); });
}

void TableWatcher::restart(const Utils::Error& error)
{
    isReading_ = false;
    onReadFailed(error);
    timer_.start(nextRetryPause(), [this] { start(); });
}

void TableWatcher::follow()
{
    callSentAt_ = context_.now();
    // After a failure, the copy is old already, and what has changed meanwhile must not wait for a change.
    callWait_ = isFailing_ ? Utils::Duration::zero() : Utils::Duration(longPollWait);
    context_.store.follow(table_, version_, callWait_,
        [this, weak = std::weak_ptr<bool>(alive_)](const Utils::Result<Ports::RowPage>& result) {
            if (weak.lock())
                onChanges(result);
        });
}

void TableWatcher::onChanges(const Utils::Result<Ports::RowPage>& result)
{
    if (!Utils::isOk(result)) {
        onReadFailed(Utils::error(result));
        // NotFound: the history is no longer kept, so the whole table is read again.
        const bool isHistoryLost = Utils::error(result).code == Utils::ErrorCode::NotFound;
        timer_.start(nextRetryPause(), [this, isHistoryLost] { isHistoryLost ? start() : follow(); });
        return;
    }
    const Ports::RowPage& page = Utils::value(result);
    // A call without a change ends when its wait does; one with changes may have ended at any moment.
    onReadSucceeded(page.rows.empty() ? std::min(context_.now(), callSentAt_ + callWait_) : callSentAt_);
    recordRead(page, longPollWait);
    version_ = std::max(version_, page.version);
    bool isChanged = false;
    for (const Ports::Row& row : page.rows) {
        // The store reports the changes of all partitions.
        if (!row.name.partition.empty())
            continue;
        isChanged = true;
        if (row.isDeleted)
            rows_.erase(row.name.key);
        else
            rows_[row.name.key] = row;
    }
    if (page.rows.empty())
        return follow();
    if (isChanged)
        onChange_(rows_);
    timer_.start(pause_.value_or(Utils::Duration::zero()), [this] { follow(); });
}

void TableWatcher::onReadFailed(const Utils::Error& error)
{
    context_.metrics.add("geraniumquay_table_reads_failed_total", Telemetry::label("table", table_));
    if (!isFailing_)
        Utils::log(
            Utils::LogLevel::Warning, "table-lost", { { "table", table_ }, { "error", error.toString() } });
    isFailing_ = true;
}

void TableWatcher::onReadSucceeded(Utils::TimePoint currentAt)
{
    if (isFailing_)
        Utils::log(Utils::LogLevel::Info, "table-regained", { { "table", table_ } });
    isFailing_ = false;
    retryPause_ = {};
    currentAt_ = currentAt;
}

// The duration of a call includes the wait for changes, which may take as long as expected.
void TableWatcher::recordRead(const Ports::RowPage& page, Utils::Duration expected)
{
    const std::size_t bytes = countBytes(page);
    const Utils::Duration took = context_.now() - callSentAt_;
    const std::string tableLabel = Telemetry::label("table", table_);
    const double tookMs = std::chrono::duration<double, std::milli>(took).count();
    context_.metrics.add("geraniumquay_table_read_bytes_total", tableLabel, static_cast<double>(bytes));
    if (expected == Utils::Duration::zero())
        context_.metrics.observe("geraniumquay_table_read_milliseconds", tableLabel, tookMs);
    const bool isRemarkable = took > expected + longReadDuration || bytes > largeReadBytes;
    if (!isRemarkable || context_.now() - lastLoggedAt_ < readLogInterval)
        return;
    lastLoggedAt_ = context_.now();
    Utils::log(Utils::LogLevel::Info, "table-read",
        { { "table", table_ }, { "bytes", std::to_string(bytes) },
            { "ms", std::to_string(static_cast<std::int64_t>(tookMs)) },
            { "version", std::to_string(page.version) } });
}

// Pauses after the first one are between half and all of the longest one, at random.
Utils::Duration TableWatcher::nextRetryPause()
{
    if (retryPause_ == Utils::Duration::zero()) {
        retryPause_ = initialRetryPause;
        return retryPause_;
    }
    retryPause_ = std::min<Utils::Duration>(2 * retryPause_, maxRetryPause);
    std::uniform_int_distribution<Utils::Duration::rep> pause(retryPause_.count() / 2, retryPause_.count());
    return Utils::Duration(pause(random_));
}

} // namespace FleetNode
