#include "shardset.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Scheduling {

namespace {

struct Metric {
    const char* name;
    const char* type;
    std::uint64_t Batch::ShardOwnerStatistics::*member;
};

constexpr std::array<Metric, 10> metricTable { {
    { "gq_batch_commits_total", "counter", &Batch::ShardOwnerStatistics::commits },
    { "gq_batch_attempts_recorded_total", "counter", &Batch::ShardOwnerStatistics::attemptsRecorded },
    { "gq_batch_attempts_sent_total", "counter", &Batch::ShardOwnerStatistics::attemptsSent },
    { "gq_batch_ends_recorded_total", "counter", &Batch::ShardOwnerStatistics::endsRecorded },
    { "gq_batch_evictions_total", "counter", &Batch::ShardOwnerStatistics::evictions },
    { "gq_batch_takeovers_total", "counter", &Batch::ShardOwnerStatistics::takeovers },
    { "gq_batch_jobs", "gauge", &Batch::ShardOwnerStatistics::jobs },
    { "gq_batch_tasks_pending", "gauge", &Batch::ShardOwnerStatistics::pending },
    { "gq_batch_tasks_running", "gauge", &Batch::ShardOwnerStatistics::running },
    { "gq_batch_workers_heard", "gauge", &Batch::ShardOwnerStatistics::responsiveWorkers },
} };

void writeMetric(std::string& text, std::string_view name, std::string_view type, std::uint64_t value)
{
    text += "# TYPE ";
    text += name;
    text += ' ';
    text += type;
    text += '\n';
    text += name;
    text += ' ' + std::to_string(value) + '\n';
}

} // namespace

std::string shardName(const Schema::VmEntry& vm)
{
    return vm.domain() + "/" + vm.rack();
}

ShardSet::ShardSet(Batch::ShardOwnerOptions options, PlacerFactory makePlacer, ShardRunnerServices services)
    : options_(std::move(options))
    , makePlacer_(std::move(makePlacer))
    , services_(services)
{
}

void ShardSet::setVms(std::span<const Schema::VmEntry* const> vms)
{
    if (vms.empty())
        return;
    std::map<std::string, std::vector<Schema::VmEntry>> shards;
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        for (const auto& [name, runner] : runners_)
            shards[name];
    }
    for (const Schema::VmEntry* vm : vms) {
        if (vm->role() == Schema::VM_ROLE_WORKER && vm->domain() == options_.domain)
            shards[shardName(*vm)].push_back(*vm);
    }
    for (auto& [name, workers] : shards)
        findOrCreateRunner(name).setWorkers(std::move(workers));
}

void ShardSet::setPolicy(const Schema::PolicyDocument& policy)
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        policy_ = policy;
    }
    for (ShardRunner* runner : allRunners())
        runner->setPolicy(policy);
}

void ShardSet::addShard(std::string_view shard)
{
    findOrCreateRunner(shard);
}

ShardRunner& ShardSet::findOrCreateRunner(std::string_view shard)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    std::unique_ptr<ShardRunner>& entry = runners_[std::string(shard)];
    if (!entry) {
        Batch::ShardOwnerOptions options = options_;
        options.shard = shard;
        entry = std::make_unique<ShardRunner>(std::move(options), makePlacer_(), services_);
        entry->setPolicy(policy_);
        if (isReleasing_)
            entry->release();
    }
    return *entry;
}

std::vector<ShardRunner*> ShardSet::allRunners() const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    std::vector<ShardRunner*> runners;
    for (const auto& [name, runner] : runners_)
        runners.push_back(runner.get());
    return runners;
}

void ShardSet::tick()
{
    for (ShardRunner* runner : allRunners())
        runner->tick();
}

void ShardSet::release()
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        isReleasing_ = true;
    }
    for (ShardRunner* runner : allRunners())
        runner->release();
}

bool ShardSet::isReleased() const
{
    const std::vector<ShardRunner*> runners = allRunners();
    return std::ranges::all_of(runners, [](const ShardRunner* runner) { return runner->isReleased(); });
}

std::string ShardSet::metrics() const
{
    std::vector<Batch::ShardOwnerStatistics> shardStatistics;
    for (const ShardRunner* runner : allRunners())
        shardStatistics.push_back(runner->statistics());
    std::string text;
    const auto owned
        = std::ranges::count_if(shardStatistics, [](const auto& shard) { return shard.isOwner; });
    writeMetric(text, "gq_batch_shards_owned", "gauge", static_cast<std::uint64_t>(owned));
    for (const Metric& metric : metricTable) {
        std::uint64_t sum = 0;
        for (const Batch::ShardOwnerStatistics& shard : shardStatistics)
            sum += shard.*metric.member;
        writeMetric(text, metric.name, metric.type, sum);
    }
    return text;
}

} // namespace Scheduling
