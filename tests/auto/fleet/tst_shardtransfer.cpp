#include "transferfixture.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>
#include <set>

using namespace std::chrono_literals;
using Testing::makeJob;
using Testing::makeStep;
using Testing::SchedulerFixture;
using Testing::testStartUnixMs;
using Testing::TransferFixture;

TEST_CASE("A task that ends runs on another shard once its own shard has lost all workers")
{
    TransferFixture fixture({ makeStep(2, 1000, 500) });
    fixture.advance(3s);
    CHECK(fixture.host.running.size() == 2);
    fixture.host.finishAll(Ports::AttemptOutcome::Done);
    fixture.advance(1s);
    CHECK(fixture.origin.scheduler.state("job") == FleetSchema::JOB_COMPLETED);
    // Attempts are numbered across shards.
    for (const Fleet::AttemptStart& start : fixture.host.output.starts)
        CHECK(start.attempt == 2);
}

TEST_CASE("The crashes under a task are counted across shards, and the third ends its job")
{
    for (const bool isLongRunning : { false, true }) {
        FleetSchema::StepSpec step = makeStep(1, 1000, 500);
        step.set_lasting(isLongRunning);
        TransferFixture fixture({ step });
        for (std::uint32_t crashes = 1; crashes <= 3; ++crashes) {
            for (int step100ms = 0; step100ms < 40 && fixture.host.running.empty(); ++step100ms)
                fixture.advance(100ms);
            REQUIRE(fixture.host.running.size() == 1);
            fixture.host.scheduler.onWorkerReplaced(
                fixture.host.running[0].worker, fixture.host.now, testStartUnixMs);
            fixture.host.running.clear();
            for (const std::string& id : fixture.host.workers)
                fixture.host.report(id, {});
            REQUIRE(fixture.host.output.crashes.size() == crashes);
        }
        fixture.advance(1s);
        REQUIRE(fixture.host.output.results.size() == 1);
        CHECK(fixture.host.output.results[0].second.kind() == FleetSchema::TASK_FAILED);
        CHECK(fixture.host.output.results[0].second.crashes() == 3);
        CHECK(fixture.origin.scheduler.state("job") == FleetSchema::JOB_FAILED);
        CHECK(fixture.host.output.starts.size() == 3);
    }
}

TEST_CASE("A delegated task brings the count of its crashes, and returns with it")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.host.scheduler.setWorkers({}, fixture.host.now);
    FleetSchema::TaskTransfer transfer;
    *transfer.mutable_job() = makeJob("other", { makeStep(1, 1000, 500) });
    transfer.set_transfer(1);
    transfer.set_crashes(2);
    transfer.set_origin_shard("shard");
    fixture.host.scheduler.acceptDelegatedTask(transfer, 1, fixture.host.now);
    for (int step100ms = 0; step100ms < 60; ++step100ms) {
        fixture.host.now += 100ms;
        fixture.host.scheduler.onTick(fixture.host.now, testStartUnixMs);
        fixture.host.scheduleAndCommit();
    }
    REQUIRE_FALSE(fixture.host.output.results.empty());
    const FleetSchema::TaskResult& result = fixture.host.output.results[0].second;
    CHECK((result.kind() == FleetSchema::TASK_RETURNED && result.crashes() == 2));
}

TEST_CASE("Steps that follow a delegated one run after its result, in any shard")
{
    TransferFixture fixture({ makeStep(1, 1000, 500), makeStep(2, 1000, 500) });
    fixture.advance(3s);
    REQUIRE(fixture.host.running.size() == 1);
    fixture.host.finishAll(Ports::AttemptOutcome::Done);
    fixture.advance(4s);
    REQUIRE(fixture.host.running.size() == 2);
    CHECK(fixture.host.running[0].task.step == 1);
    CHECK(fixture.origin.scheduler.state("job") == FleetSchema::JOB_RUNNING);
    fixture.host.finishAll(Ports::AttemptOutcome::Done);
    fixture.advance(1s);
    CHECK(fixture.origin.scheduler.state("job") == FleetSchema::JOB_COMPLETED);
}

