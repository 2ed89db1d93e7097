#include "fleetfixtures.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

/*! A worker that was idle for a while when a task was started there, and another one. */
struct LeaseFixture : SchedulerFixture {
    LeaseFixture()
        : SchedulerFixture(2)
    {
        now += 60s;
        for (const std::string& worker : workers)
            report(worker, {});
        scheduler.submit(makeJob("job", { makeStep(1, 1000, 9000) }), 1, now, testStartUnixMs);
        scheduleAndCommit();
    }

    /*! Lets time pass while the worker of the first start answers nothing. */
    void advance(Utils::Duration duration)
    {
        const Utils::TimePoint end = now + duration;
        while (now < end) {
            now += 100ms;
            scheduler.onTick(now, testStartUnixMs);
            scheduleAndCommit();
        }
    }

    const std::string& firstWorker() const { return output.starts[0].worker; }

    /*! \return the stored record of the job. */
    FleetSchema::JobRecord record()
    {
        FleetSchema::JobRecord stored;
        FleetSchema::TaskRecord& task = *stored.add_tasks();
        *stored.mutable_spec() = makeJob("job", { makeStep(1, 1000, 9000) });
        stored.set_state(FleetSchema::JOB_RUNNING);
        task.set_state(FleetSchema::TASK_ASSIGNED);
        task.set_attempt(1);
        task.set_worker(firstWorker());
        task.set_worker_born(7);
        return stored;
    }

    void loseReply()
    {
        const Utils::Error unknown { Utils::ErrorCode::OutcomeUnknown, "start", firstWorker(), "no answer" };
        scheduler.onStartReply(firstWorker(), output.starts[0].task, output.starts[0].attempt, unknown, now);
    }
};

/*! A successor to which only another worker answers. */
struct SuccessorFixture : SchedulerFixture {
    SuccessorFixture(Utils::TimePoint takenOverAt, const FleetSchema::JobRecord& record,
        const Fleet::LeaseEnds& formerLeaseEnds, std::optional<Utils::Duration> formerLease = std::nullopt)
        : SchedulerFixture(0)
    {
        now = takenOverAt;
        if (formerLease)
            scheduler.setFormerLease(*formerLease);
        scheduler.setFormerRenewal({});
        scheduler.setFormerLeaseEnds(formerLeaseEnds);
        scheduler.restore(record, now, testStartUnixMs);
        scheduler.setWorkers({ makeWorkerInfo("other") }, now);
        report("other", {});
    }

    /*! \return the number of starts up to \p time. */
    std::size_t startsUntil(Utils::TimePoint time)
    {
        while (now < time) {
            now = std::min<Utils::TimePoint>(now + 100ms, time);
            scheduler.onTick(now, testStartUnixMs);
            scheduleAndCommit();
        }
        return output.starts.size();
    }
};

/*! \return the first report of the next incarnation, on a new connection, which lists nothing. */
Ports::WorkerReport restartReport()
{
    Ports::WorkerReport report;
    report.startedUnixMs = 8;
    report.isFirstOnConnection = true;
    return report;
}

} // namespace

TEST_CASE("A task whose start was answered on a worker without tasks is soon started elsewhere")
{
    LeaseFixture fixture;
    REQUIRE(fixture.output.starts.size() == 1);
    fixture.confirmStarts();
    fixture.advance(700ms);
    // The lease of the start, 3 s on a clock that may be 2% slow, is not renewed; then the worker has 200 ms
    // to end the run.
    for (int poll = 0; poll < 4; ++poll) {
        fixture.scheduler.onPollFailed(fixture.firstWorker());
        fixture.advance(500ms);
    }
    fixture.advance(500ms);
    CHECK(fixture.output.starts.size() == 1);
    fixture.advance(200ms);
    REQUIRE(fixture.output.starts.size() == 2);
    CHECK(fixture.output.starts[1].worker != fixture.firstWorker());
}

