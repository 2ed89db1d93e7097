#include "shardhostfixture.h"

#include <fleetnode/evacuationrequests.h>

#include <catch2/catch.hpp>

using namespace Testing;

namespace {

using std::chrono::milliseconds;

struct RequestsFixture : NodeFixture {
    RequestsFixture()
    {
        settings.mutable_dispatch()->set_evacuation_ms(5000);
        platform.evacuationKeyPrefix = "evacuate/";
    }

    void update(const std::vector<std::string>& keys)
    {
        FleetNode::TableWatcher::Rows rows;
        for (const std::string& key : keys)
            rows[key] = { { "op", {}, key }, "{}", 1, false };
        requests.update(rows);
    }

    FleetNode::EvacuationRequests requests { context };
};

FleetSchema::JobSpec makeShortJob(const std::string& id)
{
    FleetSchema::JobSpec spec;
    spec.set_id(id);
    spec.set_service("service");
    spec.add_steps()->set_count(1);
    spec.mutable_steps(0)->set_estimate_ms(500);
    return spec;
}

} // namespace

TEST_CASE("Rows under the prefix name the evacuated domains, and other rows do not")
{
    RequestsFixture fixture;
    fixture.update({ "config", "evacuate/a", "evacuate/b", "evacuated", "wave/1" });
    CHECK(fixture.requests.domains() == std::set<std::string> { "a", "b" });
    fixture.update({ "config", "evacuate/b" });
    CHECK(fixture.requests.domains() == std::set<std::string> { "b" });
}

TEST_CASE("Without the setting, an operator's row has no effect and starts never wait for a read")
{
    RequestsFixture fixture;
    fixture.settings.mutable_dispatch()->set_evacuation_ms(0);
    fixture.update({ "evacuate/a" });
    CHECK(fixture.requests.domains().empty());
    CHECK(fixture.requests.knownUntil({}) == Utils::TimePoint::max());
}

TEST_CASE("Starts may not rely on rows that were never read or were read too long ago")
{
    const RequestsFixture fixture;
    CHECK(fixture.requests.knownUntil({}) == Utils::TimePoint::min());
    const Utils::TimePoint readAt = fixture.context.now();
    CHECK(fixture.requests.knownUntil(readAt) > readAt);
    CHECK(fixture.requests.knownUntil(readAt) < readAt + milliseconds(5000));
}

TEST_CASE(
    "An owner starts nothing once the operator's rows are too old, and goes on when they are read again")
{
    HandoverFixture fixture;
    fixture.takeOver(milliseconds(50));
    REQUIRE(fixture.owner->isServing());
    fixture.owner->setEvacuated(false, fixture.context.now());
    fixture.run(milliseconds(20));
    fixture.owner->submit(makeShortJob("new"), [](const Fleet::JobAnswer&) {});
    fixture.run(milliseconds(200));
    CHECK(fixture.calls.starts.empty());
    fixture.owner->setEvacuated(false, fixture.context.now() + std::chrono::hours(1));
    fixture.run(milliseconds(400));
    CHECK(fixture.calls.starts.size() == 1);
}

TEST_CASE("A successor that learns of the evacuation only after the takeover starts nothing before")
{
    HandoverFixture fixture;
    fixture.takeOver(milliseconds(0));
    fixture.owner->setEvacuated(false, Utils::TimePoint::min());
    fixture.run(milliseconds(50));
    fixture.owner->submit(makeShortJob("new"), [](const Fleet::JobAnswer&) {});
    fixture.run(milliseconds(100));
    fixture.owner->setEvacuated(true, fixture.context.now() + std::chrono::hours(1));
    fixture.run(milliseconds(200));
    CHECK(fixture.calls.starts.empty());
    CHECK(fixture.owner->isEvacuated());
}
