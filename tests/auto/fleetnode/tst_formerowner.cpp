#include "shardhostfixture.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace Testing;

TEST_CASE("A successor counts the wait for a silent worker from the former owner's last transaction")
{
    HandoverFixture fixture;
    fixture.startStoreClock();
    fixture.settings.mutable_dispatch()->set_worker_lease_ms(300);
    fixture.settings.mutable_dispatch()->set_orphan_grace_ms(2000);
    fixture.releaseByFirstOwner();
    fixture.listSilentWorker();
    const Utils::TimePoint beforeTakeover = fixture.context.now();
    fixture.takeOver(100ms);
    REQUIRE(fixture.owner->isServing());
    fixture.loseOwner();
    std::this_thread::sleep_for(1s);
    fixture.takeOver(0ms);
    // Counted from the successor's takeover and with the longest lease, the wait would be 12.2 s.
    const auto startedAt = fixture.runUntilStart(6s);
    REQUIRE(startedAt);
    CHECK(*startedAt - beforeTakeover >= 2040ms + 306ms);
}

TEST_CASE("Without the store's clock a successor assumes that the former owner has just written")
{
    HandoverFixture fixture;
    fixture.settings.mutable_dispatch()->set_worker_lease_ms(300);
    fixture.settings.mutable_dispatch()->set_orphan_grace_ms(1000);
    fixture.releaseByFirstOwner();
    fixture.listSilentWorker();
    fixture.takeOver(100ms);
    fixture.loseOwner();
    std::this_thread::sleep_for(500ms);
    const Utils::TimePoint beforeTakeover = fixture.context.now();
    fixture.takeOver(0ms);
    const auto startedAt = fixture.runUntilStart(6s);
    REQUIRE(startedAt);
    CHECK(*startedAt - beforeTakeover >= 1020ms + 306ms);
}

TEST_CASE("A successor of an owner that crashed waits for a worker that had left only until its stated end")
{
    HandoverFixture fixture;
    fixture.startStoreClock();
    fixture.settings.mutable_dispatch()->set_worker_lease_ms(1500);
    fixture.releaseByFirstOwner();
    const Utils::TimePoint beforeTakeover = fixture.context.now();
    fixture.takeOver(200ms);
    REQUIRE(fixture.owner->isServing());
    fixture.loseOwner();
    fixture.takeOver(0ms);
    // The owner had found the worker neither listed nor answering. Leases of other workers may be renewed for
    // 12 s.
    const auto startedAt = fixture.runUntilStart(6s);
    REQUIRE(startedAt);
    CHECK(*startedAt - beforeTakeover >= 1530ms);
}

TEST_CASE("A successor starts a task whose end its former owner took in as soon as that one tells so")
{
    HandoverFixture fixture;
    fixture.startStoreClock();
    fixture.releaseByFirstOwner();
    fixture.listSilentWorker();
    fixture.takeOver(100ms);
    fixture.loseOwner();
    // The former owner cannot be reached at first. It may renew leases for 12 s, as far as the row tells.
    fixture.takeOver(1100ms);
    CHECK(fixture.calls.starts.empty());
    REQUIRE(fixture.others.inquiries.size() >= 2);
    CHECK(fixture.others.inquiries[0] == "node-1/shard/2");
    fixture.others.leaseReport.emplace().set_is_known(true);
    REQUIRE(fixture.runUntilStart(4s));
    const std::size_t inquiryCount = fixture.others.inquiries.size();
    fixture.run(700ms);
    CHECK(fixture.others.inquiries.size() == inquiryCount);
}

TEST_CASE("A successor waits for an attempt that its former owner reports as open, or does not know of")
{
    FleetSchema::LeaseReport running;
    running.set_is_known(true);
    (*running.mutable_remaining_ms())["unlisted"] = 60'000;
    FleetSchema::LeaseReport unknown;
    FleetSchema::LeaseReport restarted;
    restarted.set_has_process_ended(true);
    for (const FleetSchema::LeaseReport& report : { running, unknown, restarted }) {
        HandoverFixture fixture;
        fixture.startStoreClock();
        fixture.settings.mutable_dispatch()->set_worker_lease_ms(1500);
        fixture.settings.mutable_dispatch()->set_orphan_grace_ms(2000);
        fixture.releaseByFirstOwner();
        fixture.listSilentWorker();
        const Utils::TimePoint beforeFirst = fixture.context.now();
        fixture.takeOver(100ms);
        fixture.loseOwner();
        fixture.others.leaseReport = report;
        const Utils::TimePoint beforeSecond = fixture.context.now();
        fixture.takeOver(0ms);
        // Without an answer, the former owner may renew for 2.04 s after its last write.
        const auto startedAt = fixture.runUntilStart(report.has_process_ended() ? 3s : 8s);
        REQUIRE(startedAt);
        if (report.has_process_ended())
            CHECK(*startedAt - beforeSecond >= 1530ms);
        else
            CHECK(*startedAt - beforeFirst >= 2040ms + 1530ms);
    }
}
