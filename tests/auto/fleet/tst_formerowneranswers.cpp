// What a successor does with the answer of a former owner that took in ends which it could not store.

#include "fleetfixtures.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

/*! \return whether the successor started the task although its end, stored by nobody, was listed again. */
struct Outcome {
    std::size_t starts = 0; //!< Of the successor, before the lease of the worker was over.
    bool isEndAcknowledged = false;
    std::uint32_t failures = 0; //!< As the successor stores them.
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED; //!< As the successor stores it.
};

Outcome takeOverAfterUnstoredEnd(Ports::AttemptOutcome kind)
{
    // The former owner renews the lease for 5 s, takes the end in 0.1 s later, and cannot store it.
    SchedulerFixture former(1);
    former.now += 60s;
    former.report("w0", {});
    const FleetSchema::JobSpec spec = makeJob("job", { makeStep(1, 1000, 60'000) });
    former.scheduler.submit(spec, 1, former.now, testStartUnixMs);
    former.scheduleAndCommit();
    former.confirmStarts();
    REQUIRE(former.scheduler.planPoll("w0", former.now, true).leaseUntilMs != 0);
    const Utils::TimePoint leaseEnd = former.now + 5s;
    former.now += 100ms;
    former.finishAll(kind);

    // The successor cannot reach w0 for 1.3 s, and asks the former owner.
    SchedulerFixture successor(0);
    successor.now = former.now;
    successor.scheduler.setFormerRenewal(12s);
    successor.scheduler.setFormerLease(5s);
    FleetSchema::JobRecord record;
    *record.mutable_spec() = spec;
    record.set_state(FleetSchema::JOB_RUNNING);
    FleetSchema::TaskRecord& task = *record.add_tasks();
    task.set_state(FleetSchema::TASK_ASSIGNED);
    task.set_attempt(1);
    task.set_worker("w0");
    task.set_worker_born(7);
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    successor.scheduler.setWorkers({ makeWorkerInfo("w0"), makeWorkerInfo("w1") }, successor.now);
    successor.scheduler.limitFormerLeases(former.scheduler.leaseEnds(), successor.now + 5100ms);
    successor.scheduler.onFormerOwnersEnds(former.scheduler.unstoredEnds(), successor.now, testStartUnixMs);
    const auto commit = [&] {
        const auto batch = successor.scheduler.beginCommit(testStartUnixMs);
        if (!batch)
            return;
        for (const auto& [id, value] : batch->puts)
            REQUIRE(record.ParseFromString(value));
        successor.scheduler.onCommitted(successor.now);
    };
    for (int round = 0; round < 13; ++round) {
        successor.now += 100ms;
        successor.report("w1", {});
        successor.scheduler.onTick(successor.now, testStartUnixMs);
        successor.scheduler.schedule(successor.now, testStartUnixMs);
        commit();
    }
    REQUIRE(successor.now < leaseEnd);
    Outcome outcome;
    outcome.starts = successor.output.starts.size();

    // w0 answers again. Its lease has not lapsed, so that an acknowledgement counts for the end.
    Ports::WorkerReport again;
    again.ended.push_back({ 1, { "job", 0, 0, 0 }, 1, kind, {} });
    successor.report("w0", again);
    for (int round = 0; round < 3; ++round)
        commit();
    outcome.failures = record.tasks(0).failures();
    outcome.state = record.state();
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
