#include "fleetfixtures.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

/*! An owner with two workers, one of which runs a task. */
struct LeavingFixture : SchedulerFixture {
    LeavingFixture()
        : SchedulerFixture(2)
    {
        now += 60s;
        for (const std::string& worker : workers)
            report(worker, {});
        scheduler.submit(makeJob("job", { makeStep(1, 1000, 60'000) }), 1, now, testStartUnixMs);
        scheduleAndCommit();
        confirmStarts();
    }

    const std::string& busyWorker() const { return output.starts[0].worker; }

    /*! Replaces the list of workers. */
    void list(bool isBusyListed, bool isBusyDraining)
    {
        std::vector<Ports::WorkerInfo> infos;
        for (const std::string& worker : workers) {
            if (worker == busyWorker() && !isBusyListed)
                continue;
            infos.push_back(makeWorkerInfo(worker));
            infos.back().isDraining = worker == busyWorker() && isBusyDraining;
            infos.back().drainRemainingMs = 60'000;
        }
        scheduler.setWorkers(infos, now);
    }

    /*! Stores a transaction. \return the ends that it states. */
    Fleet::LeaseEnds storeStatement()
    {
        Fleet::LeaseEnds stated = scheduler.stateLeaseEnds(now);
        scheduler.onCommitted(now);
        return stated;
    }

    /*! Polls the busy worker, which answers. \return whether the poll renewed its lease. */
    bool poll()
    {
        const bool isRenewed = scheduler.planPoll(busyWorker(), now, true).leaseUntilMs != 0;
        Ports::WorkerReport answer;
        answer.running.push_back({ output.starts[0].task, 1, {}, 10, 1000 });
        report(busyWorker(), answer);
        return isRenewed;
    }

    Utils::TimePoint leaseEnd() const { return scheduler.leaseEnds().at(output.starts[0].worker); }
};

} // namespace

TEST_CASE("Ends of leases are stated only for workers that leave or have left")
{
    LeavingFixture fixture;
    REQUIRE(fixture.poll());
    CHECK_FALSE(fixture.scheduler.isLeaseStatementDue(fixture.now));
    CHECK(fixture.storeStatement().empty());
    fixture.scheduler.onPollFailed(fixture.busyWorker());
    fixture.scheduler.onPollFailed(fixture.busyWorker());
    // Silent, but listed.
    CHECK(fixture.storeStatement().empty());
    fixture.list(false, false);
    CHECK(fixture.scheduler.isLeaseStatementDue(fixture.now));
    CHECK(fixture.storeStatement() == Fleet::LeaseEnds { { fixture.busyWorker(), fixture.leaseEnd() } });
    CHECK_FALSE(fixture.scheduler.isLeaseStatementDue(fixture.now));
    fixture.list(true, false);
    CHECK(fixture.scheduler.isLeaseStatementDue(fixture.now));
    CHECK(fixture.storeStatement().empty());
}

TEST_CASE("The lease of a draining worker is not renewed beyond the stated end while the store is away")
{
    LeavingFixture fixture;
    REQUIRE(fixture.poll());
    fixture.list(true, true);
    const Fleet::LeaseEnds stated = fixture.storeStatement();
    REQUIRE(stated.size() == 1);
    const Utils::TimePoint end = stated.at(fixture.busyWorker());
    CHECK(end <= fixture.now + 7600ms);
    Utils::TimePoint renewedAt {};
    const Utils::TimePoint storedAt = fixture.now;
    while (fixture.now < storedAt + 12s) {
        fixture.now += 400ms;
        if (fixture.poll())
            renewedAt = fixture.now;
        REQUIRE(fixture.leaseEnd() <= end);
    }
    // Leases go on between transactions that are 2 s apart.
    CHECK(renewedAt >= storedAt + 2s);
    // A transaction that is not stored yet allows no more.
    fixture.scheduler.stateLeaseEnds(fixture.now);
    CHECK_FALSE(fixture.poll());
    fixture.scheduler.onCommitted(fixture.now);
    CHECK(fixture.poll());
}

TEST_CASE(
    "A worker that answers again is given no lease beyond the stated end until a transaction states none")
{
    LeavingFixture fixture;
    REQUIRE(fixture.poll());
    fixture.scheduler.onPollFailed(fixture.busyWorker());
    fixture.scheduler.onPollFailed(fixture.busyWorker());
    fixture.list(false, false);
    const Fleet::LeaseEnds stated = fixture.storeStatement();
    fixture.list(true, false);
    fixture.now += 1s;
    CHECK_FALSE(fixture.poll());
    CHECK_FALSE(fixture.poll());
    CHECK(fixture.leaseEnd() == stated.at(fixture.busyWorker()));
    CHECK(fixture.storeStatement().empty());
    CHECK(fixture.poll());
}

TEST_CASE("A start that was recorded is not sent to a worker for which the same transaction states an end")
{
    LeavingFixture fixture;
    REQUIRE(fixture.poll());
    const std::string worker = fixture.busyWorker();
    fixture.scheduler.submit(makeJob("wide", { makeStep(40, 1000, 500) }), 2, fixture.now, testStartUnixMs);
    fixture.scheduler.schedule(fixture.now, testStartUnixMs);
    // The worker is lost sight of between the decision and the transaction, and is back during it.
    fixture.scheduler.onPollFailed(worker);
    fixture.scheduler.onPollFailed(worker);
    fixture.list(false, false);
    REQUIRE(fixture.scheduler.stateLeaseEnds(fixture.now).contains(worker));
    REQUIRE(fixture.scheduler.beginCommit(testStartUnixMs));
    const Utils::TimePoint end = fixture.leaseEnd();
    fixture.list(true, false);
    fixture.now += 3s;
    fixture.poll();
    fixture.scheduler.onCommitted(fixture.now);
    for (std::size_t number = 1; number < fixture.output.starts.size(); ++number)
        CHECK(fixture.output.starts[number].worker != worker);
    CHECK(fixture.leaseEnd() == end);
}
