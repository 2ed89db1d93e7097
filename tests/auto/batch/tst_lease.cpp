#include "propertyparameters.h"

#include <batch/fencedwriter.h>
#include <batch/shardwatch.h>
#include <batch/workercore.h>
#include <batch/workerlink.h>
#include <platform/memorytable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>

using namespace std::chrono_literals;

namespace {

const bool parametersSet = Testing::setPropertyParameters("seed=23 max_success=300 max_size=200");

constexpr auto lease = 3000ms;
const Utils::TimePoint origin { 1000s };

// Returns the reading of a clock that runs at the given rate.
Utils::TimePoint clockReading(Utils::Duration elapsed, double rate)
{
    return origin
        + Utils::Duration(static_cast<Utils::Duration::rep>(static_cast<double>(elapsed.count()) * rate));
}

// An owner renews its lease and a watcher reads the row at random times. The owner's clock is 1% slow, the
// watcher's 1% fast.
bool takeoverWaitsForLease(std::uint64_t rowDurationMs)
{
    return rc::check("no takeover while the owner counts its lease as valid", [rowDurationMs] {
        Batch::ShardWatch watch;
        Utils::Duration elapsed {};
        Utils::TimePoint sentAt = origin;
        std::uint64_t version = 1;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1200))) {
            elapsed += std::chrono::milliseconds(step);
            const bool valid = clockReading(elapsed, 0.99) - sentAt < lease;
            if (valid && step % 7 == 0) {
                sentAt = clockReading(elapsed, 0.99);
                ++version;
            }
            Schema::Row row;
            Schema::ShardRow shard;
            shard.set_owner("a");
            shard.set_duration_ms(rowDurationMs);
            row.set_version(version);
            row.set_value(shard.SerializeAsString());
            if (step % 3 == 0)
                watch.observe(row, clockReading(elapsed, 1.01));
            if (watch.version() == version && watch.canTakeOver(clockReading(elapsed, 1.01)))
                RC_ASSERT(clockReading(elapsed, 0.99) - sentAt >= lease);
        }
    });
}

// A writer that appends to one row of a table while writes and answers are lost, repeated and delayed.
class AppendSimulation {
public:
    explicit AppendSimulation(bool assumeFailure)
        : assumeFailure_(assumeFailure)
    {
    }

    void step(int choice)
    {
        now_ += 100ms;
        if (writer_.state() == Batch::FencedWriter::State::Idle)
            startNext();
        Batch::Actions actions;
        writer_.poll(now_, nextReadId_, actions);
        for (const Batch::CommitAction& action : actions.commits)
            network_.push_back(action.request);
        for (const Batch::ReadAction& action : actions.reads) {
            const Schema::Row row = Utils::value(table_.get(action.key));
            writer_.onRow(action.id, choice % 5 == 0 ? nullptr : &row);
        }
        if (!network_.empty() && choice % 3 != 0)
            deliver(choice);
    }

    std::string text() { return Utils::value(table_.get("row")).value(); }
    int startedCount() const { return startedCount_; }

private:
    void startNext()
    {
        Schema::CommitRequest request;
        request.set_write_id("write-" + std::to_string(++writeCount_));
        const std::uint64_t version = Utils::value(table_.get("row")).version();
        auto* condition = request.add_conditions();
        condition->set_key("row");
        condition->set_version(version);
        auto* put = request.add_puts();
        put->set_key("row");
        put->set_value(text() + "," + std::to_string(++startedCount_));
        writer_.start(request, version, now_);
    }

    void deliver(int choice)
    {
        const Schema::CommitRequest request = network_.front();
        if (choice % 4 != 0)
            network_.pop_front();
        const Schema::CommitReply reply = Utils::value(table_.commit(request));
        const auto outcome
            = reply.committed() ? Batch::CommitOutcome::Committed : Batch::CommitOutcome::Conflict;
        const bool answerLost = choice % 2 == 0;
        // The incorrect writer assumes that a write without an answer had no effect.
        if (answerLost && assumeFailure_) {
            writer_ = Batch::FencedWriter(1s, 100ms);
            --startedCount_;
            return;
        }
        writer_.onCommit(
            request.write_id(), answerLost ? Batch::CommitOutcome::Unknown : outcome, reply.version());
    }

    bool assumeFailure_;
    Platform::MemoryTable table_;
    Batch::FencedWriter writer_ { 1s, 100ms };
    std::deque<Schema::CommitRequest> network_;
    Utils::TimePoint now_ = origin;
    std::uint64_t nextReadId_ = 0;
    int startedCount_ = 0;
    int writeCount_ = 0;
};

bool appendsExactlyOnce(bool assumeFailure)
{
    return rc::check("each write takes effect once and in order", [assumeFailure] {
        AppendSimulation simulation(assumeFailure);
        for (const int choice : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)))
            simulation.step(choice);
        std::string expected;
        for (int number = 1; number <= simulation.startedCount(); ++number)
            expected += "," + std::to_string(number);
        // The last write may still be outstanding, so the text may lack it.
        const std::string withoutLast
            = expected.substr(0, expected.rfind(',') == std::string::npos ? 0 : expected.rfind(','));
        RC_ASSERT(simulation.text() == expected || simulation.text() == withoutLast);
    });
}

Schema::CommandBatch startBatch(std::uint64_t epoch, std::uint64_t sequence, std::int64_t grantedMs)
{
    Schema::CommandBatch batch;
    batch.set_shard("s");
    batch.set_epoch(epoch);
    batch.set_sequence(sequence);
    batch.set_lease_ms(3000);
    batch.set_incarnation("one");
    batch.set_granted_from_ms(grantedMs);
    Schema::StartCommand* start = batch.add_starts();
    *start->mutable_attempt() = Batch::attemptRef({ "job", 0, 1 });
    return batch;
}

