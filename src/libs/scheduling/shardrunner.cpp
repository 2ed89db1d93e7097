#include "shardrunner.h"

#include "utils/log/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <optional>
#include <utility>

namespace Scheduling {

namespace {

constexpr std::uint32_t rowsPerScan = 200;

Batch::CommitOutcome toCommitOutcome(const Utils::Result<Schema::CommitReply>& reply)
{
    using Batch::CommitOutcome;
    if (Utils::isOk(reply))
        return Utils::value(reply).committed() ? CommitOutcome::Committed : CommitOutcome::Conflict;
    const Utils::ErrorCode code = Utils::error(reply).code;
    const bool isNotSent = code == Utils::ErrorCode::Unavailable || code == Utils::ErrorCode::Refused;
    return isNotSent ? CommitOutcome::NotSent : CommitOutcome::Unknown;
}

std::optional<std::vector<Schema::Row>> scanAll(Platform::TableService& table, const std::string& prefix)
{
    std::vector<Schema::Row> rows;
    for (bool hasMore = true; hasMore;) {
        const auto reply = table.scan(prefix, rows.empty() ? std::string() : rows.back().key(), rowsPerScan);
        if (!Utils::isOk(reply))
            return std::nullopt;
        const Schema::ScanReply& page = Utils::value(reply);
        rows.insert(rows.end(), page.rows().begin(), page.rows().end());
        hasMore = page.more() && page.rows_size() > 0;
    }
    return rows;
}

} // namespace

ShardRunner::ShardRunner(
    Batch::ShardOwnerOptions options, std::unique_ptr<Batch::Placer> placer, ShardRunnerServices services)
    : shard_(options.shard)
    , placer_(std::move(placer))
    , services_(services)
    , owner_(std::move(options), *placer_)
{
}

void ShardRunner::tick()
{
    Batch::Actions actions;
    Batch::ShardOwnerStatistics statistics;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        actions = owner_.tick(services_.clock.now());
        statistics = owner_.statistics();
        if (statistics.isOwner == wasOwner_)
            statistics.epoch = 0;
        wasOwner_ = statistics.isOwner;
    }
    if (statistics.epoch != 0)
        logOwnershipChange(statistics);
    executeActions(std::move(actions));
}

void ShardRunner::logOwnershipChange(const Batch::ShardOwnerStatistics& statistics)
{
    Utils::log(Utils::LogLevel::Info, statistics.isOwner ? "shard-owned" : "shard-left",
        { { "shard", shard_ }, { "epoch", std::to_string(statistics.epoch) } });
}

void ShardRunner::setWorkers(std::vector<Schema::VmEntry> workers)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    for (const Schema::VmEntry& worker : workers)
        workers_[worker.name()] = worker;
    owner_.onWorkers(workers, services_.clock.now());
}

void ShardRunner::setPolicy(const Schema::PolicyDocument& policy)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    owner_.setPolicy(policy);
}

void ShardRunner::release()
{
    const std::lock_guard<std::mutex> guard(mutex_);
    owner_.release();
}

bool ShardRunner::isReleased() const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    return owner_.isReleased();
}

Batch::ShardOwnerStatistics ShardRunner::statistics() const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    return owner_.statistics();
}

void ShardRunner::executeActions(Batch::Actions actions)
{
    for (Batch::ReadAction& action : actions.reads)
        boost::asio::post(services_.tableThreads, [this, moved = std::move(action)] { read(moved); });
    for (Batch::ScanAction& action : actions.scans)
        boost::asio::post(services_.tableThreads, [this, moved = std::move(action)] { scan(moved); });
    for (Batch::CommitAction& action : actions.commits)
        boost::asio::post(
            services_.tableThreads, [this, moved = std::move(action.request)] { commit(moved); });
    for (Batch::SendAction& action : actions.sends)
        boost::asio::post(
            services_.workerThreads, [this, moved = std::move(action)] { sendCommands(moved); });
}

void ShardRunner::commit(const Schema::CommitRequest& request)
{
    const auto reply = services_.table.commit(request);
    if (!Utils::isOk(reply))
        Utils::logError("commit-failed", Utils::error(reply));
    const std::uint64_t version = Utils::isOk(reply) ? Utils::value(reply).version() : 0;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        owner_.onCommit(request.write_id(), toCommitOutcome(reply), version, services_.clock.now());
    }
    // Commands that are now recorded are sent at once instead of with the next periodic tick.
    tick();
}

void ShardRunner::read(const Batch::ReadAction& action)
{
    const auto reply = services_.table.get(action.key);
    const Schema::Row* row = Utils::isOk(reply) ? &Utils::value(reply) : nullptr;
    const std::lock_guard<std::mutex> guard(mutex_);
    owner_.onRow(action.id, row, services_.clock.now());
}

void ShardRunner::scan(const Batch::ScanAction& action)
{
    const auto rows = scanAll(services_.table, action.prefix);
    const std::lock_guard<std::mutex> guard(mutex_);
    owner_.onRows(action.id, rows ? &*rows : nullptr, services_.clock.now());
}

void ShardRunner::sendCommands(const Batch::SendAction& action)
{
    Schema::VmEntry vm;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        const auto found = workers_.find(action.worker);
        if (found != workers_.end())
            vm = found->second;
    }
    Schema::WorkerReport report;
    bool hasReport = false;
    if (!vm.address().empty()) {
        const auto reply = services_.workers.send(vm, action.batch);
        hasReport = Utils::isOk(reply);
        if (hasReport)
            report = Utils::value(reply);
    }
    const std::lock_guard<std::mutex> guard(mutex_);
    owner_.onReport(
        action.worker, action.batch.sequence(), hasReport ? &report : nullptr, services_.clock.now());
}

} // namespace Scheduling
