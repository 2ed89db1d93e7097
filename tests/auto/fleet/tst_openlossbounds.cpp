// Waits of long-running tasks beyond the bound that tst_lossbounds holds the others to; see KNOWN-RED.txt.

#include "powerfixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace std::chrono_literals;
using namespace Testing;
using std::chrono::milliseconds;

namespace {

// 4.5 s until the worker's entry expires, 4 s that must be calm, and 3 s without a run.
constexpr milliseconds waitBound = 11500ms;

} // namespace

// Guards against the longest lease for starts that the lost owner may have sent to a worker lost with it.
TEST_CASE("Long-running tasks run within the bound if worker and owner are lost after their start was sent")
{
    PowerFixture former(8);
    former.submit("job", makeLatencyCriticalStep(8, 2000, "api"));
    former.scheduleAndCommit();
    REQUIRE(former.output.starts.size() == 8);
    former.running = former.output.starts;
    former.lose(former.busiestWorkers(2));
    PowerFixture successor(former, former.now);
    CHECK(successor.timeToRun(8) + takeoverTime.count() <= waitBound.count());
}

// Guards against a task whose only worker holds tasks that nothing moves, as short ones take the room
// elsewhere.
TEST_CASE("A long-running task that must not share a worker runs again within the bound beside short tasks")
{
    const bool hasShortTasks = GENERATE(false, true);
    PowerFixture fixture(5);
    const std::set<std::string> lost(fixture.workers.begin(), fixture.workers.end());
    for (std::size_t job = 0; job < 10; ++job)
        fixture.submit("job" + std::to_string(job), makeLatencyCriticalStep(1, 8000, "api"));
    fixture.advance(3s);
    for (std::size_t number = 0; number < 15; ++number)
        fixture.workers.push_back("n" + std::to_string(number));
    fixture.listWorkers();
    FleetSchema::StepSpec remaining = makeLatencyCriticalStep(15, 16'000, "api");
    remaining.set_max_per_worker(1);
    fixture.submit("remaining", remaining);
    fixture.advance(3s);
    REQUIRE(fixture.countLongRunning() == 25);
    fixture.keepsWaitingShortTasks = hasShortTasks;
    fixture.advance(6s);
    fixture.lose(lost);
    CAPTURE(hasShortTasks);
    CHECK(fixture.timeToRun(25) <= waitBound.count());
}
