// Workers on which tasks of several jobs fail in a row, and the tasks that wait for such workers.

#include "fleetfixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

// The longest time for which a task may wait while workers have room for it.
constexpr Utils::Duration waitBound = 3s;

/*! A shard of which workers can be made to fail all that they start. */
struct QuarantineFixture : SchedulerFixture {
    explicit QuarantineFixture(std::size_t workerCount)
        : SchedulerFixture(workerCount)
    {
    }

    void submit(const std::string& job, const FleetSchema::StepSpec& step, std::uint32_t maxFailures = 20)
    {
        FleetSchema::JobSpec spec = makeJob(job, { step });
        spec.set_max_failures(maxFailures);
        scheduler.submit(spec, 1, now, testStartUnixMs);
        schedule();
    }

    void schedule()
    {
        scheduler.onTick(now, testStartUnixMs);
        scheduleAndCommit();
        confirmStarts();
    }

    /*! Lets time pass while all workers report what they run. */
    void advance(Utils::Duration duration)
    {
        const Utils::TimePoint end = now + duration;
        while (now < end) {
            now += 100ms;
            for (const std::string& worker : workers)
                reportRunning(worker);
            schedule();
        }
    }

    void reportRunning(const std::string& worker)
    {
        Ports::WorkerReport content;
        for (const Fleet::AttemptStart& attempt : running) {
            if (attempt.worker == worker)
                content.running.push_back({ attempt.task, attempt.attempt, {}, 10, 0 });
        }
        report(worker, content);
    }

    /*! Fails what runs until nothing has run for the time. */
    void failAllUntilIdleFor(Utils::Duration duration)
    {
        for (Utils::TimePoint idleSince = now; now - idleSince < duration;) {
            if (!running.empty()) {
                finishAll(Ports::AttemptOutcome::Failed);
                idleSince = now;
            }
            advance(100ms);
        }
    }

    /*! \return whether a task of the job starts within the time. */
    bool startsWithin(const std::string& job, Utils::Duration duration)
    {
        const std::size_t startCount = output.starts.size();
        advance(duration);
        return std::any_of(output.starts.begin() + static_cast<std::ptrdiff_t>(startCount),
            output.starts.end(), [&](const Fleet::AttemptStart& start) { return start.task.job == job; });
    }
};

} // namespace

TEST_CASE("A quarantine is reported with its length and its end")
{
    QuarantineFixture fixture(1);
    for (int number = 0; number < 2; ++number)
        fixture.submit("job" + std::to_string(number), makeStep(1, 1000, 500));
    fixture.finishAll(Ports::AttemptOutcome::Failed);
    REQUIRE(fixture.output.quarantines.size() == 1);
    CHECK(fixture.output.quarantines[0] == std::pair<std::string, Utils::Duration>("w0", 1s));
    fixture.submit("new", makeStep(1, 1000, 500));
    fixture.advance(1500ms);
    REQUIRE_FALSE(fixture.running.empty());
    fixture.finishAll(Ports::AttemptOutcome::Done);
    REQUIRE(fixture.output.quarantines.size() == 2);
    CHECK(fixture.output.quarantines[1].second == Utils::Duration::zero());
}

TEST_CASE("The end of a quarantine by a restart of the worker is reported")
{
    QuarantineFixture fixture(1);
    for (int number = 0; number < 2; ++number)
        fixture.submit("job" + std::to_string(number), makeStep(1, 1000, 500));
    fixture.finishAll(Ports::AttemptOutcome::Failed);
    REQUIRE(fixture.output.quarantines.size() == 1);
    Ports::WorkerReport restarted;
    restarted.startedUnixMs = 8;
    fixture.report("w0", restarted);
    REQUIRE(fixture.output.quarantines.size() == 2);
    CHECK(fixture.output.quarantines[1].second == Utils::Duration::zero());
}

TEST_CASE("A task that has failed starts again after all workers were quarantined")
{
    QuarantineFixture fixture(3);
    for (int number = 0; number < 4; ++number)
        fixture.submit("job" + std::to_string(number), makeStep(2, 1000, 500));
    fixture.failAllUntilIdleFor(1s);
    REQUIRE(fixture.running.empty());
    CHECK(fixture.startsWithin("job0", waitBound));
}

