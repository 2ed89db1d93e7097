#include "scriptedrowstore.h"

#include <fleetnode/tablewatcher.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using FleetNode::TableWatcher;

namespace {

struct WatcherFixture : Testing::NodeFixture {
    explicit WatcherFixture(Utils::Duration pause)
        : watcher(context, "workers", TableWatcher::Mode::Poll, pause,
            [this](const TableWatcher::Rows& rows) { reportedSizes.push_back(rows.size()); })
    {
    }

    void add(const std::string& key)
    {
        const Ports::RowKey name { "workers", {}, key };
        store.rows[name] = { name, "entry", 1, false };
    }

    /*! Runs the handlers that are ready without waiting for timers. */
    void runReady()
    {
        io.restart();
        io.poll();
    }

    TableWatcher watcher;
    std::vector<std::size_t> reportedSizes; //!< Number of rows at each call of onChange.
};

} // namespace

TEST_CASE("pollNow() reads a polled table at once")
{
    WatcherFixture fixture(1h);
    fixture.add("first");
    fixture.watcher.start();
    fixture.runReady();
    REQUIRE(fixture.reportedSizes == std::vector<std::size_t> { 1 });
    fixture.add("second");
    fixture.runReady();
    REQUIRE(fixture.reportedSizes.size() == 1);
    fixture.watcher.pollNow();
    fixture.runReady();
    CHECK(fixture.reportedSizes == std::vector<std::size_t> { 1, 2 });
}

TEST_CASE("pollNow() during a read does not start another one")
{
    WatcherFixture fixture(1h);
    fixture.watcher.start();
    fixture.watcher.pollNow();
    fixture.runReady();
    CHECK(fixture.reportedSizes.size() == 1);
}

TEST_CASE("setPause() applies from the next read on")
{
    WatcherFixture fixture(1h);
    fixture.watcher.setPause(1ms);
    fixture.watcher.start();
    fixture.io.restart();
    while (fixture.reportedSizes.size() < 3)
        fixture.io.run_one();
    CHECK(fixture.reportedSizes.size() == 3);
}
