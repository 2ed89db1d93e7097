#include "transferfixture.h"

using namespace std::chrono_literals;
using Testing::makeJob;
using Testing::makeStep;
using Testing::SchedulerFixture;
using Testing::testStartUnixMs;
using Testing::TransferFixture;

// Otherwise no call of a shard whose transactions take longer than a call may last is ever answered.
TEST_CASE("A repeated delegation or result is answered without a new transaction while others are stored")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.advance(3s);
    SchedulerFixture& host = fixture.host;
    host.scheduler.submit(makeJob("other", { makeStep(1, 1000, 500) }), 700, host.now, testStartUnixMs);
    REQUIRE(host.scheduler.beginCommit(testStartUnixMs));
    host.scheduler.acceptDelegatedTask(fixture.origin.output.delegations[0], 701, host.now);
    CHECK(host.output.answers.back().first == 701);
    host.scheduler.onCommitted(host.now);

    host.finishAll(Ports::AttemptOutcome::Done);
    fixture.advance(1s);
    SchedulerFixture& origin = fixture.origin;
    origin.scheduler.submit(makeJob("other", { makeStep(1, 1000, 500) }), 702, origin.now, testStartUnixMs);
    REQUIRE(origin.scheduler.beginCommit(testStartUnixMs));
    origin.scheduler.acceptTaskResult(host.output.results[0].second, 703, origin.now, testStartUnixMs);
    CHECK(origin.output.answers.back().first == 703);
}

TEST_CASE("A call repeated while its own transaction is in progress is answered with that transaction")
{
    TransferFixture fixture({ makeStep(1, 1000, 500) });
    fixture.origin.now += 3s;
    fixture.origin.scheduler.onTick(fixture.origin.now, testStartUnixMs);
    fixture.origin.scheduleAndCommit();
    REQUIRE(fixture.origin.output.delegations.size() == 1);
    SchedulerFixture& host = fixture.host;
    host.scheduler.acceptDelegatedTask(fixture.origin.output.delegations[0], 704, host.now);
    REQUIRE(host.scheduler.beginCommit(testStartUnixMs));
    host.scheduler.acceptDelegatedTask(fixture.origin.output.delegations[0], 705, host.now);
    CHECK(host.output.answers.empty());
    host.scheduler.onCommitted(host.now);
    REQUIRE(host.output.answers.size() == 2);
    CHECK(host.output.answers[1].first == 705);
}
