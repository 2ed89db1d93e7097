#include "shardrunner.h"

#include "utils/log/log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <optional>
#include <utility>

namespace Scheduling {

namespace {

constexpr std::uint32_t scanLimit = 200;

Batch::CommitOutcome outcomeOf(const Utils::Result<Schema::CommitReply>& reply)
{
    using Batch::CommitOutcome;
    if (Utils::isOk(reply))
        return Utils::value(reply).committed() ? CommitOutcome::Committed : CommitOutcome::Conflict;
    const Utils::ErrorCode code = Utils::error(reply).code;
    const bool notSent = code == Utils::ErrorCode::Unavailable || code == Utils::ErrorCode::Refused;
    return notSent ? CommitOutcome::NotSent : CommitOutcome::Unknown;
}

std::optional<std::vector<Schema::Row>> scanAll(Platform::TableService& table, const std::string& prefix)
{
    std::vector<Schema::Row> rows;
    for (bool more = true; more;) {
        const auto reply = table.scan(prefix, rows.empty() ? std::string() : rows.back().key(), scanLimit);
        if (!Utils::isOk(reply))
            return std::nullopt;
        const Schema::ScanReply& page = Utils::value(reply);
        rows.insert(rows.end(), page.rows().begin(), page.rows().end());
        more = page.more() && page.rows_size() > 0;
    }
    return rows;
}

} // namespace

ShardRunner::ShardRunner(
    Batch::ShardOwnerOptions options, std::unique_ptr<Batch::Placer> placer, RunnerPorts ports)
    : shard_(options.shard)
    , placer_(std::move(placer))
    , ports_(ports)
    , owner_(std::move(options), *placer_)
{
}

void ShardRunner::tick()
{
    Batch::Actions actions;
    Batch::ShardOwnerStatistics statistics;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        actions = owner_.tick(ports_.clock.now());
        statistics = owner_.statistics();
        if (statistics.isOwner == wasOwning_)
            statistics.epoch = 0;
        wasOwning_ = statistics.isOwner;
    }
    if (statistics.epoch != 0)
        logChange(statistics);
    perform(std::move(actions));
}

void ShardRunner::logChange(const Batch::ShardOwnerStatistics& statistics)
{
    Utils::log(Utils::LogLevel::Info, statistics.isOwner ? "shard-owned" : "shard-left",
        { { "shard", shard_ }, { "epoch", std::to_string(statistics.epoch) } });
}

void ShardRunner::setWorkers(std::vector<Schema::VmEntry> workers)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    for (const Schema::VmEntry& worker : workers)
        workers_[worker.name()] = worker;
    owner_.onWorkers(workers, ports_.clock.now());
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

bool ShardRunner::released() const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    return owner_.isReleased();
}

Batch::ShardOwnerStatistics ShardRunner::statistics() const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    return owner_.statistics();
}

void ShardRunner::perform(Batch::Actions actions)
{
    for (Batch::ReadAction& action : actions.reads)
        boost::asio::post(ports_.tableThreads, [this, moved = std::move(action)] { read(moved); });
    for (Batch::ScanAction& action : actions.scans)
        boost::asio::post(ports_.tableThreads, [this, moved = std::move(action)] { scan(moved); });
    for (Batch::CommitAction& action : actions.commits)
        boost::asio::post(ports_.tableThreads, [this, moved = std::move(action.request)] { commit(moved); });
    for (Batch::SendAction& action : actions.sends)
        boost::asio::post(ports_.workerThreads, [this, moved = std::move(action)] { send(moved); });
}

void ShardRunner::commit(const Schema::CommitRequest& request)
{
    const auto reply = ports_.table.commit(request);
    if (!Utils::isOk(reply))
        Utils::logError("commit-failed", Utils::error(reply));
    const std::uint64_t version = Utils::isOk(reply) ? Utils::value(reply).version() : 0;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        owner_.onCommit(request.write_id(), outcomeOf(reply), version, ports_.clock.now());
    }
    // What was recorded can be sent without waiting for the next round.
    tick();
}

void ShardRunner::read(const Batch::ReadAction& action)
{
    const auto reply = ports_.table.get(action.key);
    const Schema::Row* row = Utils::isOk(reply) ? &Utils::value(reply) : nullptr;
    const std::lock_guard<std::mutex> guard(mutex_);
    owner_.onRow(action.id, row, ports_.clock.now());
}

void ShardRunner::scan(const Batch::ScanAction& action)
{
    const auto rows = scanAll(ports_.table, action.prefix);
    const std::lock_guard<std::mutex> guard(mutex_);
    owner_.onRows(action.id, rows ? &*rows : nullptr, ports_.clock.now());
}

void ShardRunner::send(const Batch::SendAction& action)
{
    Schema::VmEntry vm;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        const auto found = workers_.find(action.worker);
        if (found != workers_.end())
            vm = found->second;
    }
    Schema::WorkerReport report;
    bool reported = false;
    if (!vm.address().empty()) {
        const auto reply = ports_.workers.send(vm, action.batch);
        reported = Utils::isOk(reply);
        if (reported)
            report = Utils::value(reply);
    }
    const std::lock_guard<std::mutex> guard(mutex_);
    owner_.onReport(action.worker, action.batch.sequence(), reported ? &report : nullptr, ports_.clock.now());
}

} // namespace Scheduling