TEST_CASE("Tasks do not wait beside idle workers for the end of a long quarantine")
{
    QuarantineFixture fixture(3);
    for (int number = 0; number < 3; ++number)
        fixture.submit("job" + std::to_string(number), makeStep(1, 1000, 500), 100);
    // Each failed probe prolongs the quarantine.
    for (int round = 0; round < 12; ++round) {
        fixture.finishAll(Ports::AttemptOutcome::Failed);
        const std::size_t startCount = fixture.output.starts.size();
        fixture.advance(waitBound);
        REQUIRE(fixture.output.starts.size() == startCount + 3);
    }
}

TEST_CASE("A long-running task that has failed before starts on a quarantined worker")
{
    QuarantineFixture fixture(2);
    FleetSchema::StepSpec step = makeLatencyCriticalStep(1, 4000, "api");
    fixture.submit("lasting0", step);
    fixture.submit("lasting1", step);
    fixture.submit("lasting2", step);
    for (int round = 0; round < 4; ++round) {
        fixture.finishAll(Ports::AttemptOutcome::Failed);
        fixture.advance(300ms);
    }
    fixture.failAllUntilIdleFor(1s);
    CHECK(fixture.startsWithin("lasting0", waitBound));
}

TEST_CASE("A task that has failed prefers a worker that is not quarantined")
{
    QuarantineFixture fixture(3);
    fixture.submit("first", makeStep(1, 1000, 500));
    fixture.submit("second", makeStep(1, 1000, 500));
    fixture.failAllUntilIdleFor(1s);
    // The idle workers are quarantined, and the third one has other tasks.
    fixture.workers.emplace_back("busy");
    std::vector<Ports::WorkerInfo> infos;
    for (const std::string& worker : fixture.workers)
        infos.push_back(makeWorkerInfo(worker));
    fixture.scheduler.setWorkers(infos, fixture.now);
    fixture.report("busy", {});
    fixture.advance(waitBound);
    REQUIRE_FALSE(fixture.running.empty());
    CHECK(std::all_of(fixture.running.begin(), fixture.running.end(),
        [](const Fleet::AttemptStart& start) { return start.worker == "busy"; }));
}

