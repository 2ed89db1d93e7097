#include <invariantchecker.h>

#include <catch2/catch.hpp>

#include <algorithm>

using Emulate::InvariantChecker;
using Emulate::SimulatedWorker;
using Emulate::TaskBehavior;
using Ports::TaskKey;

namespace {

constexpr std::int64_t capacityNoticeMs = 5500;

Ports::WorkerInfo workerInfo()
{
    Ports::WorkerInfo info;
    info.id = "w0";
    info.milliProcessors = 4000;
    info.memoryMb = 8000;
    info.startedUnixMs = 1;
    return info;
}

TaskBehavior behavior(std::int64_t milliProcessors)
{
    TaskBehavior result;
    result.milliProcessors = milliProcessors;
    result.memoryMb = 1000;
    result.runTimeMs = 60'000;
    return result;
}

void start(SimulatedWorker& worker, const TaskKey& task, const TaskBehavior& taskBehavior, std::int64_t nowMs)
{
    Ports::StartCommand command;
    command.task = task;
    command.attempt = 1;
    command.authority.epoch = 1;
    command.leaseUntilMs = nowMs + 1'000'000;
    REQUIRE(worker.start(command, taskBehavior, nowMs).outcome == Ports::CommandOutcome::Done);
}

FleetSchema::JobSpec job(std::uint32_t taskCount, std::uint32_t maxFailures)
{
    FleetSchema::JobSpec spec;
    spec.set_id("j1");
    spec.set_max_failures(maxFailures);
    spec.add_steps()->set_count(taskCount);
    return spec;
}

FleetSchema::JobRecord failedRecord(const FleetSchema::JobSpec& spec)
{
    FleetSchema::JobRecord record;
    *record.mutable_spec() = spec;
    record.set_state(FleetSchema::JOB_FAILED);
    return record;
}

bool hasViolation(const InvariantChecker& checker, const std::string& rule)
{
    return std::any_of(checker.violations().begin(), checker.violations().end(),
        [&](const std::string& violation) { return violation.starts_with(rule); });
}

Ports::EndedAttempt failure(const TaskKey& task, std::uint32_t attempt)
{
    return { attempt, task, attempt, Ports::AttemptOutcome::Failed, {} };
}

} // namespace

TEST_CASE("The invariant checker detects the third start after three workers crashed under a task")
{
    const TaskKey task { "j1", 0, 0, 0 };
    InvariantChecker checker;
    for (int number = 0; number < 3; ++number) {
        checker.onStartedByOwner(task, 100);
        checker.onCrashedUnder({ task });
    }
    checker.onStartedByOwner(task, 1000);
    checker.onStartedByOwner(task, 1100);
    CHECK(checker.violations().empty());
    checker.onStartedByOwner(task, 1200);
    CHECK(hasViolation(checker, "started three times more"));
}

TEST_CASE("A worker that crashes for another reason does not count against the tasks on it")
{
    SimulatedWorker worker(workerInfo(), true);
    TaskBehavior deadly = behavior(1000);
    deadly.crashesWorker = true;
    start(worker, { "j1", 0, 0, 0 }, behavior(1000), 0);
    worker.crash();
    CHECK(worker.newlyCrashedUnder.empty());
    worker.restart(1000);
    worker.isUp = true;
    start(worker, { "j1", 0, 0, 1 }, behavior(1000), 1000);
    start(worker, { "j2", 0, 0, 0 }, deadly, 1000);
    worker.advance(1005);
    CHECK(worker.isUp);
    worker.advance(1010);
    CHECK_FALSE(worker.isUp);
    CHECK(worker.running().empty());
    CHECK(worker.newlyCrashedUnder == std::vector<TaskKey> { { "j2", 0, 0, 0 } });
}

