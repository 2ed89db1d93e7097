// Which jobs a shard reports as pending: those of which no worker is known to have started a task.

#include "transferfixture.h"

using namespace std::chrono_literals;
using namespace Testing;

namespace {

/*! A shard with a job of one task whose start has been sent. */
struct SentFixture : SchedulerFixture {
    SentFixture()
        : SchedulerFixture(1)
    {
        scheduler.submit(makeJob("job", { makeStep(1, 1000, 60'000) }), 1, now, testStartUnixMs);
        scheduler.schedule(now, testStartUnixMs);
        stored = commit();
    }

    /*! \return the record of the job, which must have changed. */
    FleetSchema::JobRecord commit()
    {
        const auto batch = scheduler.beginCommit(testStartUnixMs);
        REQUIRE(batch);
        FleetSchema::JobRecord record;
        REQUIRE(record.ParseFromString(batch->puts[0].value));
        scheduler.onCommitted(now);
        return record;
    }

    void answerStart(Ports::CommandOutcome outcome)
    {
        Ports::CommandReply reply;
        reply.outcome = outcome;
        const Fleet::AttemptStart& start = output.starts.back();
        scheduler.onStartReply(start.worker, start.task, start.attempt, reply, now);
    }

    FleetSchema::JobRecord stored;
};

std::size_t pendingJobs(const SchedulerFixture& shard)
{
    const FleetSchema::ShardLoad load = shard.scheduler.load(shard.now);
    const auto queue = load.pending().find("queue");
    return queue == load.pending().end() ? 0 : queue->second;
}

/*! Restores the job in a shard whose worker has not reported yet. */
void restoreIn(SchedulerFixture& successor, const FleetSchema::JobRecord& record)
{
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    successor.scheduler.setWorkers({ makeWorkerInfo("w0") }, successor.now);
}

Ports::WorkerReport runningReport(const Fleet::AttemptStart& start)
{
    Ports::WorkerReport report;
    report.running.push_back({ start.task, start.attempt, {}, 10, 0 });
    return report;
}

} // namespace

TEST_CASE("A job is pending until its worker confirms a start, and not any more when its task waits again")
{
    SentFixture fixture;
    CHECK(pendingJobs(fixture) == 1);
    fixture.answerStart(Ports::CommandOutcome::Rejected);
    CHECK(pendingJobs(fixture) == 1);
    fixture.now += 200ms;
    fixture.scheduleAndCommit();
    REQUIRE(fixture.output.starts.size() == 2);
    fixture.confirmStarts();
    CHECK(pendingJobs(fixture) == 0);
    fixture.finishAll(Ports::AttemptOutcome::Stopped);
    CHECK(pendingJobs(fixture) == 0);
    SchedulerFixture successor(0);
    restoreIn(successor, fixture.commit());
    CHECK(pendingJobs(successor) == 0);
}

TEST_CASE("A job whose start is not answered is pending until a report shows the start")
{
    SentFixture fixture;
    fixture.now += 800ms;
    fixture.scheduler.onTick(fixture.now, testStartUnixMs);
    CHECK(pendingJobs(fixture) == 1);
    fixture.report("w0", runningReport(fixture.output.starts[0]));
    CHECK(pendingJobs(fixture) == 0);
}

TEST_CASE("A successor counts a job with a recorded attempt as pending until the worker lists the attempt")
{
    SentFixture fixture;
    SchedulerFixture successor(0);
    restoreIn(successor, fixture.stored);
    CHECK(pendingJobs(successor) == 1);
    successor.report("w0", runningReport(fixture.output.starts[0]));
    CHECK(pendingJobs(successor) == 0);
}

TEST_CASE("A job with a delegated task is pending in its own shard only, until the result tells of a start")
{
    for (const auto kind : { FleetSchema::TASK_RETURNED, FleetSchema::TASK_FAILED }) {
        SchedulerFixture origin(0);
        origin.output.shardWithCapacity = "host";
        origin.scheduler.submit(makeJob("job", { makeStep(1, 1000, 500) }), 1, origin.now, testStartUnixMs);
        for (int step = 0; step < 25 && origin.output.delegations.empty(); ++step) {
            origin.now += 100ms;
            origin.scheduler.onTick(origin.now, testStartUnixMs);
            origin.scheduleAndCommit();
        }
        REQUIRE(origin.output.delegations.size() == 1);
        SchedulerFixture host(1);
        host.scheduler.acceptDelegatedTask(origin.output.delegations[0], 2, host.now);
        host.scheduleAndCommit();
        CHECK(pendingJobs(origin) == 1);
        CHECK(pendingJobs(host) == 0);
        FleetSchema::TaskResult result;
        result.set_job("job");
        result.set_transfer(1);
        result.set_kind(kind);
        result.set_attempt(1);
        result.set_failures(kind == FleetSchema::TASK_FAILED ? 1 : 0);
        origin.scheduler.acceptTaskResult(result, 3, origin.now, testStartUnixMs);
        CHECK(pendingJobs(origin) == (kind == FleetSchema::TASK_FAILED ? 0 : 1));
    }
}
