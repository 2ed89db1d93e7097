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

std::string shardOf(const Schema::VmEntry& vm)
{
    return vm.domain() + "/" + vm.rack();
}

ShardSet::ShardSet(Batch::ShardOwnerOptions options, PlacerFactory makePlacer, RunnerPorts ports)
    : options_(std::move(options))
    , makePlacer_(std::move(makePlacer))
    , ports_(ports)
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
            shards[shardOf(*vm)].push_back(*vm);
    }
    for (auto& [name, workers] : shards)
        runner(name).setWorkers(std::move(workers));
}

void ShardSet::setPolicy(const Schema::PolicyDocument& policy)
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        policy_ = policy;
    }
    for (ShardRunner* runner : all())
        runner->setPolicy(policy);
}

void ShardSet::addShard(std::string_view shard)
{
    runner(shard);
}

ShardRunner& ShardSet::runner(std::string_view shard)
{
    const std::lock_guard<std::mutex> guard(mutex_);
    std::unique_ptr<ShardRunner>& slot = runners_[std::string(shard)];
    if (!slot) {
        Batch::ShardOwnerOptions options = options_;
        options.shard = shard;
        slot = std::make_unique<ShardRunner>(std::move(options), makePlacer_(), ports_);
        slot->setPolicy(policy_);
        if (releasing_)
            slot->release();
    }
    return *slot;
}

std::vector<ShardRunner*> ShardSet::all() const
{
    const std::lock_guard<std::mutex> guard(mutex_);
    std::vector<ShardRunner*> runners;
    for (const auto& [name, runner] : runners_)
        runners.push_back(runner.get());
    return runners;
}

void ShardSet::tick()
{
    for (ShardRunner* runner : all())
        runner->tick();
}

void ShardSet::release()
{
    {
        const std::lock_guard<std::mutex> guard(mutex_);
        releasing_ = true;
    }
    for (ShardRunner* runner : all())
        runner->release();
}

bool ShardSet::released() const
{
    const std::vector<ShardRunner*> runners = all();
    return std::ranges::all_of(runners, [](const ShardRunner* runner) { return runner->released(); });
}

std::string ShardSet::metrics() const
{
    std::vector<Batch::ShardOwnerStatistics> shards;
    for (const ShardRunner* runner : all())
        shards.push_back(runner->statistics());
    std::string text;
    const auto owned = std::ranges::count_if(shards, [](const auto& shard) { return shard.isOwner; });
    writeMetric(text, "gq_batch_shards_owned", "gauge", static_cast<std::uint64_t>(owned));
    for (const Metric& metric : metricTable) {
        std::uint64_t sum = 0;
        for (const Batch::ShardOwnerStatistics& shard : shards)
            sum += shard.*metric.member;
        writeMetric(text, metric.name, metric.type, sum);
    }
    return text;
}

} // namespace Scheduling
