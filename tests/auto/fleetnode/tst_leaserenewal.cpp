#include <fleet/formerleases.h>
#include <fleetnode/leaserenewal.h>

#include <settings.pb.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

Schema::DispatchSettings makeSettings(std::uint32_t finishMs, std::uint32_t leaseMs, std::uint32_t stopMs)
{
    Schema::DispatchSettings settings;
    settings.set_finish_ms(finishMs);
    settings.set_worker_lease_ms(leaseMs);
    settings.set_worker_lease_limit_ms(10'000);
    settings.set_orphan_grace_ms(12'000);
    settings.set_contact_ms(4000);
    settings.set_worker_expiry_ms(4500);
    settings.set_stop_ms(stopMs);
    return settings;
}

// Returns how long a successor waits after the last write of an owner that was lost right after it, until the
// workers have ended what they ran.
Utils::Duration longestWait(const Schema::DispatchSettings& settings)
{
    const Fleet::FormerLeases leases { FleetNode::renewalTime(settings) * 51 / 50,
        std::chrono::milliseconds(settings.worker_lease_ms()), {} };
    return leases.longestWait() + std::chrono::milliseconds(settings.stop_ms());
}

} // namespace

TEST_CASE("Tasks of a lost owner start again before a job may be without a run for too long")
{
    for (const std::uint32_t finishMs : { 8000U, 12'000U, 14'000U }) {
        for (const std::uint32_t leaseMs : { 2000U, 5000U, 6000U }) {
            for (const std::uint32_t stopMs : { 200U, 400U }) {
                const Schema::DispatchSettings settings = makeSettings(finishMs, leaseMs, stopMs);
                CAPTURE(finishMs, leaseMs, stopMs);
                CHECK(longestWait(settings) + FleetNode::restartTime
                    <= std::chrono::milliseconds(finishMs) + 3s);
                CHECK(FleetNode::renewalTime(settings) > 2s);
            }
        }
    }
}

// Guards against tasks that wait for 16 s because their worker was lost at the same time as its owner.
TEST_CASE("Long-running tasks of workers that are lost with their owner start again in time")
{
    // The loss ends when the worker's entry expires. From 4 s after that on, tasks may wait for 3 s.
    constexpr Utils::Duration limit = 4500ms + 4s + 3s;
    for (const std::uint32_t leaseMs : { 2000U, 5000U, 6000U }) {
        for (const std::uint32_t stopMs : { 200U, 400U }) {
            const Schema::DispatchSettings settings = makeSettings(14'000, leaseMs, stopMs);
            CAPTURE(leaseMs, stopMs);
            CHECK(longestWait(settings) + FleetNode::restartTime <= limit);
            CHECK(longestWait(settings) + FleetNode::restartTime > limit - 100ms);
        }
    }
}

TEST_CASE("An owner may send starts for as long as the longest lease after them is over in time")
{
    const Schema::DispatchSettings settings = makeSettings(14'000, 5000, 400);
    const Utils::Duration end = FleetNode::startTime(settings) + 10'200ms + 400ms + FleetNode::restartTime;
    CHECK(end <= 17s);
    CHECK(end > 16'500ms);
}

TEST_CASE("An owner renews leases for as long as its successors may wait, and no longer than is set")
{
    Schema::DispatchSettings settings = makeSettings(8000, 5000, 400);
    CHECK(longestWait(settings) + FleetNode::restartTime > 10'900ms);
    settings.set_orphan_grace_ms(2000);
    CHECK(FleetNode::renewalTime(settings) == 2s);
    settings.set_finish_ms(1000);
    CHECK(FleetNode::renewalTime(settings) == 0s);
}
