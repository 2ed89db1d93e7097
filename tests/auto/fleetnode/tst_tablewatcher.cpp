#include "scriptedrowstore.h"

#include <fleetnode/tablewatcher.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace std::chrono_literals;
using FleetNode::TableWatcher;

namespace {

Ports::Row makeRow(const std::string& key, const std::string& partition = {})
{
    return { { "workers", partition, key }, "entry", 1, false };
}

struct WatcherFixture : Testing::NodeFixture {
    explicit WatcherFixture(Utils::Duration pause, TableWatcher::Mode mode = TableWatcher::Mode::Poll)
        : watcher(context, "workers", mode, pause,
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

TEST_CASE("A table is read page by page")
{
    WatcherFixture fixture(1h);
    fixture.store.pages = { { { makeRow(""), makeRow("a") }, true, 5 }, { { makeRow("b") }, false, 6 } };
    fixture.watcher.start();
    fixture.runReady();
    CHECK(fixture.reportedSizes == std::vector<std::size_t> { 3 });
    CHECK(fixture.store.readCount == 2);
}

TEST_CASE("A page that does not lead on fails the read, and the former rows stay valid")
{
    const std::vector<Ports::RowPage> invalidPages { { {}, true, 5 }, { { makeRow("a") }, true, 5 },
        { { makeRow("b") }, true, 5 }, { { makeRow("b"), makeRow("a") }, true, 5 } };
    for (const Ports::RowPage& invalidPage : invalidPages) {
        WatcherFixture fixture(1h);
        fixture.store.pages = { { { makeRow("a"), makeRow("b") }, true, 5 }, invalidPage };
        fixture.watcher.start();
        fixture.io.restart();
        fixture.io.run_for(50ms);
        CHECK(fixture.reportedSizes.empty());
        CHECK(fixture.store.readCount == 2);
    }
}

TEST_CASE("Changes of rows in other partitions are not taken for changes of the watched rows")
{
    WatcherFixture fixture(1ms, TableWatcher::Mode::Follow);
    fixture.add("a");
    Ports::Row foreignRemoval = makeRow("a", "other");
    foreignRemoval.isDeleted = true;
    fixture.store.changes
        = { { { makeRow("b", "other"), foreignRemoval }, false, 11 }, { { makeRow("c") }, false, 12 } };
    fixture.watcher.start();
    fixture.io.restart();
    fixture.io.run_for(50ms);
    CHECK(fixture.reportedSizes == std::vector<std::size_t> { 1, 2 });
}

TEST_CASE("Failing reads of a table are repeated after growing pauses")
{
    const auto mode = GENERATE(TableWatcher::Mode::Poll, TableWatcher::Mode::Follow);
    WatcherFixture fixture(1h, mode);
    fixture.store.failingReads = 1000;
    fixture.watcher.start();
    // The first repetition stays early, because most failures pass.
    fixture.io.run_for(300ms);
    CHECK(fixture.store.readCount == 2);
    fixture.io.run_for(3s);
    CHECK(fixture.store.readCount >= 4);
    CHECK(fixture.store.readCount <= 8);
}

TEST_CASE("The bytes and the time of a read are measured for each table")
{
    WatcherFixture fixture(1h);
    fixture.add("first");
    fixture.watcher.start();
    fixture.runReady();
    const std::string metrics = fixture.metrics.toPrometheus();
    CHECK(metrics.find("geraniumquay_table_read_bytes_total{table=\"workers\"} 10") != std::string::npos);
    CHECK(metrics.find("geraniumquay_table_read_milliseconds{table=\"workers\"") != std::string::npos);
}

TEST_CASE("The pauses between failing reads are short again after a read succeeded")
{
    WatcherFixture fixture(1h);
    fixture.store.failingReads = 4;
    fixture.watcher.start();
    while (fixture.reportedSizes.empty())
        fixture.io.run_one();
    fixture.store.failingReads = 1;
    fixture.watcher.pollNow();
    fixture.io.run_for(300ms);
    CHECK(fixture.reportedSizes.size() == 2);
}

// Guards against starts in a failure domain that was evacuated while the process was paused.
TEST_CASE("A copy counts as current from when it was asked for, however late the answer is handled")
{
    WatcherFixture fixture(1h, TableWatcher::Mode::Follow);
    Ports::RowPage change;
    change.version = 11;
    change.rows.push_back(makeRow("second"));
    fixture.store.changes.push_back(change);
    fixture.watcher.start();
    const Utils::TimePoint readSent = fixture.context.now();
    std::this_thread::sleep_for(20ms);
    fixture.io.restart();
    fixture.io.poll_one();
    CHECK(fixture.watcher.currentAt() <= readSent);
    const Utils::TimePoint followSent = fixture.context.now();
    std::this_thread::sleep_for(20ms);
    fixture.runReady();
    REQUIRE(fixture.reportedSizes.size() == 2);
    CHECK(fixture.watcher.currentAt() <= followSent);
    CHECK(fixture.watcher.currentAt() > readSent);
}

TEST_CASE("A copy is not current for longer than the call without a change waited")
{
    WatcherFixture fixture(0ms, TableWatcher::Mode::Follow);
    fixture.store.changes.push_back({});
    fixture.watcher.start();
    fixture.io.restart();
    fixture.io.poll_one();
    const Utils::TimePoint sentBefore = fixture.context.now();
    std::this_thread::sleep_for(2s);
    fixture.runReady();
    CHECK(fixture.watcher.currentAt() < sentBefore + 1900ms);
    CHECK(fixture.watcher.currentAt() > sentBefore + 1s);
}
