// Measures the writes and processor time of a shard's owner at the size of a failure domain. Run it by tag:
// tst_batchscale "[measure]".

#include <batch/rowkeys.h>
#include <batch/shardowner.h>
#include <batch/workercore.h>
#include <platform/memorytable.h>

#include <catch2/catch.hpp>

#include <ctime>
#include <iostream>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t workerCount = 1000;
constexpr std::uint32_t tasksPerWorker = 28;
constexpr auto stepDuration = 100ms;
constexpr auto warmUpDuration = 100s;
constexpr auto measuredDuration = 30s;

// Places with next fit, which is cheap, so that the figures reflect the owner and not the placer.
class NextFitPlacer final : public Batch::Placer {
public:
    std::vector<Batch::PlacementDecision> place(std::span<const Batch::PendingTask> tasks,
        std::span<const Batch::AvailableWorker> workers, std::span<const Batch::RunningTask>,
        Utils::TimePoint) override
    {
        std::vector<double> free;
        for (const Batch::AvailableWorker& worker : workers)
            free.push_back(worker.free.processors());
        std::vector<Batch::PlacementDecision> decisions;
        std::size_t worker = 0;
        for (std::size_t task = 0; task < tasks.size(); ++task) {
            while (worker < free.size() && free[worker] < 1)
                ++worker;
            if (worker == free.size())
                break;
            free[worker] -= 1;
            decisions.push_back({ task, worker });
        }
        return decisions;
    }
};

struct Worker {
    Batch::WorkerCore core;
    std::multimap<Utils::TimePoint, Batch::AttemptId> endTimes;
};

// The workers of a failure domain and their owner; every action is answered at once.
class SimulatedDomain {
public:
    explicit SimulatedDomain(Utils::Duration roundInterval, std::uint64_t runMs)
        : owner_(makeOptions(roundInterval), placer_)
    {
        for (std::size_t index = 0; index < workerCount; ++index) {
            const std::string name = "w" + std::to_string(index);
            Schema::VmEntry& vm = vms_.emplace_back();
            vm.set_name(name);
            vm.set_processors(tasksPerWorker);
            workers_.emplace(name, Worker { Batch::WorkerCore(name, "one"), {} });
        }
        submit(runMs);
        owner_.onWorkers(vms_, now_);
    }

    void run(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now_ + duration; now_ < end; now_ += stepDuration)
            step();
    }

    Batch::ShardOwnerStatistics statistics() const { return owner_.statistics(); }
    double ownerCpuSeconds() const { return ownerCpuSeconds_; }
    std::size_t maxRowBytes() const { return maxRowBytes_; }

