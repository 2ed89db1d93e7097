#include <fleet/formerleases.h>
#include <fleet/storeclock.h>

#include <fleet.pb.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

constexpr Fleet::LeaseLimits limits { 12s, 10s };
const Utils::TimePoint start { 100s };

/*! An owner row written when the store's clock stood at 50 s, and an answer of the store at that time. */
struct RowFixture {
    RowFixture()
    {
        record.set_owner("node-1");
        record.set_epoch(3);
        record.set_store_ms(50'000);
        record.set_renewal_ms(12'000);
        record.set_lease_ms(5000);
        record.set_earlier_renewal_ms(0);
        clock.onAnswer(50'000, start, start);
    }

    Fleet::FormerLeases leasesAt(Utils::TimePoint now, bool isOwnerGone = false) const
    {
        return Fleet::findFormerLeases(record, isOwnerGone, clock, now, limits);
    }

    FleetSchema::ShardRecord record;
    Fleet::StoreClock clock;
};

} // namespace

TEST_CASE("The wait for a former owner's leases becomes shorter as its last transaction becomes older")
{
    RowFixture fixture;
    // 12 s and 5 s, each measured on a clock that may be 2% slow.
    CHECK(fixture.leasesAt(start).longestWait() == 17'340ms);
    CHECK(fixture.leasesAt(start + 10'200ms).longestWait() == 7340ms);
    CHECK(fixture.leasesAt(start + 17'345ms * 51 / 50).longestWait() <= 0ms);
    CHECK(fixture.leasesAt(start + 17'300ms * 51 / 50).longestWait() > 0ms);
    CHECK(fixture.leasesAt(start + 10'200ms).ageMs == 10'000);
}

TEST_CASE("An owner that renews no leases any more leaves only the lease to wait for")
{
    RowFixture fixture;
    CHECK(fixture.leasesAt(start, true).longestWait() == 5100ms);
    fixture.record.set_earlier_renewal_ms(4000);
    CHECK(fixture.leasesAt(start, true).longestWait() == 9100ms);
    CHECK(fixture.leasesAt(start + 1020ms, true).longestWait() == 8100ms);
    // The owner itself may renew for longer than the one before it.
    CHECK(fixture.leasesAt(start).longestWait() == 17'340ms);
}

TEST_CASE("Times that a row of an earlier version does not state are assumed to be the longest possible ones")
{
    RowFixture fixture;
    fixture.record.clear_store_ms();
    CHECK(fixture.leasesAt(start + 20s).renewal == 12'240ms);
    CHECK(fixture.leasesAt(start + 20s).ageMs == -1);
    fixture.record.clear_lease_ms();
    fixture.record.clear_renewal_ms();
    CHECK(fixture.leasesAt(start + 20s).longestWait() == 22'200ms);
    fixture.record.clear_earlier_renewal_ms();
    CHECK(fixture.leasesAt(start, true).longestWait() == 22'200ms);
}

TEST_CASE("A stated end of a lease counts from the transaction, not from the takeover")
{
    RowFixture fixture;
    (*fixture.record.mutable_lease_remaining_ms())["w"] = 3000;
    CHECK(fixture.leasesAt(start + 1020ms).ends.at("w") == start + 1020ms + 2s);
    CHECK(fixture.leasesAt(start + 20'400ms).ends.at("w") == start + 20'400ms - 17s);
    fixture.record.clear_store_ms();
    CHECK(fixture.leasesAt(start + 20s).ends.at("w") == start + 23s);
}

TEST_CASE("A shard that never had an owner leaves nothing to wait for")
{
    RowFixture fixture;
    fixture.record.Clear();
    CHECK(fixture.leasesAt(start).longestWait() == 0ms);
}

TEST_CASE("A store clock behind the row's time does not shorten the wait")
{
    RowFixture fixture;
    fixture.record.set_store_ms(60'000);
    CHECK(fixture.leasesAt(start + 5s).longestWait() == 17'340ms);
}

TEST_CASE("The bounds on the store's clock hold for a node's clock that is 2% slower or faster")
{
    Fleet::StoreClock clock;
    CHECK_FALSE(clock.isKnown());
    CHECK(clock.latestMs(start) == 0);
    // The answer took 200 ms; the store read its clock at some time in between.
    clock.onAnswer(50'000, start, start + 200ms);
    clock.onAnswer(0, start + 1s, start + 2s);
    CHECK(clock.earliestMs(start + 200ms + 10'200ms) == 60'000);
    CHECK(clock.latestMs(start + 10s) >= 60'200);
    CHECK(clock.latestMs(start + 10s) <= 60'201);
}
