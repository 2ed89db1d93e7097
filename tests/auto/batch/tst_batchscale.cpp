// Measures an owner's writes and processor time at the size of a failure domain; run by name: tst_batchscale
// "[measure]".

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
constexpr auto stepLength = 100ms;
constexpr auto warmUp = 100s;
constexpr auto measured = 30s;

// Places in turn, so that the figures are those of the owner.
class NextFitPlacer final : public Batch::Placer {
public:
    std::vector<Batch::Choice> place(std::span<const Batch::PendingTask> tasks,
        std::span<const Batch::WorkerRoom> workers, std::span<const Batch::RunningTask>,
        Utils::TimePoint) override
    {
        std::vector<double> free;
        for (const Batch::WorkerRoom& worker : workers)
            free.push_back(worker.free.processors());
        std::vector<Batch::Choice> choices;
        std::size_t worker = 0;
        for (std::size_t task = 0; task < tasks.size(); ++task) {
            while (worker < free.size() && free[worker] < 1)
                ++worker;
            if (worker == free.size())
                break;
            free[worker] -= 1;
            choices.push_back({ task, worker });
        }
        return choices;
    }
};

struct Worker {
    Batch::WorkerCore core;
    std::multimap<Utils::TimePoint, Batch::AttemptId> ends;
};

// A domain's workers under one owner with answers that come at once.
class Domain {
public:
    explicit Domain(Utils::Duration round, std::uint64_t runMs)
        : owner_(options(round), placer_)
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
        for (const Utils::TimePoint end = now_ + duration; now_ < end; now_ += stepLength)
            step();
    }

    Batch::ShardOwnerStatistics statistics() const { return owner_.statistics(); }
    double ownerSeconds() const { return ownerSeconds_; }
    std::size_t maxRow() const { return maxRow_; }

private:
    static Batch::ShardOwnerOptions options(Utils::Duration round)
    {
        Batch::ShardOwnerOptions made;
        made.shard = "s";
        made.owner = "o";
        made.round = round;
        return made;
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

    template <typename Function> auto timed(Function function)
    {
        const std::clock_t start = std::clock();
        auto result = function();
        ownerSeconds_ += static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
        return result;
    }

    void step()
    {
        const Batch::Actions actions = timed([this] { return owner_.tick(now_); });
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
                maxRow_ = std::max(maxRow_, put.value().size());
            const Schema::CommitReply reply = Utils::value(table_.commit(commit.request));
            timed([&] {
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
        while (!worker.ends.empty() && worker.ends.begin()->first <= now_) {
            worker.core.onEnded(worker.ends.begin()->second, Schema::ATTEMPT_SUCCEEDED, "", "", now_);
            worker.ends.erase(worker.ends.begin());
        }
        Batch::WorkerOrders orders;
        const Schema::WorkerReport report = worker.core.onBatch(send.batch, now_, orders);
        for (const Schema::StartCommand& start : orders.starts) {
            // The first wave is staggered, so that ends spread over time.
            const auto run = std::chrono::milliseconds(
                start.run_ms() * (1 + ++started_ % tasksPerWorker) / tasksPerWorker);
            const bool first = started_ <= workerCount * tasksPerWorker;
            worker.ends.emplace(now_ + (first ? run : std::chrono::milliseconds(start.run_ms())),
                Batch::attemptId(start.attempt()));
        }
        timed([&] {
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
    double ownerSeconds_ = 0;
    std::size_t maxRow_ = 0;
    std::uint64_t started_ = 0;
};

} // namespace

TEST_CASE("Writes and processor time of a domain of 1,000 workers and 28,000 running tasks", "[.][measure]")
{
    // 28,000 running for 96 s each are 292 starts a second: a 22nd of 6,400.
    constexpr std::uint64_t runMs = 96000;
    for (const Utils::Duration round : { Utils::Duration(500ms), Utils::Duration(200ms) }) {
        Domain domain(round, runMs);
        domain.run(warmUp);
        const Batch::ShardOwnerStatistics before = domain.statistics();
        const double secondsBefore = domain.ownerSeconds();
        domain.run(measured);
        const Batch::ShardOwnerStatistics after = domain.statistics();
        const double seconds
            = static_cast<double>(std::chrono::duration_cast<std::chrono::seconds>(measured).count());
        const auto starts = static_cast<double>(after.attemptsRecorded - before.attemptsRecorded);
        const auto writes = static_cast<double>(after.commits - before.commits);
        std::cout << "round " << std::chrono::duration_cast<std::chrono::milliseconds>(round).count()
                  << " ms: " << after.running << " running, " << starts / seconds << " starts/s, "
                  << writes / seconds << " writes/s, " << starts / writes << " starts per write, "
                  << 100 * (domain.ownerSeconds() - secondsBefore) / seconds << " % of a core, largest row "
                  << domain.maxRow() << " bytes\n";
    }
}
