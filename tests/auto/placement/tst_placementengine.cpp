#include <placement/capacityledger.h>
#include <placement/placementengine.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace std::chrono_literals;
using namespace Placement;

namespace {

const Utils::TimePoint start { 100s };

WorkerDescription workerDescription(int number)
{
    return { "w" + std::to_string(number), "north", number % 2 == 0 ? "a" : "b",
        std::to_string(number / 2 % 4), { 32000, 125000, 0 } };
}

TaskRequest makeTask(AttemptId attempt, TaskKind kind, std::int64_t milliProcessors)
{
    TaskRequest task;
    task.attempt = attempt;
    task.job = kind == TaskKind::Service ? "rounds" : "model";
    task.team = "litoral";
    task.taskClass = task.job;
    task.kind = kind;
    task.rank = 5;
    task.declaredSize = { milliProcessors, 4000, 0 };
    task.declaredRunTime = 10min;
    return task;
}

class Fleet {
public:
    explicit Fleet(int workers, const PlacementEngine::Parameters& parameters = {})
        : engine(parameters)
    {
        for (int number = 0; number < workers; ++number)
            engine.addWorker(workerDescription(number));
    }

    std::optional<WorkerIndex> place(const TaskRequest& task)
    {
        const auto placed = engine.place(task, start, random);
        if (!Utils::isOk(placed))
            return std::nullopt;
        return Utils::value(placed).worker;
    }

    PlacementEngine engine;
    std::mt19937_64 random { 1 };
};

} // namespace

TEST_CASE("Replicas of a service are spread over failure domains, then racks")
{
    Fleet fleet(16);
    std::map<std::string, int> domains;
    std::map<std::string, int> racks;
    for (AttemptId attempt = 0; attempt < 8; ++attempt) {
        const auto worker = fleet.place(makeTask(attempt, TaskKind::Service, 4000));
        REQUIRE(worker);
        const WorkerDescription description = workerDescription(static_cast<int>(*worker));
        ++domains[description.domain];
        ++racks[description.domain + description.rack];
    }
    CHECK(domains["a"] == 4);
    CHECK(domains["b"] == 4);
    CHECK(racks.size() == 8);
}

TEST_CASE("Batch work is limited to its share of a worker until attempts end")
{
    Fleet fleet(1);
    AttemptId attempt = 0;
    while (fleet.place(makeTask(attempt, TaskKind::Batch, 4000)))
        ++attempt;
    CHECK(attempt == 6);
    CHECK(fleet.engine.ledger().committed(0).milliProcessors == 24000);
    CHECK(fleet.place(makeTask(50, TaskKind::Service, 8000)));
    fleet.engine.onEnded(0, AttemptOutcome::Interrupted, start);
    CHECK(fleet.place(makeTask(51, TaskKind::Batch, 4000)));
}

TEST_CASE("Batch work avoids workers whose services would miss their objective")
{
    Fleet fleet(2);
    for (AttemptId attempt = 0; attempt < 2; ++attempt)
        REQUIRE(fleet.place(makeTask(attempt, TaskKind::Service, 4000)));
    const std::vector<ClassUsage> usage { { "rounds", 4000, 4000, 1 } };
    fleet.engine.onUsage(0, { usage, 0.84, start });
    fleet.engine.onUsage(1, { usage, 0.2, start });
    for (AttemptId attempt = 10; attempt < 14; ++attempt)
        CHECK(fleet.place(makeTask(attempt, TaskKind::Batch, 4000)) == WorkerIndex { 1 });
    fleet.engine.onUsage(1, { usage, 0.99, start });
    CHECK_FALSE(fleet.place(makeTask(20, TaskKind::Batch, 4000)));
}

TEST_CASE("A quota limits the capacity held by a team")
{
    Fleet fleet(4);
    fleet.engine.quotas().setQuota("litoral", { 9000, 100000, 0 });
    CHECK(fleet.place(makeTask(1, TaskKind::Batch, 4000)));
    CHECK(fleet.place(makeTask(2, TaskKind::Batch, 4000)));
    CHECK_FALSE(fleet.place(makeTask(3, TaskKind::Batch, 4000)));
    fleet.engine.onEnded(1, AttemptOutcome::Succeeded, start);
    CHECK(fleet.place(makeTask(4, TaskKind::Batch, 4000)));
}