constexpr std::int64_t originMs = 1'000'000;

} // namespace

TEST_CASE("No takeover while the owner counts its lease as valid")
{
    CHECK(takeoverWaitsForLease(3000));
    CHECK_FALSE(takeoverWaitsForLease(2000)); // The check detects a watcher that does not wait long enough.
}

TEST_CASE("Each write takes effect exactly once despite lost, delayed and repeated messages")
{
    CHECK(appendsExactlyOnce(false));
    CHECK_FALSE(appendsExactlyOnce(true));
}

TEST_CASE("A worker refuses lower epochs, late batches, lapsed leases and other incarnations")
{
    Batch::WorkerCore core("w", "one");
    Batch::RunnerCommands commands;
    CHECK(core.onBatch(startBatch(5, 3, originMs), origin, commands).accepted());
    CHECK(commands.starts.size() == 1);
    CHECK_FALSE(core.onBatch(startBatch(5, 3, originMs), origin, commands).accepted());
    CHECK_FALSE(core.onBatch(startBatch(4, 9, originMs), origin, commands).accepted());
    CHECK_FALSE(core.onBatch(startBatch(5, 4, originMs), origin + 3s, commands).accepted());
    Schema::CommandBatch other = startBatch(5, 5, originMs + 3000);
    other.set_incarnation("two");
    CHECK_FALSE(core.onBatch(other, origin + 3s, commands).accepted());
    CHECK(core.onBatch(startBatch(6, 1, originMs + 3000), origin + 4s, commands).accepted());
    CHECK(commands.starts.size() == 1); // The attempt has lapsed and is not started again.
}

TEST_CASE("A worker stops attempts when their lease lapses and reports the ends until they are acknowledged")
{
    Batch::WorkerCore core("w", "one");
    Batch::RunnerCommands commands;
    core.onBatch(startBatch(1, 1, originMs), origin, commands);
    REQUIRE(core.nextLeaseEnd() == origin + 3s);
    core.tick(origin + 2999ms, commands);
    CHECK(commands.stops.empty());
    core.tick(origin + 3s, commands);
    REQUIRE(commands.stops.size() == 1);
    CHECK_FALSE(core.onAttemptEnded({ "job", 0, 1 }, Schema::ATTEMPT_SUCCEEDED, "", "", origin + 4s));
    Schema::CommandBatch batch = startBatch(1, 2, originMs + 4000);
    const Schema::WorkerReport report = core.onBatch(batch, origin + 4s, commands);
    REQUIRE(report.attempts_size() == 1);
    CHECK(report.attempts(0).state() == Schema::ATTEMPT_LAPSED);
    batch.set_sequence(3);
    batch.clear_starts();
    *batch.add_acknowledged() = Batch::attemptRef({ "job", 0, 1 });
    CHECK(core.onBatch(batch, origin + 4s, commands).attempts().empty());
}

TEST_CASE("The owner never assumes that a lease has lapsed before the worker does")
{
    const auto boundHolds = [](Utils::Duration assumedLease) {
        return rc::check("the bound covers the lease", [assumedLease] {
            Batch::WorkerCore core("w", "one");
            Batch::WorkerLink link({}, origin, assumedLease);
            Utils::Duration elapsed {};
            std::uint64_t sequence = 0;
            for (const int delay : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2500))) {
                Schema::CommandBatch batch = startBatch(1, 0, 0);
                batch.clear_incarnation();
                link.stamp(batch, ++sequence, assumedLease, clockReading(elapsed, 1.01));
                batch.set_lease_ms(3000);
                elapsed += std::chrono::milliseconds(delay);
                Batch::RunnerCommands commands;
                const auto report = core.onBatch(batch, clockReading(elapsed, 0.99), commands);
                // There is no lease end while no attempt runs at the worker.
                const auto leaseEnd = core.nextLeaseEnd();
                const double leaseEndElapsed
                    = leaseEnd ? static_cast<double>((*leaseEnd - origin).count()) / 0.99 : 0;
                const auto beforeLeaseEnd
                    = Utils::Duration(static_cast<Utils::Duration::rep>(leaseEndElapsed)) - 1ms;
                if (leaseEnd)
                    RC_ASSERT(!link.allLeasesLapsed(clockReading(beforeLeaseEnd, 1.01)));
                elapsed += std::chrono::milliseconds(delay % 700);
                if (delay % 4 != 0)
                    link.onReport(batch.sequence(), report, clockReading(elapsed, 1.01));
            }
        });
    };
    CHECK(boundHolds(3000ms));
    CHECK_FALSE(boundHolds(2000ms));
}

TEST_CASE("An answer to a batch of an earlier ownership is ignored")
{
    Schema::WorkerReport report;
    report.set_incarnation("one");
    Batch::WorkerLink earlierLink({}, origin, 3s);
    Schema::CommandBatch earlierBatch;
    earlierLink.stamp(earlierBatch, 7, 3s, origin);
    Batch::WorkerLink currentLink({}, origin, 3s);
    Schema::CommandBatch currentBatch;
    currentLink.stamp(currentBatch, 9, 3s, origin + 5s);
    CHECK_FALSE(currentLink.onReport(earlierBatch.sequence(), report, origin + 6s));
    CHECK_FALSE(currentLink.hasReported());
    CHECK(currentLink.onReport(currentBatch.sequence(), report, origin + 6s));
}
