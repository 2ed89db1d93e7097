#include "fleetfixtures.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

const FleetSchema::JobSpec oneTaskJob = makeJob("job", { makeStep(1, 1000, 60'000) });

/*! An owner that has renewed the lease of its only worker, and then took in an end that it cannot store. */
struct FormerOwner : SchedulerFixture {
    explicit FormerOwner(Ports::AttemptOutcome kind)
        : SchedulerFixture(1)
    {
        now += 60s;
        report("w0", {});
        scheduler.submit(oneTaskJob, 1, now, testStartUnixMs);
        scheduleAndCommit();
        confirmStarts();
        REQUIRE(scheduler.planPoll("w0", now, true).leaseUntilMs != 0);
        leaseEnd = now + 5s;
        now += 100ms;
        finishAll(kind);
    }

    Utils::TimePoint leaseEnd {};
};

/*! The next owner, which asks the former one and reaches only another worker at first. */
struct Successor : SchedulerFixture {
    explicit Successor(const FormerOwner& former)
        : SchedulerFixture(0)
    {
        now = former.now;
        scheduler.setFormerRenewal(12s);
        scheduler.setFormerLease(5s);
        *record.mutable_spec() = oneTaskJob;
        record.set_state(FleetSchema::JOB_RUNNING);
        FleetSchema::TaskRecord& task = *record.add_tasks();
        task.set_state(FleetSchema::TASK_ASSIGNED);
        task.set_attempt(1);
        task.set_worker("w0");
        task.set_worker_born(7);
        scheduler.restore(record, now, testStartUnixMs);
        scheduler.setWorkers({ makeWorkerInfo("w0"), makeWorkerInfo("w1") }, now);
        scheduler.limitFormerLeases(former.scheduler.leaseEnds(), now + 5100ms);
        scheduler.onFormerOwnersEnds(former.scheduler.unstoredEnds(), now, testStartUnixMs);
    }

    void commit()
    {
        const auto batch = scheduler.beginCommit(testStartUnixMs);
        if (!batch)
            return;
        for (const auto& [id, value] : batch->puts)
            REQUIRE(record.ParseFromString(value));
        scheduler.onCommitted(now);
    }

    void advance(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += 100ms;
            report("w1", {});
            scheduler.onTick(now, testStartUnixMs);
            scheduler.schedule(now, testStartUnixMs);
            commit();
        }
    }

    FleetSchema::JobRecord record; //!< As stored.
};

/*! What a successor does whose former owner could not store an end that the worker lists again. */
struct Outcome {
    std::size_t starts = 0; //!< Before the lease of the worker was over.
    bool isEndAcknowledged = false;
    std::uint32_t failures = 0; //!< As stored.
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED; //!< As stored.
};

Outcome takeOverAfterUnstoredEnd(Ports::AttemptOutcome kind)
{
    const FormerOwner former(kind);
    Successor successor(former);
    successor.advance(1300ms);
    REQUIRE(successor.now < former.leaseEnd);
    Outcome outcome;
    outcome.starts = successor.output.starts.size();
    // The lease has not lapsed, so an acknowledgement counts for the end.
    Ports::WorkerReport again;
    again.ended.push_back({ 1, { "job", 0, 0, 0 }, 1, kind, {} });
    successor.report("w0", again);
    for (int round = 0; round < 3; ++round)
        successor.commit();
    outcome.failures = successor.record.tasks(0).failures();
    outcome.state = successor.record.state();
    outcome.isEndAcknowledged = successor.scheduler.planPoll("w0", successor.now, true).acknowledged == 1;
    return outcome;
}

} // namespace

TEST_CASE("A successor does not start a task whose end 'done' it can still take note of")
{
    const Outcome outcome = takeOverAfterUnstoredEnd(Ports::AttemptOutcome::Done);
    REQUIRE(outcome.isEndAcknowledged);
    CHECK(outcome.starts == 0);
    CHECK(outcome.state == FleetSchema::JOB_COMPLETED);
}

TEST_CASE("A failure that the former owner could not store counts once its end is acknowledged")
{
    const Outcome outcome = takeOverAfterUnstoredEnd(Ports::AttemptOutcome::Failed);
    REQUIRE(outcome.isEndAcknowledged);
    CHECK(outcome.failures == 1);
}

TEST_CASE("An attempt that the former owner took in as ended is not counted as a crash of its worker")
{
    // The worker drained, ended the attempt by a stop, and left. Its host refuses connections now.
    SchedulerFixture successor(0);
    successor.scheduler.setFormerRenewal(12s);
    successor.scheduler.setFormerLease(5s);
    FleetSchema::JobRecord record;
    *record.mutable_spec() = makeJob("job", { makeLatencyCriticalStep(1, 1000, "image") });
    record.set_state(FleetSchema::JOB_RUNNING);
    FleetSchema::TaskRecord& task = *record.add_tasks();
    task.set_state(FleetSchema::TASK_ASSIGNED);
    task.set_attempt(1);
    task.set_worker("w0");
    task.set_worker_born(7);
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    successor.scheduler.setWorkers({ makeWorkerInfo("w1") }, successor.now);
    successor.report("w1", {});
    FleetSchema::EndedTask end;
    end.set_job("job");
    end.set_attempt(1);
    successor.scheduler.onFormerOwnersEnds({ end }, successor.now, testStartUnixMs);
    successor.scheduler.onPollFailed("w0", true);
    successor.scheduler.onPollFailed("w0", true);
    successor.now += 1100ms;
    successor.scheduler.onTick(successor.now, testStartUnixMs);
    successor.scheduleAndCommit();
    CHECK(successor.output.crashes.empty());
    CHECK(successor.output.starts.size() == 1);
}

TEST_CASE("An end that a former owner tells concerns only an attempt that no worker has reported since")
{
    SchedulerFixture successor(0);
    FleetSchema::JobRecord record;
    *record.mutable_spec() = makeJob("job", { makeStep(1, 1000, 60'000) });
    record.set_state(FleetSchema::JOB_RUNNING);
    FleetSchema::TaskRecord& task = *record.add_tasks();
    task.set_state(FleetSchema::TASK_ASSIGNED);
    task.set_attempt(3);
    task.set_worker("w0");
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    successor.scheduler.setWorkers({ makeWorkerInfo("w0"), makeWorkerInfo("w1") }, successor.now);
    successor.report("w1", {});
    FleetSchema::EndedTask earlier;
    earlier.set_job("job");
    earlier.set_attempt(2);
    FleetSchema::EndedTask unknown = earlier;
    unknown.set_job("another");
    FleetSchema::EndedTask outOfRange = earlier;
    outOfRange.set_index(7);
    outOfRange.set_step(9);
    successor.scheduler.onFormerOwnersEnds({ earlier, unknown, outOfRange }, successor.now, testStartUnixMs);
    successor.scheduleAndCommit();
    CHECK(successor.scheduler.countUnconfirmedAttempts() == 1);
    Ports::WorkerReport running;
    running.running.push_back({ { "job", 0, 0, 0 }, 3, {}, 10, 1000 });
    successor.report("w0", running);
    FleetSchema::EndedTask late = earlier;
    late.set_attempt(3);
    successor.scheduler.onFormerOwnersEnds({ late }, successor.now, testStartUnixMs);
    successor.scheduleAndCommit();
    CHECK(successor.output.starts.empty());
}

TEST_CASE("The first report of a worker leaves the leases of a former owner that requested longer ones")
{
    SchedulerFixture successor(0);
    successor.scheduler.setFormerRenewal(12s);
    successor.scheduler.setFormerLease(8s); // This owner requests 5 s.
    FleetSchema::JobRecord record;
    *record.mutable_spec() = makeJob("job", { makeStep(1, 1000, 60'000) });
    record.set_state(FleetSchema::JOB_RUNNING);
    FleetSchema::TaskRecord& task = *record.add_tasks();
    task.set_state(FleetSchema::TASK_ASSIGNED);
    task.set_attempt(1);
    task.set_worker("w0");
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    successor.scheduler.setWorkers({ makeWorkerInfo("w0") }, successor.now);
    Ports::WorkerReport first;
    first.running.push_back({ { "job", 0, 0, 0 }, 1, {}, 10, 1000 });
    successor.report("w0", first);
    CHECK(successor.scheduler.leaseEnds().at("w0") >= successor.now + 8s);
}