TEST_CASE("A task that has failed does not keep the others of its step from a quarantined worker")
{
    QuarantineFixture fixture(1);
    fixture.submit("first", makeStep(1, 1000, 500));
    fixture.submit("wide", makeStep(2, 20'000, 500));
    // The first task of each job fails; the second one of the wide job has had no room yet.
    fixture.finishAll(Ports::AttemptOutcome::Failed);
    fixture.advance(1200ms);
    REQUIRE_FALSE(fixture.output.starts.empty());
    CHECK(fixture.output.starts.back().task.job == "wide");
    CHECK(fixture.output.starts.back().task.index == 1);
}

TEST_CASE("A shard whose workers are all quarantined accepts jobs again once they may be tried")
{
    QuarantineFixture fixture(2);
    for (int number = 0; number < 3; ++number)
        fixture.submit("job" + std::to_string(number), makeStep(1, 1000, 500), 3);
    for (int round = 0; round < 200 && fixture.output.ended.size() < 3; ++round) {
        fixture.finishAll(Ports::AttemptOutcome::Failed);
        fixture.advance(100ms);
    }
    REQUIRE(fixture.output.ended.size() == 3);
    fixture.advance(8s);
    CHECK(fixture.scheduler.load(fixture.now).capacity() > 0);
    CHECK(fixture.scheduler.load(fixture.now).service() == "service");
}

TEST_CASE("A gang wider than the number of workers starts after all of them were quarantined")
{
    QuarantineFixture fixture(2);
    FleetSchema::StepSpec gang = makeStep(4, 1000, 500);
    gang.set_gang(true);
    fixture.submit("gang", gang);
    fixture.submit("first", makeStep(1, 1000, 500));
    fixture.submit("second", makeStep(1, 1000, 500));
    fixture.finishAll(Ports::AttemptOutcome::Failed);
    // Without the others, only the gang can probe the workers.
    fixture.scheduler.cancel("first", 1, testStartUnixMs);
    fixture.scheduler.cancel("second", 1, testStartUnixMs);
    REQUIRE(fixture.output.quarantines.size() >= 2);
    CHECK(fixture.startsWithin("gang", waitBound));
}

TEST_CASE("Tasks do not wait beside an idle worker for the end of a long probe")
{
    QuarantineFixture fixture(2);
    for (int number = 0; number < 4; ++number)
        fixture.submit("job" + std::to_string(number), makeStep(1, 1000, 20'000));
    fixture.finishAll(Ports::AttemptOutcome::Failed);
    fixture.advance(waitBound);
    REQUIRE(fixture.running.size() >= 2);
    fixture.advance(1s);
    CHECK(fixture.running.size() == 4);
    // New jobs are accepted beside the probes.
    CHECK(fixture.scheduler.load(fixture.now).capacity() > 0);
    fixture.submit("new", makeStep(1, 1000, 500));
    fixture.advance(waitBound);
    CHECK(fixture.running.size() == 5);
}

TEST_CASE("A task throttled to zero does not keep others from a quarantined worker")
{
    QuarantineFixture fixture(1);
    fixture.submit("api", makeLatencyCriticalStep(1, 8000, "api"));
    fixture.submit("fill", makeBestEffortStep(1, 1000, "hot"));
    fixture.submit("first", makeStep(1, 1000, 500));
    fixture.submit("second", makeStep(1, 1000, 500));
    REQUIRE(fixture.running.size() == 4);
    Ports::WorkerReport failures;
    Ports::WorkerReport content;
    for (const Fleet::AttemptStart& start : fixture.running) {
        const bool isLasting = start.task.job == "api";
        if (isLasting || start.task.job == "fill")
            content.running.push_back(
                { start.task, start.attempt, {}, isLasting ? 100 : 20, isLasting ? 100 : 0 });
        else
            failures.ended.push_back({ ++fixture.lastEndNumbers["w0"], start.task, start.attempt,
                Ports::AttemptOutcome::Failed, {} });
    }
    failures.running = content.running;
    fixture.report("w0", failures);
    const auto passTime = [&](Utils::Duration duration) {
        for (const Utils::TimePoint end = fixture.now + duration; fixture.now < end;) {
            fixture.now += 100ms;
            fixture.report("w0", content);
            fixture.scheduler.onTick(fixture.now, testStartUnixMs);
            fixture.scheduleAndCommit();
        }
    };
    fixture.scheduler.cancel("first", 1, testStartUnixMs);
    fixture.scheduler.cancel("second", 1, testStartUnixMs);
    passTime(2500ms);
    REQUIRE_FALSE(fixture.output.throttles.empty());
    REQUIRE(fixture.output.throttles.back().number == 0);
    fixture.submit("new", makeStep(1, 1000, 500));
    passTime(waitBound);
    CHECK(fixture.output.starts.back().task.job == "new");
}

TEST_CASE("A long-running task gets room by a move although all workers are quarantined")
{
    QuarantineFixture fixture(2);
    for (const std::int64_t size : { 20'000, 8'000, 8'001 }) {
        FleetSchema::StepSpec step = makeStep(1, size, 0);
        step.set_lasting(true);
        fixture.submit("lasting" + std::to_string(size), step);
    }
    REQUIRE(fixture.running.size() == 3);
    const std::vector<Fleet::AttemptStart> atWork = fixture.running;
    const auto passTime = [&](Utils::Duration duration) {
        for (const Utils::TimePoint end = fixture.now + duration; fixture.now < end;) {
            fixture.now += 100ms;
            std::map<std::string, Ports::WorkerReport> reports;
            for (const Fleet::AttemptStart& start : atWork)
                reports[start.worker].running.push_back({ start.task, start.attempt, {}, 100, 0 });
            for (const Fleet::AttemptStart& start : fixture.running) {
                if (start.task.job.starts_with("failing"))
                    reports[start.worker].ended.push_back({ ++fixture.lastEndNumbers[start.worker],
                        start.task, start.attempt, Ports::AttemptOutcome::Failed, {} });
            }
            fixture.running.clear();
            for (const auto& [worker, content] : reports)
                fixture.report(worker, content);
            fixture.schedule();
        }
    };
    passTime(6s);
    for (int number = 0; number < 4; ++number) {
        fixture.submit("failing" + std::to_string(number), makeStep(1, 1000, 500), 1);
        passTime(100ms);
    }
    REQUIRE(fixture.output.quarantines.size() == 2);
    REQUIRE(fixture.output.stops.empty());
    passTime(waitBound);
    FleetSchema::StepSpec step = makeStep(1, 24'000, 0);
    step.set_lasting(true);
    fixture.submit("large", step);
    passTime(waitBound);
    CHECK_FALSE(fixture.output.stops.empty());
}