// A start that was not answered may be carried out up to 5 s later, and by another incarnation, to whose
// clock the lease does not apply: it grants the longest lease.
TEST_CASE("A task does not run twice if a worker that restarts unseen carries out its start")
{
    LeaseFixture fixture;
    const Utils::TimePoint sentAt = fixture.now;
    fixture.advance(700ms);
    fixture.loseReply();
    for (int poll = 0; poll < 4; ++poll) {
        CHECK(fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true).leaseUntilMs == 0);
        fixture.scheduler.onPollFailed(fixture.firstWorker());
        fixture.advance(500ms);
    }
    const Utils::TimePoint end = sentAt + 5s + 10'200ms + 200ms;
    fixture.advance(end - fixture.now);
    CHECK(fixture.output.starts.size() == 1);
    fixture.advance(100ms);
    REQUIRE(fixture.output.starts.size() == 2);
    CHECK(fixture.output.starts[1].worker != fixture.firstWorker());
}

TEST_CASE("A start that another incarnation has answered counts like one that was not answered")
{
    LeaseFixture fixture;
    const Utils::TimePoint sentAt = fixture.now;
    const Fleet::AttemptStart start = fixture.output.starts[0];
    // The clock of the new incarnation begins anew.
    fixture.scheduler.onStartReply(start.worker, start.task, start.attempt,
        Ports::CommandReply { Ports::CommandOutcome::Done, 50 }, fixture.now);
    for (int poll = 0; poll < 2; ++poll)
        fixture.scheduler.onPollFailed(start.worker);
    fixture.advance(sentAt + 15'400ms - fixture.now);
    CHECK(fixture.output.starts.size() == 1);
    fixture.advance(100ms);
    CHECK(fixture.output.starts.size() == 2);
}

TEST_CASE("An incarnation that may hold a lease of a former one is waited for as long as that may last")
{
    for (const bool wasPolled : { false, true }) {
        CAPTURE(wasPolled);
        LeaseFixture fixture;
        fixture.confirmStarts();
        // The poll that renews the lease is answered by the next incarnation, which may have carried it out.
        if (wasPolled)
            REQUIRE(fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true).leaseUntilMs > 0);
        fixture.now += 300ms;
        const Utils::TimePoint noticedAt = fixture.now;
        fixture.report(fixture.firstWorker(), restartReport());
        fixture.reportFenced(fixture.firstWorker(), restartReport());
        const Utils::Duration lease = wasPolled ? 10'200ms : 5100ms;
        std::vector<Ports::WorkerInfo> infos { makeWorkerInfo("w0"), makeWorkerInfo("w1") };
        infos[fixture.firstWorker() == "w0" ? 0 : 1].startedUnixMs = 8;
        fixture.scheduler.setWorkers(infos, fixture.now);
        // A task that takes all of a worker starts on each of the two.
        fixture.scheduler.submit(
            makeJob("wide", { makeStep(2, 30'000, 9000) }), 2, fixture.now, testStartUnixMs);
        fixture.scheduleAndCommit();
        const Utils::TimePoint end = fixture.scheduler.leaseEnds().at(fixture.firstWorker());
        CHECK(end > fixture.now + 5200ms);
        fixture.confirmStarts();
        // The longest lease counts from the answer that shows the token, the other one from the first report.
        const Utils::TimePoint leaseEnd = (wasPolled ? fixture.now : noticedAt) + lease;
        CHECK(fixture.scheduler.leaseEnds().at(fixture.firstWorker()) == leaseEnd);
        // It is stated to a successor.
        CHECK((fixture.scheduler.heldLeaseEnd() == leaseEnd) == wasPolled);
    }
}

TEST_CASE("A restarted worker that falls silent before it has seen its token may still get a longer lease")
{
    LeaseFixture fixture;
    fixture.confirmStarts();
    REQUIRE(fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true).leaseUntilMs > 0);
    Ports::WorkerReport restarted = restartReport();
    const Fleet::AttemptStart& start = fixture.output.starts[0];
    restarted.running.push_back({ start.task, start.attempt, {}, 0, 0 });
    fixture.now += 300ms;
    fixture.report(fixture.firstWorker(), restarted);
    CHECK(fixture.scheduler.leaseEnds().at(fixture.firstWorker()) == fixture.now + 5s + 10'200ms);
    fixture.reportFenced(fixture.firstWorker(), restarted);
    CHECK(fixture.scheduler.leaseEnds().at(fixture.firstWorker()) == fixture.now + 10'200ms);
}

TEST_CASE("A worker gets no task, lease or acknowledgement before it has seen its new token")
{
    LeaseFixture fixture;
    fixture.confirmStarts();
    fixture.now += 300ms;
    CHECK(fixture.scheduler.restartCount(fixture.firstWorker()) == 0);
    Ports::WorkerReport restarted = restartReport();
    restarted.running.push_back({ fixture.output.starts[0].task, 1, {}, 10, 1000 });
    fixture.report(fixture.firstWorker(), restarted);
    CHECK(fixture.scheduler.restartCount(fixture.firstWorker()) == 1);
    const Fleet::PollPlan plan = fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true);
    CHECK(plan.hasTasks);
    CHECK(plan.leaseUntilMs == 0);
    fixture.reportFenced(fixture.firstWorker(), restarted);
    CHECK(fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true).leaseUntilMs > 0);
}

TEST_CASE("A successor counts on the longest lease for starts that it does not know to be answered")
{
    for (const bool isConfirmed : { false, true }) {
        CAPTURE(isConfirmed);
        LeaseFixture owner;
        FleetSchema::JobRecord record = owner.record();
        record.mutable_tasks(0)->set_confirmed(isConfirmed);
        SuccessorFixture successor(owner.now, record, {}, 5s);
        const Utils::Duration bound = (isConfirmed ? 5100ms : 10'200ms) + 200ms;
        CHECK(successor.startsUntil(owner.now + bound) == 0);
        CHECK(successor.startsUntil(owner.now + bound + 200ms) == 1);
    }
}

TEST_CASE("A worker without tasks gets no lease, and a start only a short one")
{
    LeaseFixture fixture;
    const std::int64_t clockMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(fixture.now.time_since_epoch()).count();
    CHECK(fixture.output.starts[0].leaseUntilMs == clockMs + 3000);
    const std::string idle = fixture.firstWorker() == "w0" ? "w1" : "w0";
    CHECK(fixture.scheduler.planPoll(idle, fixture.now, true).leaseUntilMs == 0);
    CHECK(
        fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true).leaseUntilMs == clockMs + 5000);
    CHECK(fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, false).leaseUntilMs == 0);
}

TEST_CASE("A worker that does not answer a start gets no other task until it has reported")
{
    LeaseFixture fixture;
    fixture.loseReply();
    fixture.scheduler.submit(makeJob("wide", { makeStep(40, 1000, 500) }), 2, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    REQUIRE(fixture.output.starts.size() > 1);
    for (std::size_t number = 1; number < fixture.output.starts.size(); ++number)
        CHECK(fixture.output.starts[number].worker != fixture.firstWorker());
    const std::size_t startCount = fixture.output.starts.size();
    fixture.report(fixture.firstWorker(), {});
    fixture.scheduleAndCommit();
    CHECK(fixture.output.starts.size() > startCount);
}

TEST_CASE("A successor waits for leases of a former owner only as long as that one may still renew them")
{
    SchedulerFixture owner(1);
    owner.scheduler.submit(makeJob("job", { makeStep(1, 1000, 9000) }), 1, owner.now, testStartUnixMs);
    owner.scheduler.schedule(owner.now, testStartUnixMs);
    const auto batch = owner.scheduler.beginCommit(testStartUnixMs);
    REQUIRE(batch);
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts[0].value));
    for (const bool isFormerOwnerGone : { false, true }) {
        SchedulerFixture successor(0);
        if (isFormerOwnerGone)
            successor.scheduler.setFormerRenewal({});
        successor.scheduler.restore(record, successor.now, testStartUnixMs);
        Ports::WorkerInfo other = makeWorkerInfo("other");
        successor.scheduler.setWorkers({ other }, successor.now);
        successor.workers = { "other" };
        // 12 s of renewal by an owner without the store, 10 s of lease on a clock that is 2% slow, and 200 ms
        // to end the run.
        const Utils::Duration bound = isFormerOwnerGone ? 10'400ms : 22'400ms;
        successor.now += bound - 100ms;
        successor.report("other", {});
        successor.scheduler.onTick(successor.now, testStartUnixMs);
        successor.scheduleAndCommit();
        CHECK(successor.output.starts.empty());
        successor.now += 200ms;
        successor.scheduler.onTick(successor.now, testStartUnixMs);
        successor.scheduleAndCommit();
        CHECK(successor.output.starts.size() == 1);
    }
}

TEST_CASE("A successor knows the address of a worker that the platform does not list")
{
    SchedulerFixture owner(1);
    owner.scheduler.submit(makeJob("job", { makeStep(1, 1000, 9000) }), 1, owner.now, testStartUnixMs);
    owner.scheduler.schedule(owner.now, testStartUnixMs);
    const auto batch = owner.scheduler.beginCommit(testStartUnixMs);
    REQUIRE(batch);
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts[0].value));
    SchedulerFixture successor(0);
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    const auto unlisted = successor.scheduler.unlistedWorkers();
    REQUIRE(unlisted.size() == 1);
    CHECK(unlisted[0].id == "w0");
    CHECK(unlisted[0].address == "127.0.0.1:1");
}

