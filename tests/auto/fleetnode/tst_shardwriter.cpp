#include "scriptedrowstore.h"

#include <fleetnode/shardwriter.h>

#include <fleet/fencingtokens.h>

#include <catch2/catch.hpp>

using CommitBehavior = Testing::ScriptedRowStore::CommitBehavior;

namespace {

struct WriterFixture : Testing::NodeFixture {
    WriterFixture()
        : writer(context, "shard", [this] { isLost = true; })
    {
        writer.takeOver({}, 0, {}, {}, [] {});
        run();
    }

    void run()
    {
        io.restart();
        io.run();
    }

    bool write(const std::string& job, const std::string& value)
    {
        bool isDone = false;
        Fleet::RecordBatch batch;
        batch.puts.push_back({ job, value });
        writer.write(batch, false, [&] { isDone = true; });
        run();
        return isDone;
    }

    std::string jobRow(const std::string& job)
    {
        return store.rows[{ FleetNode::jobTable, "shard", job }].value;
    }

    FleetSchema::ShardRecord ownerRow()
    {
        FleetSchema::ShardRecord record;
        record.ParseFromString(
            store.rows[{ FleetNode::shardTable, "shard", FleetNode::shardOwnerKey }].value);
        return record;
    }

    bool isLost = false;
    FleetNode::ShardWriter writer;
};

} // namespace

TEST_CASE("A takeover raises the epoch, and rows are written under the new epoch")
{
    WriterFixture fixture;
    CHECK(fixture.writer.epoch() == Fleet::nextEpoch(0));
    CHECK(fixture.write("a", "1"));
    CHECK(fixture.jobRow("a") == "1");
    CHECK_FALSE(fixture.isLost);
}