TEST_CASE("Failures count across shards, and the job fails with its last attempt")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.advance(3s);
    for (int failure = 0; failure < 3; ++failure) {
        CHECK(fixture.origin.scheduler.state("job") == FleetSchema::JOB_RUNNING);
        REQUIRE(fixture.host.running.size() == 1);
        fixture.host.finishAll(Ports::AttemptOutcome::Failed);
        fixture.advance(500ms);
    }
    CHECK(fixture.host.running.empty());
    CHECK(fixture.origin.scheduler.state("job") == FleetSchema::JOB_FAILED);
    CHECK(fixture.host.output.starts.size() == 3);
}

TEST_CASE("The result of a delegated task is sent only once it is stored, and until it is answered")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.advance(3s);
    REQUIRE(fixture.host.running.size() == 1);
    SchedulerFixture& host = fixture.host;
    host.finishAll(Ports::AttemptOutcome::Done);
    const auto batch = host.scheduler.beginCommit(testStartUnixMs);
    REQUIRE(batch);
    host.now += 2s;
    host.scheduler.onTick(host.now, testStartUnixMs);
    CHECK(host.output.results.empty());
    host.scheduler.onCommitted(host.now);
    CHECK(host.output.results.size() == 1);
    host.now += 700ms;
    host.scheduler.onTick(host.now, testStartUnixMs);
    CHECK(host.output.results.size() == 2);

    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts.back().value));
    SchedulerFixture successor(2);
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    successor.scheduler.onTick(successor.now, testStartUnixMs);
    REQUIRE(successor.output.results.size() == 1);
    CHECK(successor.output.results[0].first == "shard");
    CHECK(successor.output.starts.empty());
}

TEST_CASE("A repeated result changes nothing, and neither does one of an earlier transfer")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.advance(3s);
    fixture.host.scheduler.setWorkers({}, fixture.host.now);
    fixture.host.finishAll(Ports::AttemptOutcome::Stopped);
    fixture.advance(3500ms);
    REQUIRE(fixture.host.output.results.size() == 1);
    const FleetSchema::TaskResult returned = fixture.host.output.results[0].second;
    CHECK(returned.kind() == FleetSchema::TASK_RETURNED);
    fixture.advance(4s);
    REQUIRE(fixture.origin.output.delegations.back().transfer() == 2);
    const std::size_t sent = fixture.origin.output.delegations.size();
    for (std::uint64_t ticket = 100; ticket < 103; ++ticket) {
        fixture.origin.scheduler.acceptTaskResult(returned, ticket, fixture.origin.now, testStartUnixMs);
        fixture.origin.scheduleAndCommit();
        CHECK(fixture.origin.output.answers.back().first == ticket);
    }
    fixture.origin.scheduler.onTick(fixture.origin.now, testStartUnixMs);
    fixture.origin.scheduleAndCommit();
    CHECK(fixture.origin.output.delegations.size() == sent);
    CHECK(fixture.origin.scheduler.state("job") == FleetSchema::JOB_RUNNING);
}

TEST_CASE("A task that its host shard returns runs in its own shard again")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.advance(3s);
    REQUIRE(fixture.host.running.size() == 1);
    fixture.host.scheduler.setWorkers({}, fixture.host.now);
    fixture.host.finishAll(Ports::AttemptOutcome::Stopped);
    fixture.origin.scheduler.setWorkers({ Testing::makeWorkerInfo("w0") }, fixture.origin.now);
    fixture.origin.report("w0", {});
    fixture.advance(4s);
    REQUIRE(fixture.origin.running.size() == 1);
    CHECK(fixture.origin.running[0].attempt == 3);
}

