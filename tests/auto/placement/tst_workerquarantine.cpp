#include <placement/workerquarantine.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Placement::WorkerQuarantine;

namespace {

const Utils::TimePoint start { 100s };

void quarantineWorker(WorkerQuarantine& quarantine, Placement::WorkerIndex worker)
{
    for (int failure = 0; failure < 5; ++failure)
        quarantine.onFailure(worker, "job" + std::to_string(worker), start);
}

} // namespace

TEST_CASE("A worker is quarantined after five consecutive failures, not before")
{
    WorkerQuarantine quarantine;
    quarantine.setWorkerCount(50);
    for (int failure = 0; failure < 4; ++failure)
        CHECK_FALSE(quarantine.onFailure(7, "job", start));
    CHECK(quarantine.onFailure(7, "job", start));
    CHECK(quarantine.isQuarantined(7));
}

TEST_CASE("A job that fails on every worker quarantines none")
{
    WorkerQuarantine quarantine;
    quarantine.setWorkerCount(50);
    for (int round = 0; round < 20; ++round) {
        for (Placement::WorkerIndex worker = 0; worker < 50; ++worker)
            quarantine.onFailure(worker, "broken", start);
    }
    CHECK(quarantine.quarantinedCount() == 0);
}

TEST_CASE("Probes start after a growing delay and their outcome decides")
{
    WorkerQuarantine quarantine;
    quarantine.setWorkerCount(50);
    quarantineWorker(quarantine, 7);
    CHECK(quarantine.workersDueForProbe(start + 29s).empty());
    REQUIRE(quarantine.workersDueForProbe(start + 30s).size() == 1);
    quarantine.onProbeStarted(7);
    CHECK(quarantine.workersDueForProbe(start + 40s).empty());
    quarantine.onFailure(7, "probe", start + 40s);
    CHECK(quarantine.workersDueForProbe(start + 99s).empty());
    REQUIRE(quarantine.workersDueForProbe(start + 100s).size() == 1);
    quarantine.onProbeStarted(7);
    quarantine.onSuccess(7, "probe");
    CHECK_FALSE(quarantine.isQuarantined(7));
}

TEST_CASE("No more than a tenth of the workers is quarantined at the same time")
{
    WorkerQuarantine quarantine;
    quarantine.setWorkerCount(50);
    for (Placement::WorkerIndex worker = 0; worker < 20; ++worker)
        quarantineWorker(quarantine, worker);
    CHECK(quarantine.quarantinedCount() == 5);
}