TEST_CASE("Attempts end with their worker when another one answers in its place, whatever its lease")
{
    SchedulerFixture owner(1);
    owner.scheduler.submit(makeJob("job", { makeStep(1, 1000, 9000) }), 1, owner.now, testStartUnixMs);
    owner.scheduler.schedule(owner.now, testStartUnixMs);
    const auto batch = owner.scheduler.beginCommit(testStartUnixMs);
    REQUIRE(batch);
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(batch->puts[0].value));
    SchedulerFixture successor(0);
    successor.scheduler.restore(record, successor.now, testStartUnixMs);
    successor.scheduler.setWorkers({ makeWorkerInfo("other") }, successor.now);
    successor.report("other", {});
    successor.scheduleAndCommit();
    CHECK(successor.output.starts.empty());
    successor.scheduler.onWorkerReplaced("w0", successor.now, testStartUnixMs);
    successor.scheduleAndCommit();
    REQUIRE(successor.output.starts.size() == 1);
    CHECK(successor.output.starts[0].worker == "other");
    CHECK(successor.output.starts[0].attempt == 2);
}

// Guards against second runs of tasks on workers that are cut off from nodes and store and run on.
TEST_CASE("An attempt stays open until its lease ends if its worker is not listed and refuses connections")
{
    for (const bool isDraining : { false, true }) {
        SchedulerFixture fixture(2);
        fixture.scheduler.submit(
            makeJob("job", { makeStep(1, 1000, 60'000) }), 1, fixture.now, testStartUnixMs);
        fixture.scheduleAndCommit();
        fixture.confirmStarts();
        const std::string cutOff = fixture.output.starts[0].worker;
        const std::string other = cutOff == "w0" ? "w1" : "w0";
        REQUIRE(fixture.scheduler.planPoll(cutOff, fixture.now, true).leaseUntilMs > 0);
        if (isDraining) {
            std::vector<Ports::WorkerInfo> infos { makeWorkerInfo(cutOff), makeWorkerInfo(other) };
            infos[0].isDraining = true;
            infos[0].drainRemainingMs = 100'000;
            fixture.scheduler.setWorkers(infos, fixture.now);
        }
        fixture.scheduler.setWorkers({ makeWorkerInfo(other) }, fixture.now);
        const auto startsUntil = [&](Utils::TimePoint end) {
            while (fixture.now < end) {
                fixture.now += 100ms;
                fixture.scheduler.onPollFailed(cutOff, true);
                fixture.report(other, {});
                fixture.scheduler.onTick(fixture.now, testStartUnixMs);
                fixture.scheduleAndCommit();
            }
            return fixture.output.starts.size();
        };
        const Utils::TimePoint leaseEnd = fixture.scheduler.leaseEnds().at(cutOff);
        REQUIRE(leaseEnd >= fixture.now + 5s);
        CHECK(startsUntil(leaseEnd + 200ms) == 1);
        REQUIRE(startsUntil(leaseEnd + 400ms) == 2);
        CHECK(fixture.output.starts[1].worker == other);
    }
}

TEST_CASE("One lost poll does not cost a worker that has answered a start its lease")
{
    LeaseFixture fixture;
    // The poll that was in flight when the start was sent carries no lease and is lost: it times out
    // after 1.5 s + 0.7 s, and the connection pauses for 0.25 s.
    fixture.now += 50ms;
    fixture.confirmStarts();
    fixture.now += 2150ms;
    fixture.scheduler.onPollFailed(fixture.firstWorker());
    fixture.now += 250ms;
    // This poll is answered after 0.4 s and the round trip; a lease requested only with the next one
    // comes 2.85 s and 1.5 round trips after the start, whose lease is 3 s.
    CHECK(fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true).leaseUntilMs > 0);
}

TEST_CASE("Owners after a handover wait for a silent worker until the first one's bound, and no longer")
{
    LeaseFixture owner;
    owner.confirmStarts();
    owner.scheduler.planPoll(owner.firstWorker(), owner.now, true);
    const Utils::TimePoint leaseEnd = owner.now + 5100ms; // 5 s on a clock that is 2% slow.
    owner.now += 1s;
    REQUIRE(owner.scheduler.leaseEnds() == Fleet::LeaseEnds { { owner.firstWorker(), leaseEnd } });

    SuccessorFixture second(owner.now, owner.record(), owner.scheduler.leaseEnds());
    CHECK(second.startsUntil(owner.now + 2s) == 0);
    // It has not heard of the worker, so what it states is what it was told.
    REQUIRE(second.scheduler.leaseEnds() == owner.scheduler.leaseEnds());

    SuccessorFixture third(second.now, owner.record(), second.scheduler.leaseEnds());
    CHECK(third.startsUntil(leaseEnd + 200ms) == 0);
    CHECK(third.startsUntil(leaseEnd + 400ms) == 1);
}

TEST_CASE("A successor does not wait longer for a worker than it would without the former owner's bound")
{
    LeaseFixture owner;
    SuccessorFixture successor(owner.now, owner.record(), { { owner.firstWorker(), owner.now + 60s } });
    CHECK(successor.startsUntil(owner.now + 10'400ms) == 0);
    CHECK(successor.startsUntil(owner.now + 10'600ms) == 1);
}

TEST_CASE("A worker whose lease has run out can still report what ended before")
{
    LeaseFixture owner;
    const Fleet::LeaseEnds past { { owner.firstWorker(), owner.now - 1s } };
    SuccessorFixture successor(owner.now, owner.record(), past);
    CHECK(successor.startsUntil(owner.now + 700ms) == 0);
    Ports::WorkerReport report;
    report.ended.push_back({ 1, owner.output.starts[0].task, 1, Ports::AttemptOutcome::Done, {} });
    successor.report(owner.firstWorker(), report);
    CHECK(successor.startsUntil(owner.now + 2s) == 0);
    REQUIRE(successor.output.ended.size() == 1);
    CHECK(successor.output.ended[0].state == FleetSchema::JOB_COMPLETED);

    SuccessorFixture unanswered(owner.now, owner.record(), past);
    CHECK(unanswered.startsUntil(owner.now + 1100ms) == 1);
}

TEST_CASE("A former owner's bound does not hold once its successor has renewed the lease")
{
    LeaseFixture owner;
    const Fleet::LeaseEnds ends { { owner.firstWorker(), owner.now + 2s } };
    SuccessorFixture successor(owner.now, owner.record(), ends);
    Ports::WorkerReport report;
    report.running.push_back({ owner.output.starts[0].task, 1, {}, 10, 1000 });
    successor.report(owner.firstWorker(), report);
    successor.now += 1500ms;
    successor.report(owner.firstWorker(), report);
    successor.scheduler.planPoll(owner.firstWorker(), successor.now, true);
    successor.scheduler.onPollFailed(owner.firstWorker());
    successor.scheduler.onPollFailed(owner.firstWorker());
    CHECK(successor.startsUntil(owner.now + 6700ms) == 0);
    CHECK(successor.startsUntil(owner.now + 7000ms) == 1);
}

// A worker may take as long to end its runs when their lease is over as when it is told to stop them.
TEST_CASE("A task does not run twice while a silent worker ends its runs after their lease")
{
    constexpr Utils::Duration stopLimit = 200ms; // As set by the fixture.
    constexpr Utils::Duration tick = 100ms;
    SECTION("with a lease granted by a start or by a poll")
    {
        for (const bool isPolled : { false, true }) {
            CAPTURE(isPolled);
            LeaseFixture fixture;
            fixture.confirmStarts();
            if (isPolled)
                fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true);
            for (int poll = 0; poll < 2; ++poll)
                fixture.scheduler.onPollFailed(fixture.firstWorker());
            const Utils::TimePoint end = fixture.scheduler.leaseEnds().at(fixture.firstWorker()) + stopLimit;
            fixture.advance(end - fixture.now - tick);
            CHECK(fixture.output.starts.size() == 1);
            fixture.advance(2 * tick);
            CHECK(fixture.output.starts.size() == 2);
        }
    }
    SECTION("with a lease in the clock of a former life")
    {
        LeaseFixture fixture;
        fixture.confirmStarts();
        Ports::WorkerReport restarted;
        restarted.startedUnixMs = 8;
        const Fleet::AttemptStart& start = fixture.output.starts[0];
        restarted.running.push_back({ start.task, start.attempt, {}, 0, 0 });
        fixture.report(fixture.firstWorker(), restarted);
        const Utils::TimePoint end = fixture.now + 5s + 10'200ms + stopLimit;
        for (int poll = 0; poll < 2; ++poll)
            fixture.scheduler.onPollFailed(fixture.firstWorker());
        fixture.advance(end - fixture.now - tick);
        CHECK(fixture.output.starts.size() == 1);
        fixture.advance(2 * tick);
        CHECK(fixture.output.starts.size() == 2);
    }
    SECTION("with a lease granted by a former owner")
    {
        LeaseFixture owner;
        owner.confirmStarts();
        owner.scheduler.planPoll(owner.firstWorker(), owner.now, true);
        const Fleet::LeaseEnds ends = owner.scheduler.leaseEnds();
        SuccessorFixture successor(owner.now, owner.record(), ends);
        const Utils::TimePoint end = ends.at(owner.firstWorker()) + stopLimit;
        CHECK(successor.startsUntil(end) == 0);
        CHECK(successor.startsUntil(end + tick) == 1);
    }
}

TEST_CASE(
    "A start that was meant for a former incarnation is sent to another worker once it is certainly lost")
{
    for (const bool wasLost : { false, true }) {
        CAPTURE(wasLost);
        LeaseFixture fixture;
        if (wasLost)
            fixture.loseReply();
        fixture.now += 300ms;
        fixture.report(fixture.firstWorker(), restartReport());
        fixture.scheduleAndCommit();
        // The new incarnation may carry it out until it has seen its own token.
        CHECK(fixture.output.starts.size() == 1);
        fixture.reportFenced(fixture.firstWorker(), restartReport());
        fixture.scheduleAndCommit();
        // A further incarnation, which hasn't seen the token, may carry it out for some time.
        CHECK(fixture.output.starts.size() == 1);
        fixture.now += 5s;
        fixture.report(fixture.firstWorker(), restartReport());
        fixture.scheduleAndCommit();
        CHECK(fixture.output.starts.size() == 2);
        // The former incarnation may have crashed before the start reached it.
        REQUIRE(fixture.output.crashes.size() == 1);
        CHECK(fixture.output.crashes[0].number == 0);
    }
}

TEST_CASE(
    "A start stays open while a restarted worker may carry out what was meant for its former incarnation")
{
    LeaseFixture fixture;
    fixture.now += 300ms;
    Ports::WorkerReport report = restartReport();
    report.isFirstOnConnection = false;
    fixture.report(fixture.firstWorker(), report);
    fixture.scheduleAndCommit();
    CHECK(fixture.output.starts.size() == 1);
    CHECK(fixture.output.stops.size() == 1);
}

TEST_CASE("A worker that refuses a start as another incarnation gets no task until it has reported")
{
    LeaseFixture fixture;
    const Fleet::AttemptStart start = fixture.output.starts[0];
    fixture.scheduler.onStartReply(start.worker, start.task, start.attempt,
        Ports::CommandReply { Ports::CommandOutcome::IncarnationMismatch, 0 }, fixture.now);
    fixture.scheduler.submit(makeJob("wide", { makeStep(20, 1000, 500) }), 2, fixture.now, testStartUnixMs);
    fixture.advance(500ms);
    REQUIRE(fixture.output.starts.size() == 22);
    for (std::size_t number = 1; number < fixture.output.starts.size(); ++number)
        CHECK(fixture.output.starts[number].worker != start.worker);
}

TEST_CASE("The lease of a worker that has restarted is waited for as long as that of any other one")
{
    LeaseFixture fixture;
    Ports::WorkerReport restarted = restartReport();
    fixture.confirmStarts();
    fixture.report(fixture.firstWorker(), restarted);
    fixture.reportFenced(fixture.firstWorker(), restarted);
    fixture.scheduleAndCommit();
    REQUIRE(fixture.output.starts.size() == 2);
    const Fleet::AttemptStart start = fixture.output.starts[1];
    CHECK(start.workerBornMs == (start.worker == fixture.firstWorker() ? 8 : 7));
    fixture.confirmStarts();
    const Fleet::LeaseEnds ends = fixture.scheduler.leaseEnds();
    for (const auto& [worker, end] : ends)
        CHECK(end <= fixture.now + 5100ms);
    REQUIRE(fixture.scheduler.leaseEnds().contains(start.worker));
}

TEST_CASE("The loss of a worker tells what showed it, and the lease that the owner counted on")
{
    LeaseFixture fixture;
    fixture.confirmStarts();
    fixture.now += 1s;
    fixture.scheduler.planPoll(fixture.firstWorker(), fixture.now, true);
    for (int poll = 0; poll < 2; ++poll)
        fixture.scheduler.onPollFailed(fixture.firstWorker(), true);
    fixture.advance(5s);
    CHECK(fixture.output.losses.empty());
    fixture.advance(1s);
    REQUIRE(fixture.output.losses.size() == 1);
    const Fleet::WorkerLoss& loss = fixture.output.losses[0];
    CHECK(loss.worker == fixture.firstWorker());
    CHECK(loss.reason == "worker-silent-beyond-lease");
    CHECK(loss.attemptCount == 1);
    CHECK(loss.isWorkerListed);
    CHECK(loss.reportAgeMs == 1000 + 5100 + loss.sinceLeaseEndMs);
    CHECK(loss.sinceLeaseEndMs > 0);
    CHECK(loss.leaseSource == "poll");
    CHECK(loss.unconfirmedCount == 0);
    CHECK(loss.startUnixMs == 7);
}

TEST_CASE("The restart of a worker tells how much had been sent to its former life without an answer")
{
    LeaseFixture fixture;
    fixture.now += 400ms;
    Ports::WorkerReport report;
    report.startedUnixMs = 8;
    fixture.report(fixture.firstWorker(), report);
    REQUIRE(fixture.output.restarts.size() == 1);
    const Fleet::WorkerRestart& restart = fixture.output.restarts[0];
    CHECK(restart.worker == fixture.firstWorker());
    CHECK(restart.formerStartUnixMs == 7);
    CHECK(restart.startUnixMs == 8);
    CHECK(restart.formerReportAgeMs == 400);
    CHECK(restart.attemptCount == 1);
    CHECK(restart.unconfirmedCount == 1);
}

TEST_CASE("A loss that is known before the lease is over tells so")
{
    LeaseFixture fixture;
    fixture.confirmStarts();
    fixture.scheduler.onWorkerReplaced(fixture.firstWorker(), fixture.now, testStartUnixMs);
    REQUIRE(fixture.output.losses.size() == 1);
    CHECK(fixture.output.losses[0].reason == "worker-replaced");
    CHECK(fixture.output.losses[0].sinceLeaseEndMs == -3060);
    CHECK(fixture.output.losses[0].leaseSource == "start");
}

TEST_CASE("A worker whose starts cannot be sent is tried once a report, and a log line names it")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("job", { makeStep(1, 1000, 500) }), 1, fixture.now, testStartUnixMs);
    std::size_t answered = 0;
    const Utils::Error notSent { Utils::ErrorCode::Unavailable, "http.peer-check", "w0", "closed" };
    for (int tick = 0; tick < 100; ++tick) {
        fixture.now += 100ms;
        if (tick % 5 == 0)
            fixture.report("w0", {});
        fixture.scheduler.onTick(fixture.now, testStartUnixMs);
        fixture.scheduleAndCommit();
        for (; answered < fixture.output.starts.size(); ++answered) {
            const Fleet::AttemptStart start = fixture.output.starts[answered];
            fixture.scheduler.onStartReply(start.worker, start.task, start.attempt, notSent, fixture.now);
        }
    }
    CHECK(answered >= 10);
    CHECK(answered <= 20);
    REQUIRE(fixture.output.unusableWorkers.size() == 1);
    CHECK(fixture.output.unusableWorkers[0] == std::pair<std::string, std::string>("w0", "start-failing"));
}

// An incarnation that has carried out an acknowledgement for a former one forgets its own ends.
TEST_CASE("An incarnation that loses an end gets no more tasks")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(makeJob("job", { makeStep(1, 1000, 500) }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    fixture.confirmStarts();
    fixture.now += 1s;
    fixture.report("w0", {});
    fixture.now += 1s;
    fixture.scheduleAndCommit();
    CHECK(fixture.output.starts.size() == 1);
    Ports::WorkerReport restarted;
    restarted.startedUnixMs = 8;
    fixture.report("w0", restarted);
    fixture.reportFenced("w0", restarted);
    Ports::WorkerInfo listed = makeWorkerInfo("w0");
    listed.startedUnixMs = 8;
    fixture.scheduler.setWorkers({ listed }, fixture.now);
    fixture.scheduleAndCommit();
    CHECK(fixture.output.starts.size() == 2);
}

// A lower token than before would look like that of a former owner.
TEST_CASE("The token of a worker does not fall while it is not listed")
{
    SchedulerFixture fixture(2);
    Ports::WorkerReport restarted;
    restarted.startedUnixMs = 8;
    fixture.report("w0", restarted);
    REQUIRE(fixture.scheduler.restartCount("w0") == 1);
    fixture.scheduler.setWorkers({ makeWorkerInfo("w1") }, fixture.now);
    fixture.now += 100ms;
    fixture.scheduler.onTick(fixture.now, testStartUnixMs);
    REQUIRE_FALSE(fixture.scheduler.knowsWorker("w0"));
    fixture.scheduler.setWorkers({ makeWorkerInfo("w0"), makeWorkerInfo("w1") }, fixture.now);
    CHECK(fixture.scheduler.restartCount("w0") == 2);
}
