#include <fleet/jobrank.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace std::chrono_literals;

namespace {

Fleet::JobUrgency makeUrgency(Utils::Duration age, bool isStarted)
{
    Fleet::JobUrgency urgency;
    urgency.age = age;
    urgency.objective = 5000ms;
    urgency.remainingWork = 2000ms;
    urgency.isStarted = isStarted;
    return urgency;
}

// Simulates a backlog of jobs of the same size that run one at a time, each a fifth longer than expected.
int countCompletedInTime(int jobs)
{
    struct Waiting {
        Utils::Duration arrival;
        bool isDone = false;
    };
    constexpr Utils::Duration runTime = 2400ms;
    std::vector<Waiting> backlog;
    backlog.reserve(static_cast<std::size_t>(jobs));
    for (int number = 0; number < jobs; ++number)
        backlog.push_back({ number * 700ms });
    int inTime = 0;
    for (Utils::Duration now = 0ms; now < jobs * 700ms; now += runTime) {
        Waiting* first = nullptr;
        for (Waiting& job : backlog) {
            if (job.isDone || job.arrival > now)
                continue;
            if (!first
                || Fleet::rankJob(makeUrgency(now - job.arrival, false))
                    < Fleet::rankJob(makeUrgency(now - first->arrival, false))) {
                first = &job;
            }
        }
        if (!first)
            continue;
        first->isDone = true;
        inTime += now + runTime - first->arrival <= 5000ms ? 1 : 0;
    }
    return inTime;
}

} // namespace

TEST_CASE("A job whose slack is below the start margin ranks lower unless it has started")
{
    const Fleet::JobRank lowSlack = Fleet::rankJob(makeUrgency(2600ms, false));
    const Fleet::JobRank started = Fleet::rankJob(makeUrgency(2600ms, true));
    const Fleet::JobRank highSlack = Fleet::rankJob(makeUrgency(1000ms, false));
    CHECK(highSlack < lowSlack);
    CHECK(started < highSlack);
}

TEST_CASE("In a burst beyond the capacity, jobs that can still complete in time are chosen")
{
    // One job completes every 2.4 s, so the burst of 42 s has time for sixteen; nearly all run after
    // waiting in the backlog.
    CHECK(countCompletedInTime(60) >= 16);
}
