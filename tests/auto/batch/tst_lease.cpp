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

// What a clock of another rate shows.
Utils::TimePoint skewed(Utils::Duration elapsed, double rate)
{
    return origin
        + Utils::Duration(static_cast<Utils::Duration::rep>(static_cast<double>(elapsed.count()) * rate));
}

// An owner renews or does not, a watcher reads now and then; clocks differ by 1%.
bool takeoverWaits(std::uint64_t rowDurationMs)
{
    return rc::check("no takeover while the owner counts its lease as valid", [rowDurationMs] {
        Batch::ShardWatch watch;
        Utils::Duration elapsed {};
        Utils::TimePoint sentAt = origin;
        std::uint64_t version = 1;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1200))) {
            elapsed += std::chrono::milliseconds(step);
            const bool valid = skewed(elapsed, 0.99) - sentAt < lease;
            if (valid && step % 7 == 0) {
                sentAt = skewed(elapsed, 0.99);
                ++version;
            }
            Schema::Row row;
            Schema::ShardRow shard;
            shard.set_owner("a");
            shard.set_duration_ms(rowDurationMs);
            row.set_version(version);
            row.set_value(shard.SerializeAsString());
            if (step % 3 == 0)
                watch.observe(row, skewed(elapsed, 1.01));
            if (watch.version() == version && watch.mayTake(skewed(elapsed, 1.01)))
                RC_ASSERT(skewed(elapsed, 0.99) - sentAt >= lease);
        }
    });
}

// A table whose writes and answers are lost, repeated and late, and a writer that appends to one row.
class AppendWorld {
public:
    explicit AppendWorld(bool blind)
        : blind_(blind)
    {
    }

