// Workers that lose power for good, while the connections to them stay open and their entries are still
// listed.

#include "fleetfixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

// A long-running task must run again this long after its last run if workers have room for it.
constexpr Utils::Duration waitBound = 9s;
constexpr Utils::Duration tickInterval = 100ms;
// A poll that waits at a worker fails this long after the loss at the latest, and each further one after a
// pause and its timeout.
constexpr Utils::Duration longestPoll = 2200ms;
constexpr Utils::Duration pollRetry = 950ms;
constexpr Utils::Duration commandTimeout = 700ms;

/*! A shard whose workers answer until they lose power. */
struct LossFixture : SchedulerFixture {
    using SchedulerFixture::SchedulerFixture;

    void lose(const std::set<std::string>& names)
    {
        for (const std::string& worker : names)
            nextPollFailures_[worker] = now + longestPoll;
        std::erase_if(running, [&](const Fleet::AttemptStart& run) { return names.contains(run.worker); });
    }

    void advance(Utils::Duration duration)
    {
        for (const Utils::TimePoint end = now + duration; now < end;) {
            now += tickInterval;
            for (const std::string& worker : workers)
                pollWorker(worker);
            failStarts();
            scheduler.onTick(now, testStartUnixMs);
            scheduleAndCommit();
            answerStarts();
        }
    }

    /*! \return the workers with the most attempts. */
    std::set<std::string> busiestWorkers(std::size_t count) const
    {
        std::map<std::string, std::size_t> counts;
        for (const Fleet::AttemptStart& run : running)
            ++counts[run.worker];
        return first(count,
            [&](const std::string& left, const std::string& right) { return counts[left] > counts[right]; });
    }

    /*! \return the workers with the fewest attempts, which the next tasks are given to. */
    std::set<std::string> idlestWorkers(std::size_t count) const
    {
        std::map<std::string, std::size_t> counts;
        for (const Fleet::AttemptStart& run : running)
            ++counts[run.worker];
        return first(count,
            [&](const std::string& left, const std::string& right) { return counts[left] < counts[right]; });
    }

private:
    template <typename Order> std::set<std::string> first(std::size_t count, Order order) const
    {
        std::vector<std::string> sorted;
        std::copy_if(workers.begin(), workers.end(), std::back_inserter(sorted),
            [this](const std::string& worker) { return !nextPollFailures_.contains(worker); });
        std::stable_sort(sorted.begin(), sorted.end(), order);
        return { sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count) };
    }

    void pollWorker(const std::string& worker)
    {
        if (const auto lost = nextPollFailures_.find(worker); lost != nextPollFailures_.end()) {
            if (now >= lost->second) {
                scheduler.onPollFailed(worker);
                lost->second = now + pollRetry;
            }
            return;
        }
        Ports::WorkerReport content;
        for (const Fleet::AttemptStart& run : running) {
            if (run.worker == worker)
                content.running.push_back({ run.task, run.attempt, {}, 100, 0 });
        }
        scheduler.planPoll(worker, now, true);
        report(worker, content);
    }

    void answerStarts()
    {
        for (; confirmedStarts < output.starts.size(); ++confirmedStarts) {
            const Fleet::AttemptStart& start = output.starts[confirmedStarts];
            if (nextPollFailures_.contains(start.worker)) {
                const bool isChecked = start.checkLimit != Utils::Duration::zero();
                failingStarts_.push_back({ start, now + (isChecked ? start.checkLimit : commandTimeout) });
                continue;
            }
            Ports::CommandReply reply;
            reply.clockMs
                = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
            running.push_back(start);
            scheduler.onStartReply(start.worker, start.task, start.attempt, reply, now);
        }
    }

    // A start that follows a check is not sent if the check is not answered.
    void failStarts()
    {
        std::erase_if(failingStarts_, [this](const FailingStart& failing) {
            if (now < failing.at)
                return false;
            const bool isChecked = failing.start.checkLimit != Utils::Duration::zero();
            const auto code = isChecked ? Utils::ErrorCode::Unavailable : Utils::ErrorCode::OutcomeUnknown;
            scheduler.onStartReply(failing.start.worker, failing.start.task, failing.start.attempt,
                Utils::Error { code, "start", failing.start.worker, "no answer" }, now);
            return true;
        });
    }

    struct FailingStart {
        Fleet::AttemptStart start;
        Utils::TimePoint at;
    };

    std::map<std::string, Utils::TimePoint> nextPollFailures_; //!< By lost worker.
    std::vector<FailingStart> failingStarts_;
};

} // namespace