TEST_CASE("Jobs that can never run get a reason that follows changes of the fleet")
{
    Fleet fleet(2);
    TaskRequest task = makeTask(1, TaskKind::Batch, 33000);
    CHECK(fleet.engine.infeasibilityReason(task).value_or("").find("processors") != std::string::npos);
    task.declaredSize = { 1000, 1000, 1 };
    CHECK(fleet.engine.infeasibilityReason(task).value_or("").find("accelerators") != std::string::npos);
    const std::uint64_t revision = fleet.engine.fleetRevision();
    const WorkerIndex large = fleet.engine.addWorker({ "w9", "south", "c", "0", { 64000, 250000, 2 } });
    CHECK(fleet.engine.fleetRevision() != revision);
    CHECK_FALSE(fleet.engine.infeasibilityReason(task));
    fleet.engine.removeWorker(large);
    CHECK(fleet.engine.infeasibilityReason(task));
    task = makeTask(1, TaskKind::Batch, 4000);
    task.region = "south";
    CHECK(fleet.engine.infeasibilityReason(task) == "no worker is in region south");
    task.region = "";
    fleet.engine.quotas().setQuota("litoral", { 3000, 100000, 0 });
    CHECK(fleet.engine.infeasibilityReason(task) == "one task exceeds the quota of team litoral");
}

TEST_CASE("Urgent work evicts the less urgent work that loses the least")
{
    Fleet fleet(1);
    for (AttemptId attempt = 0; attempt < 6; ++attempt) {
        TaskRequest task = makeTask(attempt, TaskKind::Batch, 4000);
        task.isCheckpointable = attempt == 3;
        REQUIRE(fleet.place(task));
    }
    TaskRequest urgent = makeTask(40, TaskKind::Service, 10000);
    urgent.rank = 0;
    REQUIRE_FALSE(fleet.place(urgent));
    const auto plan = fleet.engine.planEviction(urgent, start + 10min, fleet.random);
    REQUIRE(plan);
    CHECK(plan->attempts == std::vector<AttemptId> { 3 });
    fleet.engine.markEvicting(3);
    const auto second = fleet.engine.planEviction(urgent, start + 10min, fleet.random);
    REQUIRE(second);
    CHECK(std::ranges::count(second->attempts, AttemptId { 3 }) == 0);
    fleet.engine.onEnded(3, AttemptOutcome::Interrupted, start);
    CHECK(fleet.place(urgent));
    TaskRequest equal = makeTask(41, TaskKind::Service, 20000);
    CHECK_FALSE(fleet.engine.planEviction(equal, start, fleet.random));
}

TEST_CASE("A worker that fails everything gets no tasks until its probe succeeds")
{
    Fleet fleet(4);
    for (AttemptId attempt = 0; attempt < 5; ++attempt) {
        TaskRequest task = makeTask(attempt, TaskKind::Batch, 1000);
        REQUIRE(Utils::isOk(fleet.engine.adopt(task, { 2, task.declaredSize }, start)));
        fleet.engine.onEnded(attempt, AttemptOutcome::Failed, start);
    }
    for (AttemptId attempt = 10; attempt < 60; ++attempt)
        CHECK(fleet.place(makeTask(attempt, TaskKind::Batch, 1000)) != WorkerIndex { 2 });
    const auto probe = fleet.engine.place(makeTask(70, TaskKind::Batch, 1000), start + 31s, fleet.random);
    REQUIRE(Utils::isOk(probe));
    CHECK(Utils::value(probe).worker == 2);
    fleet.engine.onEnded(70, AttemptOutcome::Succeeded, start + 32s);
    CHECK_FALSE(fleet.engine.quarantine().isQuarantined(2));
}

TEST_CASE("A quarantined worker is probed again after its probe was evicted or lost")
{
    Fleet fleet(4);
    for (AttemptId attempt = 0; attempt < 5; ++attempt) {
        TaskRequest task = makeTask(attempt, TaskKind::Batch, 1000);
        REQUIRE(Utils::isOk(fleet.engine.adopt(task, { 2, task.declaredSize }, start)));
        fleet.engine.onEnded(attempt, AttemptOutcome::Failed, start);
    }
    REQUIRE(Utils::isOk(fleet.engine.place(makeTask(70, TaskKind::Batch, 1000), start + 31s, fleet.random)));
    fleet.engine.onEnded(70, AttemptOutcome::Interrupted, start + 32s);
    const auto probe = fleet.engine.place(makeTask(71, TaskKind::Batch, 1000), start + 40s, fleet.random);
    REQUIRE(Utils::isOk(probe));
    CHECK(Utils::value(probe).worker == 2);
}