    void step(int choice)
    {
        now_ += 100ms;
        if (writer_.state() == Batch::FencedWriter::State::Idle)
            startNext();
        Batch::Actions actions;
        writer_.poll(now_, nextRead_, actions);
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
    int started() const { return started_; }

private:
    void startNext()
    {
        Schema::CommitRequest request;
        request.set_write_id("write-" + std::to_string(++writes_));
        const std::uint64_t version = Utils::value(table_.get("row")).version();
        auto* condition = request.add_conditions();
        condition->set_key("row");
        condition->set_version(version);
        auto* put = request.add_puts();
        put->set_key("row");
        put->set_value(text() + "," + std::to_string(++started_));
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
        const bool lost = choice % 2 == 0;
        // The unsound writer takes a lost answer for a write that was not done.
        if (lost && blind_) {
            writer_ = Batch::FencedWriter(1s, 100ms);
            --started_;
            return;
        }
        writer_.onCommit(request.write_id(), lost ? Batch::CommitOutcome::Unknown : outcome, reply.version());
    }

    bool blind_;
    Platform::MemoryTable table_;
    Batch::FencedWriter writer_ { 1s, 100ms };
    std::deque<Schema::CommitRequest> network_;
    Utils::TimePoint now_ = origin;
    std::uint64_t nextRead_ = 0;
    int started_ = 0;
    int writes_ = 0;
};

bool appendsOnce(bool blind)
{
    return rc::check("each write takes effect once and in order", [blind] {
        AppendWorld world(blind);
        for (const int choice : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)))
            world.step(choice);
        std::string whole;
        for (int number = 1; number <= world.started(); ++number)
            whole += "," + std::to_string(number);
        // The last write may be outstanding.
        const std::string withoutLast
            = whole.substr(0, whole.rfind(',') == std::string::npos ? 0 : whole.rfind(','));
        RC_ASSERT(world.text() == whole || world.text() == withoutLast);
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
    CHECK(takeoverWaits(3000));
    CHECK_FALSE(takeoverWaits(2000)); // A watcher that waits too short is caught.
}

TEST_CASE("Each write takes effect once, whatever is lost, late or repeated")
{
    CHECK(appendsOnce(false));
    CHECK_FALSE(appendsOnce(true));
}

TEST_CASE("A worker refuses lower epochs, late batches, old grants and other incarnations")
{
    Batch::WorkerCore core("w", "one");
    Batch::WorkerOrders orders;
    CHECK(core.onBatch(startBatch(5, 3, originMs), origin, orders).accepted());
    CHECK(orders.starts.size() == 1);
    CHECK_FALSE(core.onBatch(startBatch(5, 3, originMs), origin, orders).accepted());
    CHECK_FALSE(core.onBatch(startBatch(4, 9, originMs), origin, orders).accepted());
    CHECK_FALSE(core.onBatch(startBatch(5, 4, originMs), origin + 3s, orders).accepted());
    Schema::CommandBatch other = startBatch(5, 5, originMs + 3000);
    other.set_incarnation("two");
    CHECK_FALSE(core.onBatch(other, origin + 3s, orders).accepted());
    CHECK(core.onBatch(startBatch(6, 1, originMs + 3000), origin + 4s, orders).accepted());
    CHECK(orders.starts.size() == 1); // The attempt lapsed and is not started again.
}

TEST_CASE("A worker stops what its lease no longer covers and keeps the end until it is acknowledged")
{
    Batch::WorkerCore core("w", "one");
    Batch::WorkerOrders orders;
    core.onBatch(startBatch(1, 1, originMs), origin, orders);
    REQUIRE(core.nextLapse() == origin + 3s);
    core.tick(origin + 2999ms, orders);
    CHECK(orders.stops.empty());
    core.tick(origin + 3s, orders);
    REQUIRE(orders.stops.size() == 1);
    CHECK_FALSE(core.onEnded({ "job", 0, 1 }, Schema::ATTEMPT_SUCCEEDED, "", "", origin + 4s));
    Schema::CommandBatch batch = startBatch(1, 2, originMs + 4000);
    const Schema::WorkerReport report = core.onBatch(batch, origin + 4s, orders);
    REQUIRE(report.attempts_size() == 1);
    CHECK(report.attempts(0).state() == Schema::ATTEMPT_LAPSED);
    batch.set_sequence(3);
    batch.clear_starts();
    *batch.add_acknowledged() = Batch::attemptRef({ "job", 0, 1 });
    CHECK(core.onBatch(batch, origin + 4s, orders).attempts().empty());
}

TEST_CASE("The owner's bound on a worker's lease is never before the worker's")
{
    const auto holds = [](Utils::Duration assumedLease) {
        return rc::check("the bound covers the lease", [assumedLease] {
            Batch::WorkerCore core("w", "one");
            Batch::WorkerLink link({}, origin, assumedLease);
            Utils::Duration elapsed {};
            std::uint64_t sequence = 0;
            for (const int delay : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2500))) {
                Schema::CommandBatch batch = startBatch(1, 0, 0);
                batch.clear_incarnation();
                link.stamp(batch, ++sequence, assumedLease, skewed(elapsed, 1.01));
                batch.set_lease_ms(3000);
                elapsed += std::chrono::milliseconds(delay);
                Batch::WorkerOrders orders;
                const auto report = core.onBatch(batch, skewed(elapsed, 0.99), orders);
                // Far off until the worker has run something.
                const auto lapse = core.nextLapse();
                const double lapseReal = lapse ? static_cast<double>((*lapse - origin).count()) / 0.99 : 0;
                const auto atLapse = Utils::Duration(static_cast<Utils::Duration::rep>(lapseReal)) - 1ms;
                if (lapse)
                    RC_ASSERT(!link.surelyLapsed(skewed(atLapse, 1.01)));
                elapsed += std::chrono::milliseconds(delay % 700);
                if (delay % 4 != 0)
                    link.onReport(batch.sequence(), report, skewed(elapsed, 1.01));
            }
        });
    };
    CHECK(holds(3000ms));
    CHECK_FALSE(holds(2000ms));
}

TEST_CASE("An answer to a batch of an earlier ownership is dropped")
{
    Schema::WorkerReport report;
    report.set_incarnation("one");
    Batch::WorkerLink first({}, origin, 3s);
    Schema::CommandBatch early;
    first.stamp(early, 7, 3s, origin);
    Batch::WorkerLink second({}, origin, 3s);
    Schema::CommandBatch late;
    second.stamp(late, 9, 3s, origin + 5s);
    CHECK_FALSE(second.onReport(early.sequence(), report, origin + 6s));
    CHECK_FALSE(second.heard());
    CHECK(second.onReport(late.sequence(), report, origin + 6s));
}