TEST_CASE("All tasks of a gang move to the same shard and start together there")
{
    FleetSchema::StepSpec step = makeStep(2, 20'000, 500);
    step.set_gang(true);
    TransferFixture fixture({ step });
    fixture.origin.scheduler.setWorkers({ Testing::makeWorkerInfo("w0") }, fixture.origin.now);
    fixture.origin.report("w0", {});
    fixture.advance(3s);
    REQUIRE(fixture.host.running.size() == 2);
    CHECK(fixture.host.running[0].attempt == fixture.host.running[1].attempt);
    fixture.host.finishAttempts(1, Ports::AttemptOutcome::Done);
    fixture.advance(1s);
    CHECK(fixture.origin.scheduler.state("job") == FleetSchema::JOB_COMPLETED);
}

TEST_CASE("The cancellation of a job stops its tasks in the host shard")
{
    TransferFixture fixture({ makeStep(1, 1000, 60'000) });
    fixture.advance(3s);
    REQUIRE(fixture.host.running.size() == 1);
    fixture.origin.scheduler.cancel("job", 99, testStartUnixMs);
    fixture.origin.scheduleAndCommit();
    REQUIRE(fixture.origin.output.delegationCancels.size() == 1);
    fixture.host.scheduler.cancelHostedTasks(
        makeJob("job", { makeStep(1, 1000, 60'000) }), 100, fixture.host.now, testStartUnixMs);
    fixture.host.scheduleAndCommit();
    REQUIRE(fixture.host.output.stops.size() == 1);
    fixture.host.finishAll(Ports::AttemptOutcome::Stopped);
    fixture.advance(5s);
    CHECK(fixture.host.output.results.empty());
    CHECK(fixture.host.output.starts.size() == 1);
}

TEST_CASE("A host shard forgets a job some time after it has handed back its tasks")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.advance(3s);
    fixture.host.finishAll(Ports::AttemptOutcome::Done);
    fixture.advance(1s);
    CHECK(fixture.host.scheduler.knowsJob("job"));
    // Retention is 120 s.
    const auto batch = fixture.host.scheduler.beginCommit(testStartUnixMs + 121'000);
    REQUIRE(batch);
    CHECK(batch->removals == std::vector<std::string> { "job" });
}

TEST_CASE("A task delegated while the record of its handed-back job is being removed is not lost")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.advance(3s);
    fixture.host.finishAll(Ports::AttemptOutcome::Done);
    fixture.advance(1s);
    SchedulerFixture& host = fixture.host;
    const auto batch = host.scheduler.beginCommit(testStartUnixMs + 121'000);
    REQUIRE(batch);
    REQUIRE(batch->removals == std::vector<std::string> { "job" });
    FleetSchema::TaskTransfer transfer = fixture.origin.output.delegations[0];
    transfer.set_transfer(2);
    host.scheduler.acceptDelegatedTask(transfer, 500, host.now);
    host.scheduler.onCommitted(host.now);
    REQUIRE(host.scheduler.knowsJob("job"));
    host.scheduleAndCommit();
    CHECK(host.output.answers.back().first == 500);
}

TEST_CASE("A result that is repeated while the record of its job is being removed is answered")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.advance(3s);
    fixture.host.finishAll(Ports::AttemptOutcome::Done);
    fixture.advance(1s);
    SchedulerFixture& origin = fixture.origin;
    const auto batch = origin.scheduler.beginCommit(testStartUnixMs + 121'000);
    REQUIRE(batch);
    REQUIRE(batch->removals == std::vector<std::string> { "job" });
    origin.scheduler.acceptTaskResult(
        fixture.host.output.results[0].second, 600, origin.now, testStartUnixMs);
    origin.scheduler.onCommitted(origin.now);
    origin.scheduleAndCommit();
    CHECK(origin.output.answers.back().first == 600);
}

TEST_CASE("An unanswered result is not sent again each time another task of its job is stored")
{
    TransferFixture fixture({ makeStep(2, 1000, 500) });
    fixture.advance(3s);
    SchedulerFixture& host = fixture.host;
    host.finishAll(Ports::AttemptOutcome::Done);
    host.scheduleAndCommit();
    REQUIRE(host.output.results.size() == 2);
    host.scheduler.onTaskResultStored(host.output.results[0].second, testStartUnixMs);
    host.now += 50ms;
    host.scheduleAndCommit();
    CHECK(host.output.results.size() == 2);
}

namespace {

/*! Two shards whose only workers serve a latency-critical task over its target. */
struct OverTargetFixture {
    OverTargetFixture()
    {
        for (SchedulerFixture* shard : { &origin, &host }) {
            shard->scheduler.submit(
                makeJob("serving", { Testing::makeLatencyCriticalStep(1, 20'000, "serving") }), 1, shard->now,
                testStartUnixMs);
            shard->scheduleAndCommit();
            shard->confirmStarts();
        }
    }

    void step()
    {
        for (SchedulerFixture* shard : { &origin, &host }) {
            shard->now += 100ms;
            Ports::WorkerReport report;
            for (const Fleet::AttemptStart& attempt : shard->running)
                report.running.push_back({ attempt.task, attempt.attempt, {}, 100, tailMs });
            shard->report("w0", report);
            shard->scheduler.onTick(shard->now, testStartUnixMs);
            shard->scheduleAndCommit();
            shard->confirmStarts();
        }
        for (; sentDelegations < origin.output.delegations.size(); ++sentDelegations) {
            const FleetSchema::TaskTransfer transfer = origin.output.delegations[sentDelegations];
            host.scheduler.acceptDelegatedTask(transfer, ++ticket, host.now);
            host.scheduleAndCommit();
            origin.scheduler.onDelegationStored(transfer, "host");
        }
        for (; sentResults < host.output.results.size(); ++sentResults) {
            const FleetSchema::TaskResult result = host.output.results[sentResults].second;
            origin.scheduler.acceptTaskResult(result, ++ticket, origin.now, testStartUnixMs);
            origin.scheduleAndCommit();
            host.scheduler.onTaskResultStored(result, testStartUnixMs);
        }
    }

    /*! \return after which time a best-effort task starts in one of the shards; 60 s if it does not. */
    Utils::Duration waitOfBestEffortTask(std::size_t formerStarts = 1)
    {
        for (int round = 0; round < 20; ++round)
            step();
        origin.scheduler.submit(makeJob("filling", { Testing::makeBestEffortStep(1, 4000, "hot") }), 2,
            origin.now, testStartUnixMs);
        const Utils::TimePoint submittedAt = origin.now;
        while (origin.now - submittedAt < 60s) {
            step();
            for (const SchedulerFixture* shard : { &origin, &host }) {
                if (shard->output.starts.size() > formerStarts)
                    return origin.now - submittedAt;
            }
        }
        return origin.now - submittedAt;
    }

    SchedulerFixture origin { 1 };
    std::int64_t tailMs = 60;
    SchedulerFixture host { 1 };
    std::size_t sentDelegations = 0;
    std::size_t sentResults = 0;
    std::uint64_t ticket = 10;
};

} // namespace

TEST_CASE("Control: a best-effort task that cannot leave its shard starts after the bound")
{
    OverTargetFixture fixture;
    CHECK(fixture.waitOfBestEffortTask() < 10s);
}

TEST_CASE("A best-effort task that moves between shards starts after the same bound")
{
    OverTargetFixture fixture;
    fixture.origin.output.shardWithCapacity = "host";
    const auto wait = fixture.waitOfBestEffortTask();
    INFO("transfers: " << fixture.sentDelegations);
    CHECK(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count() < 10'000);
}

TEST_CASE("A task whose starts one worker refuses is tried elsewhere")
{
    SchedulerFixture shard(2);
    shard.output.shardWithCapacity = "host";
    shard.scheduler.submit(makeJob("job", { makeStep(1, 1000, 500) }), 1, shard.now, testStartUnixMs);
    std::set<std::string> tried;
    for (int round = 0; round < 100; ++round) {
        shard.scheduleAndCommit();
        for (; shard.confirmedStarts < shard.output.starts.size(); ++shard.confirmedStarts) {
            const Fleet::AttemptStart& start = shard.output.starts[shard.confirmedStarts];
            tried.insert(start.worker);
            Ports::CommandReply reply;
            reply.outcome = Ports::CommandOutcome::Rejected;
            shard.scheduler.onStartReply(start.worker, start.task, start.attempt, reply, shard.now);
        }
        shard.now += 100ms;
        for (const std::string& worker : shard.workers)
            shard.report(worker, {});
        shard.scheduler.onTick(shard.now, testStartUnixMs);
    }
    INFO("starts: " << shard.output.starts.size() << ", delegations: " << shard.output.delegations.size());
    CHECK((tried.size() > 1 || !shard.output.delegations.empty()));
}

namespace {

// Checks that a record can be written in one transaction, with values that the store accepts.
void checkStorable(const FleetSchema::JobRecord& record)
{
    constexpr std::size_t maxRowBytes = 49'152;
    constexpr std::size_t maxTransactionBytes = 700'000; // 1 MB in base64 is 750,000 bytes.
    const std::vector<Fleet::JobRow> rows = Fleet::toJobRows(record, maxRowBytes);
    std::size_t bytes = 0;
    for (const Fleet::JobRow& row : rows) {
        CHECK(row.value.size() <= maxRowBytes);
        bytes += row.value.size();
    }
    CHECK(bytes <= maxTransactionBytes);
    CHECK(rows.size() <= 90);
}

} // namespace

TEST_CASE("The record of the largest job can be stored")
{
    for (const std::uint32_t count : { 600U, Fleet::maxTasksPerJob }) {
        FleetSchema::JobSpec spec = makeJob("83d241ea64d8daf8", { makeStep(count, 1000, 500) });
        spec.set_payload(std::string(4000, 'x'));
        Fleet::Job job;
        Fleet::initializeJob(spec, job);
        Fleet::Worker worker;
        worker.info.id = "i-2c7ea16bd5";
        worker.info.address = "10.6.64.139:8025";
        for (Fleet::Task& task : job.tasks) {
            task.phase = Fleet::TaskPhase::Running;
            task.worker = &worker;
            task.workerBornMs = 1'796'439'891'000;
            task.attempt = 3;
            task.crashes = 2;
            task.checkpoint = "00000bb87a21d94b";
            task.hostShard = "levantamiento/santander-a/3";
            task.transferNumber = 1;
        }
        INFO(count << " tasks");
        checkStorable(Fleet::toRecord(job));
        for (Fleet::Task& task : job.tasks) {
            task.worker = nullptr;
            task.phase = Fleet::TaskPhase::Delegated;
        }
        checkStorable(Fleet::toRecord(job));
    }
}

TEST_CASE(
    "A best-effort task that moves between shards starts throttled after the same wait as without moves")
{
    for (const bool mayMove : { false, true }) {
        OverTargetFixture fixture;
        fixture.tailMs = 10;
        for (SchedulerFixture* shard : { &fixture.origin, &fixture.host }) {
            std::mt19937 random(21);
            std::uniform_real_distribution<double> own(0.2, 0.6);
            std::uniform_real_distribution<double> share(0.0, 0.12);
            for (int sample = 0; sample < 1500; ++sample) {
                const double hot = share(random);
                const double utilization = std::min(0.98, own(random) + 1.5 * hot);
                const std::vector<Fleet::ImageShare> colocated { { "hot", hot } };
                shard->tailLatencyModel.addSample("serving", colocated, std::round(4 / (1 - utilization)));
            }
            FleetSchema::StepSpec other = makeStep(1, 12'000, 0);
            other.set_lasting(true);
            shard->scheduler.submit(makeJob("other", { other }), 3, shard->now, testStartUnixMs);
            shard->scheduleAndCommit();
            shard->confirmStarts();
        }
        if (mayMove)
            fixture.origin.output.shardWithCapacity = "host";
        const auto wait = fixture.waitOfBestEffortTask(2);
        INFO("may move: " << mayMove << ", transfers: " << fixture.sentDelegations);
        CHECK(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count() < 5'900);
    }
}
