#include <emulatedday.h>

#include <catch2/catch.hpp>

using Emulate::Variant;

namespace {

std::size_t brokenDays(Variant variant, std::uint64_t days)
{
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= days; ++seed) {
        Emulate::DayPlan plan = Emulate::drawPlan(seed, false);
        plan.variant = variant;
        broken += Emulate::playDay(plan).broken.empty() ? 0 : 1;
    }
    return broken;
}

} // namespace

TEST_CASE("Days with kills, crashes, cuts, late orders and outages break no promise")
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        const Emulate::DayResult result = Emulate::playDay(Emulate::drawPlan(seed, false));
        INFO("seed " << seed << (result.broken.empty() ? "" : ": " + result.broken.front()));
        CHECK(result.broken.empty());
    }
}

TEST_CASE("Calm days serve nearly every job")
{
    std::size_t jobs = 0;
    std::size_t unfinished = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        const Emulate::DayResult result = Emulate::playDay(Emulate::drawPlan(seed, true));
        CHECK(result.broken.empty());
        jobs += result.jobs;
        unfinished += result.unfinished;
    }
    CHECK(jobs > 1000);
    CHECK(unfinished * 100 < jobs);
}

TEST_CASE("A day is the same every time")
{
    const auto first = Emulate::playDay(Emulate::drawPlan(42, false));
    const auto second = Emulate::playDay(Emulate::drawPlan(42, false));
    CHECK(first.starts == second.starts);
    CHECK(first.completed == second.completed);
}

TEST_CASE("Workers that obey former owners are noticed")
{
    CHECK(brokenDays(Variant::NoEpochs, 400) > 0);
}

TEST_CASE("A successor that does not wait for silent workers' leases is noticed")
{
    CHECK(brokenDays(Variant::NoLeaseWait, 400) > 0);
}
