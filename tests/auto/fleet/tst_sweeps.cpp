// Sweeps over the waiting tasks that take several passes.

#include "fullshardfixture.h"

using namespace std::chrono_literals;
using namespace Testing;

TEST_CASE("A pass that is left goes on with the tasks that it has not visited")
{
    for (const std::size_t workerCount : shardSizes) {
        FullShard shard(workerCount);
        // No search includes the next one, so each of them examines all workers.
        shard.submitShrinkingTasks(2000);
        shard.submit("small", makeStep(1, 3'000, 1000));
        shard.runPass();
        CHECK(shard.scheduler.isSweepUnfinished());
        std::size_t passCount = 1;
        for (; shard.scheduler.isSweepUnfinished() && passCount < 1000; ++passCount)
            shard.runPass();
        INFO(workerCount << " workers");
        CHECK(passCount <= 2 + 2000 * (workerCount + 2) / Fleet::SchedulerOptions().searchStepLimit);
        // Its record may have to wait for those of the others.
        while (shard.scheduleAndCommit())
            shard.confirmStarts();
        CHECK(shard.isRunning("small"));
        CHECK(shard.mostSteps <= passLimit + shard.searchSteps());
    }
}

TEST_CASE("Jobs that arrive while a sweep is unfinished do not keep it from visiting the others")
{
    FullShard shard(540);
    shard.submitShrinkingTasks(1000, 5);
    FleetSchema::JobSpec small = makeJob("small", { makeStep(1, 3'000, 1000) });
    small.set_priority(9);
    shard.scheduler.submit(small, 1, shard.now, testStartUnixMs);
    for (int pass = 0; pass < 100 && !shard.isRunning("small"); ++pass) {
        FleetSchema::JobSpec urgent
            = makeJob("urgent-" + std::to_string(pass), { makeStep(50, 8'000, 1000) });
        urgent.set_priority(0); // The most urgent.
        shard.scheduler.submit(urgent, 1, shard.now, testStartUnixMs);
        shard.runPass();
    }
    CHECK(shard.isRunning("small"));
}

TEST_CASE("The rest of a wide step is visited after a pass was left in the middle of it")
{
    FullShard shard(2000);
    // Each task has waited for another time, so that no search says anything about the next one.
    FleetSchema::StepSpec wide = makeBestEffortStep(200, 40'000, "image");
    wide.set_max_per_worker(1);
    shard.submit("wide", wide);
    shard.submit("small", makeStep(1, 3'000, 1000));
    for (int pass = 0; pass < 10; ++pass)
        shard.runPass();
    CHECK(shard.isRunning("small"));
    CHECK(shard.mostSteps <= passLimit + shard.searchSteps());
}

TEST_CASE("An owner that knows many occurrences of jobs still visits the tasks that wait")
{
    SchedulerFixture shard(4);
    for (int number = 0; number < 80; ++number) {
        FleetSchema::JobSpec job
            = makeJob("periodic-" + std::to_string(number), { makeStep(1, 1'000, 1000) });
        job.set_occurrences(1000);
        job.set_first_start_unix_ms(testStartUnixMs + 3'600'000);
        job.set_period_ms(60'000);
        shard.scheduler.submit(job, 1, shard.now, testStartUnixMs);
    }
    shard.scheduler.submit(makeJob("small", { makeStep(1, 3'000, 1000) }), 1, shard.now, testStartUnixMs);
    while (shard.scheduleAndCommit())
        shard.confirmStarts();
    CHECK(shard.running.size() == 1);
    CHECK_FALSE(shard.scheduler.isSweepUnfinished());
}

TEST_CASE(
    "A task that is lost while a sweep is unfinished is visited before the sweep has visited all others")
{
    FullShard shard(540);
    FleetSchema::StepSpec lasting = makeStep(1, 3'000, 1000);
    lasting.set_lasting(true);
    shard.submit("lasting", lasting);
    while (shard.scheduleAndCommit())
        shard.confirmStarts();
    REQUIRE(shard.isRunning("lasting"));
    shard.submitShrinkingTasks(2000);
    while (shard.scheduler.beginCommit(testStartUnixMs))
        shard.scheduler.onCommitted(shard.now);
    shard.runPass();
    REQUIRE(shard.scheduler.isSweepUnfinished());
    std::erase_if(
        shard.running, [](const Fleet::AttemptStart& start) { return start.task.job == "lasting"; });
    shard.now += 10ms;
    shard.finishAttempts(0, Ports::AttemptOutcome::Done);
    int passCount = 0;
    for (; !shard.isRunning("lasting") && passCount < 100; ++passCount)
        shard.runPass();
    CHECK(passCount <= 3);
}

TEST_CASE(
    "A step that gets ready while a sweep is unfinished is visited before the sweep has visited all others")
{
    FullShard shard(540);
    shard.scheduler.submit(makeJob("steps", { makeStep(1, 2'000, 1000), makeStep(1, 3'000, 1000) }), 1,
        shard.now, testStartUnixMs);
    while (shard.scheduleAndCommit())
        shard.confirmStarts();
    REQUIRE(shard.isRunning("steps"));
    shard.submitShrinkingTasks(2000);
    while (shard.scheduler.beginCommit(testStartUnixMs))
        shard.scheduler.onCommitted(shard.now);
    shard.runPass();
    REQUIRE(shard.scheduler.isSweepUnfinished());
    const auto first = std::find_if(shard.running.begin(), shard.running.end(),
        [](const Fleet::AttemptStart& start) { return start.task.job == "steps"; });
    std::iter_swap(shard.running.begin(), first);
    shard.now += 10ms;
    shard.finishAttempts(1, Ports::AttemptOutcome::Done);
    int passCount = 0;
    for (; !shard.isRunning("steps") && passCount < 100; ++passCount)
        shard.runPass();
    CHECK(passCount <= 3);
}

TEST_CASE("Capacity that becomes free during a sweep goes to the most urgent task that it fits")
{
    FullShard shard(540);
    FleetSchema::JobSpec urgent = makeJob("urgent", { makeStep(1, 9'500, 1000) });
    urgent.set_priority(0); // The most urgent.
    shard.scheduler.submit(urgent, 1, shard.now, testStartUnixMs);
    shard.submitShrinkingTasks(2000, 5);
    while (shard.scheduler.beginCommit(testStartUnixMs))
        shard.scheduler.onCommitted(shard.now);
    shard.runPass();
    REQUIRE(shard.scheduler.isSweepUnfinished());
    shard.now += 10ms;
    shard.finishAttempts(1, Ports::AttemptOutcome::Failed);
    for (int pass = 0; pass < 100 && !shard.isRunning("urgent"); ++pass)
        shard.runPass();
    CHECK(shard.isRunning("urgent"));
}
