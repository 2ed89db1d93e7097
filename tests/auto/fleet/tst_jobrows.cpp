#include "fleetfixtures.h"

#include <fleet/jobrows.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace Testing;

namespace {

constexpr std::size_t maxRowBytes = 49'152;
constexpr std::size_t maxTransactionRows = 100;
constexpr std::size_t maxTransactionBytes = 1'000'000;

/*! \return a step and \p followers steps of one task that follow it, with an image of 62 bytes each. */
FleetSchema::JobSpec makeLargeJob(std::uint32_t followers)
{
    FleetSchema::JobSpec spec = makeJob("large", {});
    spec.set_payload(std::string(4000, 'x'));
    for (std::uint32_t number = 0; number <= followers; ++number) {
        FleetSchema::StepSpec& step = *spec.add_steps();
        step = makeStep(1, 10, 100);
        step.set_image(std::string(62, 'i'));
        if (number > 0)
            step.add_after(0);
    }
    return spec;
}

/*! The rows of a shard's jobs in a store that refuses what PROTOCOL.md does not allow. */
struct LimitedRows {
    void apply(const Fleet::RecordBatch& batch)
    {
        std::size_t bytes = 0;
        for (const Fleet::JobRow& row : batch.puts) {
            CHECK(row.value.size() <= maxRowBytes);
            bytes += (row.value.size() + 2) / 3 * 4;
            values[row.key] = row.value;
        }
        for (const std::string& key : batch.removals)
            values.erase(key);
        CHECK(bytes < maxTransactionBytes);
        CHECK(batch.puts.size() + batch.removals.size() + 2 <= maxTransactionRows);
    }

    std::map<std::string, std::string> values;
};

Fleet::SchedulerOptions limitedOptions()
{
    Fleet::SchedulerOptions options;
    options.shard = "shard";
    options.workerLease = std::chrono::seconds(5);
    options.workerLeaseLimit = std::chrono::seconds(10);
    options.orphanGrace = std::chrono::seconds(12);
    options.retention = std::chrono::seconds(120);
    options.maxRowBytes = maxRowBytes;
    return options;
}

/*! A scheduler with one worker that has room for every task. */
struct LimitedScheduler {
    LimitedScheduler()
    {
        Ports::WorkerInfo info = makeWorkerInfo(std::string(200, 'w'));
        info.memoryMb = 2'000'000;
        worker = info.id;
        scheduler.setWorkers({ info }, now);
        report({});
    }

    void report(Ports::WorkerReport content)
    {
        content.startedUnixMs = 7;
        content.clockMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
        scheduler.onReport(worker, now, content, now, testStartUnixMs);
    }

    /*! Stores all changes; returns the number of bytes written. */
    std::size_t commitAll()
    {
        std::size_t bytes = 0;
        do {
            scheduler.schedule(now, testStartUnixMs);
            while (const auto batch = scheduler.beginCommit(testStartUnixMs)) {
                rows.apply(*batch);
                for (const Fleet::JobRow& row : batch->puts)
                    bytes += row.value.size();
                scheduler.onCommitted(now);
            }
        } while (scheduler.isSweepUnfinished());
        return bytes;
    }

    RecordingOutput output;
    Fleet::TailLatencyModel model;
    Fleet::ShardScheduler scheduler { limitedOptions(), output, model };
    Utils::TimePoint now = testStart;
    std::string worker;
    LimitedRows rows;
};

/*! \return the records that a successor puts together from the rows. */
std::vector<FleetSchema::JobRecord> load(const LimitedRows& rows)
{
    Fleet::JobRowReader reader;
    std::vector<FleetSchema::JobRecord> records;
    for (const auto& [key, value] : rows.values) {
        if (auto record = reader.read(key, value))
            records.push_back(*record);
    }
    CHECK(reader.incompleteRows().empty());
    return records;
}

} // namespace

