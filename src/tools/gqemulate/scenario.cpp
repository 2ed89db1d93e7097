#include "scenario.h"

#include "emulatedshard.h"

#include <algorithm>
#include <random>

namespace Emulate {

namespace {

constexpr std::int64_t scenarioDurationMs = 40'000;
constexpr std::int64_t submissionEndMs = 18'000;
constexpr std::int64_t tickMs = 10;
constexpr std::size_t workerCount = 6;

} // namespace

Scenario randomScenario(std::uint64_t seed, bool withoutFaults)
{
    Scenario scenario;
    scenario.seed = seed;
    if (withoutFaults)
        return scenario;
    std::mt19937_64 random(seed);
    const std::size_t count = 2 + random() % 6;
    for (std::size_t number = 0; number < count; ++number) {
        Fault fault;
        fault.kind = static_cast<FaultKind>(random() % 7);
        fault.startMs = static_cast<std::int64_t>(500 + random() % 18'000);
        fault.durationMs = static_cast<std::int64_t>(300 + random() % 6'000);
        fault.worker = random() % workerCount;
        scenario.faults.push_back(fault);
    }
    return scenario;
}

void addWorkerDisturbances(Scenario& scenario)
{
    std::mt19937_64 random(scenario.seed * 15'485'863 + 11);
    scenario.hasWorkerDisturbances = true;
    scenario.hasDeadlyTasks = true;
    const std::size_t count = 2 + random() % 5;
    for (std::size_t number = 0; number < count; ++number) {
        Fault fault;
        fault.kind = random() % 3 == 0 ? FaultKind::WorkerCrashes : FaultKind::CapacityShrink;
        fault.startMs = static_cast<std::int64_t>(500 + random() % 20'000);
        fault.durationMs = static_cast<std::int64_t>(1000 + random() % 9000);
        fault.worker = random() % workerCount;
        fault.count = 1 + random() % workerCount;
        fault.capacityPercent = static_cast<int>(10 + random() % 70);
        scenario.faults.push_back(fault);
    }
    // Capacities that shrink while the owner can read no list of the workers.
    Fault outage;
    outage.kind = FaultKind::StoreDown;
    outage.startMs = static_cast<std::int64_t>(2000 + random() % 14'000);
    outage.durationMs = static_cast<std::int64_t>(3000 + random() % 9000);
    scenario.faults.push_back(outage);
    Fault shrink = outage;
    shrink.kind = FaultKind::CapacityShrink;
    shrink.startMs += static_cast<std::int64_t>(random() % 2000);
    shrink.durationMs += static_cast<std::int64_t>(random() % 9000);
    shrink.count = workerCount;
    shrink.capacityPercent = static_cast<int>(10 + random() % 50);
    scenario.faults.push_back(shrink);
}

ScenarioResult runScenario(const Scenario& scenario)
{
    EmulatedShard shard(scenario, workerCount, submissionEndMs);
    for (std::int64_t nowMs = 0; nowMs < scenarioDurationMs; nowMs += tickMs)
        shard.advance(nowMs);
    return shard.result();
}

Scenario minimizeScenario(Scenario scenario)
{
    for (std::size_t position = 0; position < scenario.faults.size();) {
        Scenario reduced = scenario;
        reduced.faults.erase(reduced.faults.begin() + static_cast<std::ptrdiff_t>(position));
        if (runScenario(reduced).violations.empty())
            ++position;
        else
            scenario = reduced;
    }
    return scenario;
}

std::string describe(const Fault& fault)
{
    static constexpr const char* names[]
        = { "owner killed", "worker crashes", "worker cut off", "worker fails everything", "worker slow",
              "orders carried out late", "store down", "workers crash", "capacities shrink" };
    return std::string(names[static_cast<std::size_t>(fault.kind)]) + " at " + std::to_string(fault.startMs)
        + " ms for " + std::to_string(fault.durationMs) + " ms (worker " + std::to_string(fault.worker)
        + ", count " + std::to_string(fault.count) + ", capacity " + std::to_string(fault.capacityPercent)
        + "%)";
}

} // namespace Emulate
