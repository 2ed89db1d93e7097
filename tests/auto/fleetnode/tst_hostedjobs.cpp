// A new owner of a host shard whose jobs belong to a shard that has no owner.

#include "shardhostfixture.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

struct HostFixture : SuccessorFixture {
    HostFixture()
    {
        FleetSchema::JobRecord record;
        record.ParseFromString(store.rows[hostedJob].value);
        record.clear_tasks();
        record.add_tasks()->set_transfer(1);
        storeJob(originalJob, record);
        record.set_origin_shard("origin");
        storeJob(hostedJob, record);
    }

    void setOriginalState(FleetSchema::JobState state)
    {
        FleetSchema::JobRecord record;
        record.ParseFromString(store.rows[originalJob].value);
        record.set_state(state);
        storeJob(originalJob, record);
    }

    // Lets the host take the shard over and act for 1.2 s, in which no owner of another shard answers.
    void act()
    {
        takeOver();
        for (int round = 0; round < 45; ++round) {
            io.restart();
            io.poll();
            host.tick();
            std::this_thread::sleep_for(20ms);
        }
    }

    const Ports::RowKey hostedJob { FleetNode::jobTable, "shard", "job" };
    const Ports::RowKey originalJob { FleetNode::jobTable, "origin", "job" };

private:
    void storeJob(const Ports::RowKey& name, const FleetSchema::JobRecord& record)
    {
        store.rows[name] = { name, record.SerializeAsString(), 1, false };
    }
};

} // namespace

// Guards against starts of a job whose cancellation was acknowledged by an owner that was lost then.
TEST_CASE("A hosted task is started only if the stored job of its origin shard is active")
{
    HostFixture fixture;
    SECTION("it is active")
    {
        fixture.act();
        CHECK(fixture.calls.starts.size() == 1);
    }
    SECTION("it was cancelled")
    {
        fixture.setOriginalState(FleetSchema::JOB_CANCELLED);
        fixture.act();
        CHECK(fixture.calls.starts.empty());
        CHECK(fixture.host.state("job") == FleetSchema::JOB_CANCELLED);
    }
    SECTION("it was removed after its end")
    {
        fixture.store.rows.erase(fixture.originalJob);
        fixture.act();
        CHECK(fixture.calls.starts.empty());
    }
}