TEST_CASE("The owner row states a time of renewal after which tasks can start again within 3 s of finish_ms")
{
    WriterFixture fixture;
    Schema::DispatchSettings& dispatch = *fixture.settings.mutable_dispatch();
    dispatch.set_worker_lease_ms(5000);
    dispatch.set_worker_lease_limit_ms(10'000);
    dispatch.set_orphan_grace_ms(12'000);
    REQUIRE(fixture.write("a", "1"));
    // Both times pass on clocks that may be 2% slow. A second is for the start.
    const FleetSchema::ShardRecord row = fixture.ownerRow();
    CHECK((row.renewal_ms() + row.lease_ms()) * 51 / 50 + 1000 <= dispatch.finish_ms() + 3000);
    CHECK(row.renewal_ms() > 2000);
}

TEST_CASE("A transaction whose answer was lost is applied exactly once")
{
    WriterFixture fixture;
    fixture.store.commitBehaviors = { CommitBehavior::LoseReply };
    CHECK(fixture.write("a", "1"));
    fixture.store.commitBehaviors = { CommitBehavior::LoseRequest, CommitBehavior::Refuse };
    CHECK(fixture.write("a", "2"));
    CHECK(fixture.write("a", "3"));
    CHECK(fixture.jobRow("a") == "3");
    CHECK_FALSE(fixture.isLost);
}

TEST_CASE("A delayed copy of a transaction does not undo later ones")
{
    WriterFixture fixture;
    const auto before = fixture.store.rows;
    CHECK(fixture.write("a", "1"));
    Ports::Transaction late;
    late.conditions.push_back({ { FleetNode::shardTable, "shard", FleetNode::shardOwnerKey },
        before.at({ FleetNode::shardTable, "shard", FleetNode::shardOwnerKey }).version });
    late.puts.push_back({ { FleetNode::jobTable, "shard", "a" }, "old" });
    fixture.store.commit(late, [](const auto&) {});
    fixture.run();
    CHECK(fixture.jobRow("a") == "1");
}

TEST_CASE("A replaced owner notices the takeover at its next transaction and writes nothing")
{
    WriterFixture fixture;
    FleetSchema::ShardRecord taken;
    taken.set_owner("node-2");
    taken.set_epoch(Fleet::nextEpoch(fixture.writer.epoch()));
    Ports::Row& row = fixture.store.rows[{ FleetNode::shardTable, "shard", FleetNode::shardOwnerKey }];
    row.value = taken.SerializeAsString();
    ++row.version;
    CHECK_FALSE(fixture.write("a", "1"));
    CHECK(fixture.isLost);
    CHECK(fixture.jobRow("a").empty());
}

TEST_CASE("The owner row states the rest of the leases that are passed with its transaction, rounded up")
{
    WriterFixture fixture;
    const auto ownerRow = [&] { return fixture.ownerRow(); };
    const Utils::TimePoint now = fixture.context.now();
    const Fleet::LeaseEnds ends { { "past", now - std::chrono::seconds(1) },
        { "w", now + std::chrono::seconds(60) + std::chrono::microseconds(1) } };
    REQUIRE(fixture.write("a", "1"));
    CHECK(ownerRow().lease_remaining_ms().empty());
    fixture.writer.write({}, false, [] {}, { { "v", now + std::chrono::seconds(30) } });
    fixture.run();
    REQUIRE(ownerRow().lease_remaining_ms().size() == 1);
    CHECK(ownerRow().lease_remaining_ms().at("v") <= 30'000);
    CHECK(ownerRow().lease_remaining_ms().at("v") > 29'000);
    REQUIRE(fixture.write("a", "2"));
    CHECK(ownerRow().lease_remaining_ms().empty());
    // The answer is lost, so the transaction is sent again later; its times must not be shorter then.
    fixture.store.commitBehaviors = { CommitBehavior::LoseRequest };
    fixture.writer.write(
        {}, true, [] {}, ends);
    const auto writing = std::chrono::ceil<std::chrono::milliseconds>(fixture.context.now() - now);
    fixture.run();
    const FleetSchema::ShardRecord released = ownerRow();
    CHECK(released.owner().empty());
    REQUIRE(released.lease_remaining_ms().size() == 2);
    CHECK(released.lease_remaining_ms().at("past") == 0);
    CHECK(released.lease_remaining_ms().at("w") <= 60'001);
    CHECK(released.lease_remaining_ms().at("w") >= 60'001 - writing.count());

    FleetNode::ShardWriter successor(fixture.context, "shard", [] {});
    const auto& row = fixture.store.rows[{ FleetNode::shardTable, "shard", FleetNode::shardOwnerKey }];
    successor.takeOver(released, row.version, {}, {}, [] {});
    fixture.run();
    CHECK(ownerRow().owner() == "node-1");
    CHECK(ownerRow().lease_remaining_ms().empty());
}

TEST_CASE("The owner row states a time of the store's clock that is not before the transaction was sent")
{
    WriterFixture fixture;
    std::int64_t storeMs = 5'000'000;
    fixture.store.clockMs = [&] { return storeMs; };
    REQUIRE(fixture.write("a", "1"));
    CHECK_FALSE(fixture.ownerRow().has_store_ms());
    REQUIRE(fixture.write("a", "2"));
    CHECK(fixture.ownerRow().store_ms() >= 5'000'000);
    CHECK(fixture.ownerRow().store_ms() < 5'001'000);
    storeMs = 5'600'000;
    REQUIRE(fixture.write("a", "3"));
    REQUIRE(fixture.write("a", "4"));
    CHECK(fixture.ownerRow().store_ms() >= 5'600'000);
}

TEST_CASE("An owner whose answer was lost counts its right to renew leases from the first copy sent")
{
    WriterFixture fixture;
    REQUIRE(fixture.write("a", "1"));
    // The first copy is applied; a later one finds it in the store.
    fixture.store.commitBehaviors = { CommitBehavior::LoseReply, CommitBehavior::Refuse };
    const Utils::TimePoint before = fixture.context.now();
    bool isDone = false;
    fixture.writer.write({}, false, [&] { isDone = true; });
    const Utils::TimePoint afterFirstCopy = fixture.context.now();
    fixture.run();
    REQUIRE(isDone);
    CHECK(fixture.writer.confirmedAt() >= before);
    CHECK(fixture.writer.confirmedAt() <= afterFirstCopy);
}

namespace {

/*! Clock that stands still, except that the process is frozen for 5 s before one of the readings. */
class FreezingClock final : public Utils::Clock {
public:
    Utils::TimePoint now() const override
    {
        if (readingsToFreeze >= 0 && readingsToFreeze-- == 0)
            time += std::chrono::seconds(5);
        return time;
    }

    mutable Utils::TimePoint time { std::chrono::seconds(1000) };
    mutable int readingsToFreeze = -1; //!< -1: no freeze.
};

} // namespace

TEST_CASE("An owner that is frozen while it sends a transaction renews leases no longer than its row states")
{
    for (const CommitBehavior behavior : { CommitBehavior::Answer, CommitBehavior::LoseReply }) {
        for (int reading = 0; reading < 8; ++reading) {
            Testing::NodeFixture node;
            FreezingClock clock;
            FleetNode::NodeContext context { node.io, clock, node.store, node.platform, node.settings,
                node.metrics, 77 };
            const auto storeMsAt = [](Utils::TimePoint time) {
                return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
            };
            node.store.clockMs = [&] { return storeMsAt(clock.time); };
            FleetNode::ShardWriter writer(context, "shard", [] {});
            const auto run = [&] {
                node.io.restart();
                node.io.run();
            };
            writer.takeOver({}, 0, {}, {}, [] {});
            run();
            node.store.commitBehaviors = { behavior };
            clock.readingsToFreeze = reading;
            bool isDone = false;
            writer.write({}, false, [&] { isDone = true; });
            run();
            REQUIRE(isDone);
            FleetSchema::ShardRecord row;
            row.ParseFromString(
                node.store.rows[{ FleetNode::shardTable, "shard", FleetNode::shardOwnerKey }].value);
            INFO("freeze before reading " << reading
                                          << ", answer lost: " << (behavior == CommitBehavior::LoseReply));
            CHECK(storeMsAt(writer.confirmedAt()) <= static_cast<std::int64_t>(row.store_ms()));
        }
    }
}