private:
    static Batch::ShardOwnerOptions makeOptions(Utils::Duration roundInterval)
    {
        Batch::ShardOwnerOptions options;
        options.shard = "s";
        options.owner = "o";
        options.roundInterval = roundInterval;
        return options;
    }

    void submit(std::uint64_t runMs)
    {
        Schema::InboxRow row;
        row.set_job("job");
        row.mutable_part()->set_count(100000);
        row.mutable_spec()->mutable_size()->set_processors(1);
        row.mutable_spec()->set_run_ms(runMs);
        Schema::CommitRequest request;
        request.set_write_id("submit");
        Schema::RowPut* put = request.add_puts();
        put->set_key(Batch::inboxSubmitKey("s", "job"));
        put->set_value(row.SerializeAsString());
        table_.commit(request);
    }

    template <typename Function> auto measureCpuTime(Function function)
    {
        const std::clock_t start = std::clock();
        auto result = function();
        ownerCpuSeconds_ += static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        return result;
    }

    void step()
    {
        const Batch::Actions actions = measureCpuTime([this] { return owner_.tick(now_); });
        for (const Batch::ReadAction& read : actions.reads) {
            const Schema::Row row = Utils::value(table_.get(read.key));
            owner_.onRow(read.id, &row, now_);
        }
        for (const Batch::ScanAction& scan : actions.scans) {
            const auto reply = Utils::value(table_.scan(scan.prefix, "", 100000));
            const std::vector<Schema::Row> rows(reply.rows().begin(), reply.rows().end());
            owner_.onRows(scan.id, &rows, now_);
        }
        for (const Batch::CommitAction& commit : actions.commits) {
            for (const Schema::RowPut& put : commit.request.puts())
                maxRowBytes_ = std::max(maxRowBytes_, put.value().size());
            const Schema::CommitReply reply = Utils::value(table_.commit(commit.request));
            measureCpuTime([&] {
                owner_.onCommit(
                    commit.request.write_id(), Batch::CommitOutcome::Committed, reply.version(), now_);
                return 0;
            });
        }
        for (const Batch::SendAction& send : actions.sends)
            deliver(send);
    }

    void deliver(const Batch::SendAction& send)
    {
        Worker& worker = workers_.at(send.worker);
        while (!worker.endTimes.empty() && worker.endTimes.begin()->first <= now_) {
            worker.core.onAttemptEnded(
                worker.endTimes.begin()->second, Schema::ATTEMPT_SUCCEEDED, "", "", now_);
            worker.endTimes.erase(worker.endTimes.begin());
        }
        Batch::RunnerCommands commands;
        const Schema::WorkerReport report = worker.core.onBatch(send.batch, now_, commands);
        for (const Schema::StartCommand& start : commands.starts) {
            // The run times of the first wave are staggered, so that ends spread over time.
            const auto runDuration = std::chrono::milliseconds(
                start.run_ms() * (1 + ++startedCount_ % tasksPerWorker) / tasksPerWorker);
            const bool isFirstWave = startedCount_ <= workerCount * tasksPerWorker;
            worker.endTimes.emplace(
                now_ + (isFirstWave ? runDuration : std::chrono::milliseconds(start.run_ms())),
                Batch::attemptId(start.attempt()));
        }
        measureCpuTime([&] {
            owner_.onReport(send.worker, send.batch.sequence(), &report, now_);
            return 0;
        });
    }

    NextFitPlacer placer_;
    Batch::ShardOwner owner_;
    Platform::MemoryTable table_;
    std::vector<Schema::VmEntry> vms_;
    std::map<std::string, Worker> workers_;
    Utils::TimePoint now_ { 1000s };
    double ownerCpuSeconds_ = 0;
    std::size_t maxRowBytes_ = 0;
    std::uint64_t startedCount_ = 0;
};

} // namespace

TEST_CASE("Writes and processor time of a domain of 1,000 workers and 28,000 running tasks", "[.][measure]")
{
    // 28,000 tasks that run for 96 s each cause 292 starts a second, a 22nd of 6,400.
    constexpr std::uint64_t runMs = 96000;
    for (const Utils::Duration roundInterval : { Utils::Duration(500ms), Utils::Duration(200ms) }) {
        SimulatedDomain domain(roundInterval, runMs);
        domain.run(warmUpDuration);
        const Batch::ShardOwnerStatistics before = domain.statistics();
        const double cpuSecondsBefore = domain.ownerCpuSeconds();
        domain.run(measuredDuration);
        const Batch::ShardOwnerStatistics after = domain.statistics();
        const double measuredSeconds
            = static_cast<double>(std::chrono::duration_cast<std::chrono::seconds>(measuredDuration).count());
        const auto starts = static_cast<double>(after.attemptsRecorded - before.attemptsRecorded);
        const auto writes = static_cast<double>(after.commits - before.commits);
        std::cout << "round " << std::chrono::duration_cast<std::chrono::milliseconds>(roundInterval).count()
                  << " ms: " << after.running << " running, " << starts / measuredSeconds << " starts/s, "
                  << writes / measuredSeconds << " writes/s, " << starts / writes << " starts per write, "
                  << 100 * (domain.ownerCpuSeconds() - cpuSecondsBefore) / measuredSeconds
                  << " % of a core, largest row " << domain.maxRowBytes() << " bytes\n";
    }
}