TEST_CASE("The invariant checker detects a job that fails without cause")
{
    const FleetSchema::JobSpec spec = job(2, 2);
    InvariantChecker checker;
    checker.onSubmitted(spec);
    // Each task has failed once less often than allowed, and one worker has crashed.
    checker.onEnded({ failure({ "j1", 0, 0, 0 }, 1), failure({ "j1", 0, 0, 1 }, 1) });
    checker.onCrashedUnder({ { "j1", 0, 0, 0 } });
    checker.onRecordStored(failedRecord(spec), 100);
    CHECK(hasViolation(checker, "failed without cause"));
}

TEST_CASE("The invariant checker accepts a job that fails after failures of a task or two crashes under it")
{
    const FleetSchema::JobSpec spec = job(2, 2);
    InvariantChecker failing;
    failing.onSubmitted(spec);
    failing.onEnded({ failure({ "j1", 0, 0, 1 }, 1), failure({ "j1", 0, 0, 1 }, 2) });
    failing.onRecordStored(failedRecord(spec), 100);
    CHECK(failing.violations().empty());

    InvariantChecker crashing;
    crashing.onSubmitted(spec);
    crashing.onCrashedUnder({ { "j1", 0, 0, 0 } });
    crashing.onCrashedUnder({ { "j1", 0, 0, 0 } });
    crashing.onRecordStored(failedRecord(spec), 100);
    CHECK(crashing.violations().empty());
}

TEST_CASE("The invariant checker detects a start beyond a capacity that has shrunk")
{
    SimulatedWorker worker(workerInfo(), true);
    InvariantChecker checker;
    start(worker, { "j1", 0, 0, 0 }, behavior(1500), 0);
    worker.setCapacity(2000, 8000, 0, 1000);

    // The former capacity still counts.
    start(worker, { "j1", 0, 0, 1 }, behavior(1000), 1000 + capacityNoticeMs);
    checker.onCapacityUsed(worker, { "j1", 0, 0, 1 }, 1000 + capacityNoticeMs);
    CHECK(checker.violations().empty());

    start(worker, { "j1", 0, 0, 2 }, behavior(100), 1001 + capacityNoticeMs);
    checker.onCapacityUsed(worker, { "j1", 0, 0, 2 }, 1001 + capacityNoticeMs);
    CHECK(hasViolation(checker, "started beyond the capacity"));
    checker.checkWorkers({ &worker }, 1001 + capacityNoticeMs);
    CHECK_FALSE(hasViolation(checker, "worker over its capacity"));
}

TEST_CASE(
    "The invariant checker counts an attempt that is being stopped and no processors of best-effort tasks")
{
    SimulatedWorker worker(workerInfo(), true);
    worker.stopDurationMs = 100;
    InvariantChecker checker;
    start(worker, { "j1", 0, 0, 0 }, behavior(3000), 0);
    TaskBehavior bestEffort = behavior(4000);
    bestEffort.isBestEffort = true;
    start(worker, { "j1", 0, 0, 1 }, bestEffort, 10);
    checker.onCapacityUsed(worker, { "j1", 0, 0, 1 }, 10);
    CHECK(checker.violations().empty());
    worker.stop({ "j1", 0, 0, 0 }, 1, 1, 20);
    start(worker, { "j1", 0, 0, 2 }, behavior(2000), 30);
    checker.onCapacityUsed(worker, { "j1", 0, 0, 2 }, 30);
    CHECK(hasViolation(checker, "started beyond the capacity"));
    worker.advance(120);
    CHECK_FALSE(worker.running().contains({ "j1", 0, 0, 0 }));
}

TEST_CASE("The list shows a changed capacity of a simulated worker after its delay")
{
    SimulatedWorker worker(workerInfo(), true);
    worker.setCapacity(1000, 2000, 700, 1000);
    CHECK(worker.info().milliProcessors == 1000);
    CHECK(worker.entry(1699).milliProcessors == 4000);
    CHECK(worker.entry(1700).milliProcessors == 1000);
    CHECK(worker.entry(1700).memoryMb == 2000);
}