TEST_CASE(
    "A job whose record outgrows a row when its tasks are placed is stored in several rows and completes")
{
    const FleetSchema::JobSpec spec = makeLargeJob(590);
    REQUIRE(Fleet::validateJobSize(spec, maxRowBytes).empty());
    LimitedScheduler owner;
    owner.scheduler.submit(spec, 1, owner.now, testStartUnixMs);
    owner.scheduler.submit(makeJob("small", { makeStep(1, 10, 100) }), 2, owner.now, testStartUnixMs);
    owner.commitAll();
    REQUIRE(owner.output.starts.size() == 2);
    Ports::WorkerReport report;
    report.ended.push_back({ 1, { "large", 0, 0, 0 }, 1, Ports::AttemptOutcome::Done, {} });
    owner.report(report);
    owner.commitAll();
    CHECK(owner.output.starts.size() == 592);

    LimitedScheduler successor;
    for (const FleetSchema::JobRecord& record : load(owner.rows))
        successor.scheduler.restore(record, successor.now, testStartUnixMs);
    CHECK(successor.scheduler.countUnconfirmedAttempts() == 591);
    // The end of one task changes one part only.
    report.ended = { { 2, { "large", 0, 5, 0 }, 1, Ports::AttemptOutcome::Done, {} } };
    owner.report(report);
    CHECK(owner.commitAll() < 2 * maxRowBytes);
    for (std::uint32_t step = 1; step <= 590; ++step) {
        if (step != 5)
            report.ended.push_back({ step + 2, { "large", 0, step, 0 }, 1, Ports::AttemptOutcome::Done, {} });
    }
    owner.report(report);
    owner.commitAll();
    CHECK(owner.scheduler.state("large") == FleetSchema::JOB_COMPLETED);
    CHECK(load(owner.rows).size() == 2);
}

TEST_CASE("All rows of a large job are removed after its retention time")
{
    LimitedScheduler owner;
    owner.scheduler.submit(makeLargeJob(590), 1, owner.now, testStartUnixMs);
    owner.commitAll();
    REQUIRE(owner.rows.values.size() > 1);
    owner.scheduler.cancel("large", 2, testStartUnixMs);
    owner.commitAll();
    Ports::WorkerReport report;
    report.ended.push_back({ 1, { "large", 0, 0, 0 }, 1, Ports::AttemptOutcome::Stopped, {} });
    owner.report(report);
    owner.commitAll();
    while (const auto batch = owner.scheduler.beginCommit(testStartUnixMs + 200'000)) {
        owner.rows.apply(*batch);
        owner.scheduler.onCommitted(owner.now);
    }
    CHECK(owner.rows.values.empty());
}

TEST_CASE("A record as large as a validated job allows fits into rows and a transaction")
{
    FleetSchema::JobSpec spec = makeLargeJob(199);
    spec.set_occurrences(5);
    REQUIRE(Fleet::validateJobSpec(spec).empty());
    REQUIRE(Fleet::validateJobSize(spec, maxRowBytes).empty());
    LimitedScheduler owner;
    owner.scheduler.submit(spec, 1, owner.now, testStartUnixMs);
    owner.commitAll();
    Ports::WorkerReport report;
    std::uint64_t number = 0;
    for (std::uint32_t occurrence = 0; occurrence < 5; ++occurrence) {
        report.ended.push_back(
            { ++number, { "large", occurrence, 0, 0 }, 1, Ports::AttemptOutcome::Done, {} });
    }
    owner.report(report);
    owner.commitAll();
    // Each task has a checkpoint of the greatest length; a longer one is not stored.
    report = {};
    for (std::uint32_t occurrence = 0; occurrence < 5; ++occurrence) {
        for (std::uint32_t step = 1; step < 200; ++step) {
            const std::size_t length = Fleet::maxCheckpointBytes + (step % 2);
            report.running.push_back(
                { { "large", occurrence, step, 0 }, 1, std::string(length, 'c'), 50, 0 });
        }
    }
    owner.report(report);
    owner.scheduler.cancel("large", 2, testStartUnixMs);
    owner.commitAll();
    const std::vector<FleetSchema::JobRecord> records = load(owner.rows);
    REQUIRE(records.size() == 1);
    CHECK(records.front().tasks_size() == 1000);
}

TEST_CASE("Jobs that cannot be stored are rejected with a reason")
{
    FleetSchema::JobSpec spec = makeLargeJob(10);
    spec.mutable_steps(3)->set_image(std::string(maxRowBytes, 'i'));
    CHECK_FALSE(Fleet::validateJobSize(spec, maxRowBytes).empty());
    spec = makeLargeJob(10);
    spec.set_payload(std::string(maxRowBytes, 'x'));
    CHECK_FALSE(Fleet::validateJobSize(spec, maxRowBytes).empty());
    spec = makeLargeJob(900);
    for (FleetSchema::StepSpec& step : *spec.mutable_steps())
        step.set_image(std::string(300, 'i'));
    CHECK_FALSE(Fleet::validateJobSize(spec, maxRowBytes).empty());
}

TEST_CASE("The identifier of a job is short and cannot be confused with the key of another row")
{
    CHECK(Fleet::isJobId("5c0e7a21d94b36f8"));
    CHECK(Fleet::isJobId(std::string(Fleet::maxJobIdBytes, 'a')));
    CHECK_FALSE(Fleet::isJobId(std::string(Fleet::maxJobIdBytes + 1, 'a')));
    for (const char* id : { "", "a/1", "a.0", "a b" })
        CHECK_FALSE(Fleet::isJobId(id));
}
