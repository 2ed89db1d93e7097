#include <scenario.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using Emulate::ProtocolVariant;

namespace {

std::size_t countViolatedScenarios(ProtocolVariant variant, std::uint64_t scenarioCount)
{
    std::size_t violated = 0;
    for (std::uint64_t seed = 1; seed <= scenarioCount; ++seed) {
        Emulate::Scenario scenario = Emulate::randomScenario(seed, false);
        scenario.variant = variant;
        violated += Emulate::runScenario(scenario).violations.empty() ? 0 : 1;
    }
    return violated;
}

// Returns the number of scenarios with crashing workers and shrinking capacities in which a rule whose name
// starts with \p rule is violated.
std::size_t countViolatedScenariosWithCrashes(bool hasDeadlyTasks, std::uint64_t scenarioCount,
    const std::string& rule, bool crashesBeforeAnswer = false)
{
    std::size_t violated = 0;
    for (std::uint64_t seed = 1; seed <= scenarioCount; ++seed) {
        Emulate::Scenario scenario = Emulate::randomScenario(seed, false);
        Emulate::addWorkerDisturbances(scenario);
        scenario.hasDeadlyTasks = hasDeadlyTasks;
        scenario.crashesBeforeAnswer = crashesBeforeAnswer;
        const Emulate::ScenarioResult result = Emulate::runScenario(scenario);
        violated += std::any_of(result.violations.begin(), result.violations.end(),
                        [&](const std::string& violation) { return violation.starts_with(rule); })
            ? 1
            : 0;
    }
    return violated;
}

} // namespace

TEST_CASE("Scenarios with kills, crashes, partitions, delayed commands and outages violate no invariant")
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        const Emulate::ScenarioResult result = Emulate::runScenario(Emulate::randomScenario(seed, false));
        INFO("seed " << seed << (result.violations.empty() ? "" : ": " + result.violations.front()));
        CHECK(result.violations.empty());
    }
}

TEST_CASE("A task that crashes each worker that starts it is given up")
{
    CHECK(countViolatedScenariosWithCrashes(true, 60, "started three times more") == 0);
}

// Guards against starts without end of a task that never lets a worker answer.
TEST_CASE("A task that crashes each worker before the answer to its start is given up, and no other one")
{
    CHECK(countViolatedScenariosWithCrashes(true, 60, "started three times more", true) == 0);
    CHECK(countViolatedScenariosWithCrashes(true, 60, "failed without cause", true) == 0);
}

TEST_CASE("No start is beyond a capacity that has shrunk")
{
    CHECK(countViolatedScenariosWithCrashes(false, 100, "started beyond the capacity") == 0);
}

TEST_CASE("No job fails without cause when many workers crash for other reasons")
{
    CHECK(countViolatedScenariosWithCrashes(false, 100, "failed without cause") == 0);
    CHECK(countViolatedScenariosWithCrashes(false, 100, "runs twice") == 0);
}

TEST_CASE("Scenarios without faults complete nearly every job")
{
    std::size_t jobs = 0;
    std::size_t unfinished = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        const Emulate::ScenarioResult result = Emulate::runScenario(Emulate::randomScenario(seed, true));
        CHECK(result.violations.empty());
        jobs += result.jobs;
        unfinished += result.unfinished;
    }
    CHECK(jobs > 1000);
    CHECK(unfinished * 100 < jobs);
}

TEST_CASE("A scenario is deterministic")
{
    const auto first = Emulate::runScenario(Emulate::randomScenario(42, false));
    const auto second = Emulate::runScenario(Emulate::randomScenario(42, false));
    CHECK(first.starts == second.starts);
    CHECK(first.completed == second.completed);
}

TEST_CASE("The invariant checker detects workers that obey former owners")
{
    CHECK(countViolatedScenarios(ProtocolVariant::NoEpochFencing, 400) > 0);
}

TEST_CASE("The invariant checker detects a successor that does not wait for leases of unresponsive workers")
{
    CHECK(countViolatedScenarios(ProtocolVariant::NoLeaseWait, 400) > 0);
}
