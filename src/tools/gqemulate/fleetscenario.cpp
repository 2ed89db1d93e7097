#include "fleetscenario.h"

#include "emulatedfleet.h"

#include <array>
#include <random>

namespace Emulate {

namespace {

constexpr std::int64_t faultEndMs = 68'000;
constexpr std::int64_t tickMs = 10;

/*! How often a kind of fault occurs, and for how long. */
struct FaultProfile {
    FleetFaultKind kind;
    int weight;
    std::int64_t minMs;
    std::int64_t maxMs;
};

constexpr std::array<FaultProfile, 11> profiles { {
    { FleetFaultKind::NodeKill, 3, 500, 6000 },
    { FleetFaultKind::NodeFreeze, 2, 500, 8000 },
    { FleetFaultKind::ShardRelease, 2, 100, 200 },
    { FleetFaultKind::StoreOutage, 2, 500, 9000 },
    { FleetFaultKind::CallLoss, 2, 500, 6000 },
    { FleetFaultKind::Replacement, 8, 100, 200 },
    { FleetFaultKind::ShardLoss, 2, 9000, 22'000 },
    { FleetFaultKind::EntryLapse, 3, 500, 9000 },
    { FleetFaultKind::WorkerCrash, 2, 300, 6000 },
    { FleetFaultKind::WorkerUnreachable, 2, 300, 7000 },
    { FleetFaultKind::WorkerFailing, 1, 300, 6000 },
} };

constexpr FaultProfile replacement = profiles[5];
constexpr FaultProfile shardLoss = profiles[6];
constexpr FaultProfile storeDown { FleetFaultKind::StoreDown, 1, 3000, 12'000 };
constexpr FaultProfile workerCrashes { FleetFaultKind::WorkerCrashes, 1, 300, 4000 };
constexpr FaultProfile workersCutOff { FleetFaultKind::WorkersCutOff, 1, 2500, 9000 };
constexpr FaultProfile workersRestart { FleetFaultKind::WorkersRestart, 1, 5000, 12'000 };
constexpr FaultProfile workersFailing { FleetFaultKind::WorkersFailing, 1, 1000, 9000 };
constexpr FaultProfile lateWorkersFailing { FleetFaultKind::WorkersFailing, 1, 3000, 12'000 };
constexpr FaultProfile capacityShrink { FleetFaultKind::CapacityShrink, 1, 2000, 20'000 };

const FaultProfile& randomProfile(std::mt19937_64& random)
{
    int total = 0;
    for (const FaultProfile& profile : profiles)
        total += profile.weight;
    int draw = static_cast<int>(random() % static_cast<std::uint64_t>(total));
    const FaultProfile* chosen = profiles.data();
    while (draw >= chosen->weight)
        draw -= (chosen++)->weight;
    return *chosen;
}

FleetFault randomFault(const FaultProfile& profile, std::mt19937_64& random)
{
    FleetFault fault;
    fault.kind = profile.kind;
    fault.durationMs = profile.minMs
        + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(profile.maxMs - profile.minMs));
    fault.startMs = static_cast<std::int64_t>(
        2500 + random() % static_cast<std::uint64_t>(faultEndMs - 2500 - fault.durationMs));
    fault.target = random() % 60;
    fault.count = fault.kind == FleetFaultKind::ShardLoss ? 8 : 1 + random() % 5;
    return fault;
}

} // namespace

FleetScenario randomFleetScenario(std::uint64_t seed, FaultMix mix)
{
    FleetScenario scenario;
    scenario.seed = seed;
    if (mix == FaultMix::None)
        return scenario;
    std::mt19937_64 random(seed * 104'729 + 5);
    if (mix == FaultMix::Waves) {
        const std::size_t waves = 8 + random() % 8;
        for (std::size_t number = 0; number < waves; ++number)
            scenario.faults.push_back(randomFault(number % 4 == 0 ? shardLoss : replacement, random));
        return scenario;
    }
    const std::size_t count = 4 + random() % 9;
    for (std::size_t number = 0; number < count; ++number)
        scenario.faults.push_back(randomFault(randomProfile(random), random));
    return scenario;
}

void addWorkerDisturbances(FleetScenario& scenario)
{
    std::mt19937_64 random(scenario.seed * 15'485'863 + 7);
    scenario.hasWorkerDisturbances = true;
    scenario.hasDeadlyTasks = true;
    // A single worker, a third of a shard, and all of a rack.
    constexpr std::array<std::size_t, 3> crashSizes { 1, 3, 8 };
    const std::size_t crashes = 1 + random() % 4;
    for (std::size_t number = 0; number < crashes; ++number) {
        FleetFault fault = randomFault(workerCrashes, random);
        fault.count = crashSizes[random() % crashSizes.size()];
        scenario.faults.push_back(fault);
    }
    const std::size_t shrinks = 2 + random() % 6;
    for (std::size_t number = 0; number < shrinks; ++number) {
        FleetFault fault = randomFault(capacityShrink, random);
        fault.count = 1 + random() % 8;
        fault.capacityPercent = static_cast<int>(10 + random() % 70);
        scenario.faults.push_back(fault);
    }
    // Capacities that shrink while no owner can read the list of the workers.
    const FleetFault outage = randomFault(storeDown, random);
    scenario.faults.push_back(outage);
    FleetFault shrink = randomFault(capacityShrink, random);
    shrink.startMs = outage.startMs + static_cast<std::int64_t>(random() % 2000);
    shrink.durationMs = outage.durationMs + static_cast<std::int64_t>(random() % 9000);
    shrink.count = 8;
    shrink.capacityPercent = static_cast<int>(10 + random() % 50);
    scenario.faults.push_back(shrink);
}

void addWorkerCuts(FleetScenario& scenario)
{
    std::mt19937_64 random(scenario.seed * 49'979'687 + 17);
    const std::size_t cuts = 3 + random() % 6;
    for (std::size_t number = 0; number < cuts; ++number)
        scenario.faults.push_back(randomFault(workersCutOff, random));
}

void addWorkerRestarts(FleetScenario& scenario)
{
    std::mt19937_64 random(scenario.seed * 67'867'967 + 29);
    const auto draw = [&random](std::int64_t minMs, std::int64_t maxMs) {
        return minMs + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(maxMs - minMs));
    };
    const std::size_t restarts = 4 + random() % 4;
    for (std::size_t number = 0; number < restarts; ++number) {
        FleetFault fault = randomFault(workersRestart, random);
        fault.count = 2 + random() % 7;
        fault.downMs = draw(20, 700);
        fault.cutDelayMs = random() % 2 == 0 ? draw(10, 400) : draw(400, 2500);
        fault.losesAnswersOnly = random() % 3 == 0;
        scenario.faults.push_back(fault);
        if (random() % 2 == 0)
            continue;
        // Without other faults, the node of a shard's number owns it.
        FleetFault kill;
        kill.startMs = fault.startMs + fault.downMs + draw(0, fault.cutDelayMs + 800);
        kill.durationMs = draw(300, 3000);
        kill.target = fault.target % scenario.shardCount;
        scenario.faults.push_back(kill);
    }
}

void addEvacuations(FleetScenario& scenario)
{
    constexpr std::array companions { FleetFaultKind::NodeKill, FleetFaultKind::NodeFreeze,
        FleetFaultKind::StoreOutage, FleetFaultKind::StoreDown, FleetFaultKind::ShardRelease };
    std::mt19937_64 random(scenario.seed * 49'979'687 + 31);
    const auto draw = [&random](std::int64_t minMs, std::int64_t maxMs) {
        return minMs + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(maxMs - minMs));
    };
    scenario.hasEvacuations = true;
    const std::size_t count = 2 + random() % 3;
    for (std::size_t number = 0; number < count; ++number) {
        FleetFault fault;
        fault.kind = FleetFaultKind::Evacuation;
        fault.startMs = draw(4000, fleetSubmissionEndMs);
        fault.durationMs = random() % 4 == 0 ? draw(50, 1500) : draw(6000, 16'000);
        fault.target = random();
        scenario.faults.push_back(fault);
        if (random() % 4 == 0) {
            fault.target += 1;
            fault.startMs += draw(0, 3000);
            scenario.faults.push_back(fault);
        }
        if (random() % 2 == 0)
            continue;
        // Without other faults, the node of a shard's number owns it.
        FleetFault companion;
        companion.kind = companions[random() % companions.size()];
        companion.startMs = fault.startMs + draw(-1500, 4000);
        companion.durationMs = draw(300, 5000);
        companion.target = fault.target % scenario.shardCount;
        scenario.faults.push_back(companion);
    }
}

void drawConnections(FleetScenario& scenario)
{
    constexpr std::array kinds { ConnectionKind::EndWithAnswer, ConnectionKind::Outlive, ConnectionKind::Held,
        ConnectionKind::Late };
    scenario.connections = kinds[scenario.seed % kinds.size()];
}

void addWorkerFailures(FleetScenario& scenario)
{
    std::mt19937_64 random(scenario.seed * 86'028'121 + 23);
    scenario.hasHopelessTasks = true;
    constexpr std::array<int, 5> workerShares { 30, 60, 90, 100, 100 };
    const std::size_t count = 1 + random() % 3;
    for (std::size_t number = 0; number <= count; ++number) {
        FleetFault fault = randomFault(number == 0 ? lateWorkersFailing : workersFailing, random);
        // The first one lasts until no more jobs are handed in.
        if (number == 0)
            fault.startMs = fleetSubmissionEndMs - fault.durationMs / 2;
        fault.workerPercent = workerShares[random() % workerShares.size()];
        fault.failurePercent = static_cast<int>(50 + random() % 51);
        scenario.faults.push_back(fault);
    }
}

FleetScenario ownerLossScenario(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 32'452'843 + 11);
    const auto draw = [&random](std::int64_t minMs, std::int64_t maxMs) {
        return minMs + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(maxMs - minMs));
    };
    FleetScenario scenario;
    scenario.seed = seed;
    scenario.hasSilentDepartures = true;
    // Without other faults, the node of this number owns the shard of this number.
    const std::size_t shard = random() % 3;
    const std::int64_t startMs = draw(25'000, 35'000);
    const std::int64_t outageMs = draw(8000, 13'000);
    scenario.faults.push_back({ FleetFaultKind::StoreDown, startMs, outageMs, 0, 1, 100 });
    scenario.faults.push_back(
        { FleetFaultKind::Replacement, startMs - draw(0, 3000), 100, shard, 3 + random() % 3, 100 });
    scenario.faults.push_back({ FleetFaultKind::Replacement, startMs + draw(0, 4000), 100, shard, 3, 100 });
    if (seed % 2 == 0) {
        const std::int64_t killMs = startMs + draw(1000, outageMs - 500);
        scenario.faults.push_back(
            { FleetFaultKind::NodeKill, killMs, startMs + outageMs + 3500 - killMs, shard, 1, 100 });
    } else {
        scenario.faults.push_back({ FleetFaultKind::StoreOutage, startMs + outageMs, 3500, shard, 1, 100 });
    }
    return scenario;
}

FleetScenario statedLeaseScenario(std::uint64_t seed)
{
    FleetScenario scenario;
    scenario.seed = seed;
    constexpr std::int64_t startMs = 30'000;
    constexpr std::size_t worker = 3; // Of shard 0, which node 0 owns.
    scenario.faults.push_back({ FleetFaultKind::EntryLapse, startMs, 20'000, worker, 1, 100 });
    scenario.faults.push_back({ FleetFaultKind::WorkerUnreachable, startMs + 100, 1400, worker, 1, 100 });
    scenario.faults.push_back({ FleetFaultKind::StoreDown, startMs + 1400, 5600, 0, 1, 100 });
    scenario.faults.push_back({ FleetFaultKind::WorkerUnreachable, startMs + 6500, 9000, worker, 1, 100 });
    scenario.faults.push_back({ FleetFaultKind::NodeKill, startMs + 6600, 6000, 0, 1, 100 });
    return scenario;
}

FleetResult runFleetScenario(const FleetScenario& scenario)
{
    EmulatedFleet fleet(scenario);
    for (std::int64_t nowMs = tickMs; nowMs < scenario.dayMs; nowMs += tickMs)
        fleet.advance(nowMs);
    fleet.checkEnd();
    return fleet.result();
}

FleetScenario minimizeFleetScenario(FleetScenario scenario)
{
    scenario.traceJob.clear();
    for (std::size_t position = 0; position < scenario.faults.size();) {
        FleetScenario reduced = scenario;
        reduced.faults.erase(reduced.faults.begin() + static_cast<std::ptrdiff_t>(position));
        if (runFleetScenario(reduced).violations.empty())
            ++position;
        else
            scenario = reduced;
    }
    return scenario;
}

std::string describe(const FleetFault& fault)
{
    static constexpr const char* names[] = { "node killed", "owner's node frozen", "shard released",
        "node cut off from the store", "calls between nodes lost", "workers replaced",
        "shard without workers", "worker's entry absent", "worker crashes", "worker cut off",
        "worker fails everything", "store down", "workers crash", "capacities shrink",
        "workers cut off with refusals", "workers fail what they start", "workers leave", "domain evacuated",
        "workers restart and are cut off", "workers lost for good", "owner's node lost for good" };
    return std::string(names[static_cast<std::size_t>(fault.kind)]) + " at " + std::to_string(fault.startMs)
        + " ms for " + std::to_string(fault.durationMs) + " ms (target " + std::to_string(fault.target)
        + ", count " + std::to_string(fault.count) + ", capacity " + std::to_string(fault.capacityPercent)
        + "%, workers " + std::to_string(fault.workerPercent) + "%, failures "
        + std::to_string(fault.failurePercent) + "%)";
}

} // namespace Emulate