// Guards against starts on workers that have just been lost, which were waited for for 15.4 s.
TEST_CASE("Long-running tasks run again in time if further workers are lost before their next start")
{
    // From shortly before to shortly after the leases of the first workers end.
    const auto secondLossAfter = GENERATE(4700ms, 4900ms, 5100ms, 5300ms);
    const auto taskCount = GENERATE(8U, 80U);
    LossFixture fixture(16);
    fixture.scheduler.submit(
        makeJob("job", { makeLatencyCriticalStep(taskCount, 2000, "api") }), 1, fixture.now, testStartUnixMs);
    fixture.advance(3s);
    REQUIRE(fixture.running.size() == taskCount);
    fixture.lose(fixture.busiestWorkers(2));
    REQUIRE(fixture.running.size() < taskCount);
    fixture.advance(secondLossAfter);
    fixture.lose(fixture.idlestWorkers(3));
    fixture.advance(waitBound);
    CHECK(fixture.running.size() == taskCount);
}

// Guards against successors that count on the longest lease for attempts that have run for long.
TEST_CASE("What confirms the start of a long-running task is stored for the next owner")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(
        makeJob("job", { makeLatencyCriticalStep(1, 2000, "api") }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    const auto isStoredAsConfirmed = [&fixture] {
        fixture.scheduleAndCommit();
        FleetSchema::JobRecord record;
        REQUIRE(record.ParseFromString(fixture.rows.at("job")));
        REQUIRE(record.tasks_size() == 1);
        return record.tasks(0).confirmed();
    };
    REQUIRE(fixture.output.starts.size() == 1);
    CHECK_FALSE(isStoredAsConfirmed());
    SECTION("an answer")
    {
        fixture.confirmStarts();
    }
    SECTION("a report")
    {
        Ports::WorkerReport report;
        report.running.push_back({ fixture.output.starts[0].task, 1, {}, 10, 0 });
        fixture.report("w0", report);
    }
    CHECK(isStoredAsConfirmed());
}

// Guards against second runs: the next incarnation of the worker may carry out the first sending.
TEST_CASE("An accepted start that was sent twice is not confirmed by its answer")
{
    SchedulerFixture fixture(1);
    fixture.scheduler.submit(
        makeJob("job", { makeLatencyCriticalStep(1, 2000, "api") }), 1, fixture.now, testStartUnixMs);
    fixture.scheduleAndCommit();
    REQUIRE(fixture.output.starts.size() == 1);
    const auto clockMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(fixture.now.time_since_epoch()).count();
    fixture.scheduler.onStartReply("w0", fixture.output.starts[0].task, 1,
        Ports::CommandReply { Ports::CommandOutcome::Done, clockMs, true }, fixture.now);
    fixture.scheduleAndCommit();
    FleetSchema::JobRecord record;
    REQUIRE(record.ParseFromString(fixture.rows.at("job")));
    CHECK_FALSE(record.tasks(0).confirmed());
    Ports::WorkerReport restarted;
    restarted.startedUnixMs = 8;
    fixture.now += std::chrono::milliseconds(300);
    fixture.report("w0", restarted);
    fixture.reportFenced("w0", restarted);
    fixture.scheduleAndCommit();
    CHECK(fixture.output.starts.size() == 1);
}
