#include "fleetfixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using namespace Testing;

namespace {

/*! A shard whose workers crash and start again under another identifier, as the platform's do. */
struct CrashFixture : SchedulerFixture {
    explicit CrashFixture(std::size_t workerCount)
        : SchedulerFixture(workerCount)
    {
    }

    /*! Lets time pass while all workers report what they run. */
    void advance(Utils::Duration duration)
    {
        const Utils::TimePoint end = now + duration;
        while (now < end) {
            now += 100ms;
            for (const std::string& worker : workers)
                reportRunning(worker);
            scheduler.onTick(now, testStartUnixMs);
            scheduleAndCommit();
            confirmStarts();
        }
    }

    void reportRunning(const std::string& worker)
    {
        Ports::WorkerReport content;
        for (const Fleet::AttemptStart& attempt : running) {
            if (attempt.worker == worker)
                content.running.push_back({ attempt.task, attempt.attempt, {}, 10, 0 });
        }
        report(worker, content);
    }

    void listWorkers()
    {
        std::vector<Ports::WorkerInfo> infos;
        for (const std::string& worker : workers)
            infos.push_back(makeWorkerInfo(worker));
        scheduler.setWorkers(infos, now);
    }

    /*! The worker's process ends, its entry is removed, and a new worker takes its place. */
    void crash(const std::string& worker)
    {
        std::erase(workers, worker);
        std::erase_if(running, [&](const Fleet::AttemptStart& attempt) { return attempt.worker == worker; });
        listWorkers();
        scheduler.onPollFailed(worker, true);
        scheduler.onPollFailed(worker, true);
        advance(100ms);
        workers.push_back("n" + std::to_string(++newWorkerCount));
        listWorkers();
        report(workers.back(), {});
    }

    /*! \return the worker of the task's open attempt, or an empty string. */
    std::string workerOf(const std::string& job, std::uint32_t index = 0) const
    {
        const auto found
            = std::find_if(running.begin(), running.end(), [&](const Fleet::AttemptStart& attempt) {
                  return attempt.task.job == job && attempt.task.index == index;
              });
        return found == running.end() ? std::string() : found->worker;
    }

    std::size_t countStarts(const std::string& job) const
    {
        return static_cast<std::size_t>(std::count_if(output.starts.begin(), output.starts.end(),
            [&](const Fleet::AttemptStart& start) { return start.task.job == job; }));
    }

    /*! Crashes the worker of each start of the job's first task at once, at most \p limit times. */
    void crashWorkersOf(const std::string& job, int limit)
    {
        for (int crashes = 0, step = 0; crashes < limit && step < 400; ++step) {
            const std::string worker = workerOf(job);
            if (worker.empty()) {
                advance(100ms);
            } else {
                crash(worker);
                ++crashes;
            }
        }
    }

    int newWorkerCount = 0;
};

} // namespace

TEST_CASE("A task that crashes the workers that start it is not started without limit", "[!shouldfail]")
{
    for (const bool isLongRunning : { false, true }) {
        CrashFixture fixture(6);
        FleetSchema::StepSpec step = makeStep(1, 1000, 500);
        step.set_lasting(isLongRunning);
        fixture.scheduler.submit(makeJob("deadly", { step }), 1, fixture.now, testStartUnixMs);
        fixture.crashWorkersOf("deadly", 8);
        CHECK(fixture.countStarts("deadly") <= 5);
        CHECK(fixture.scheduler.state("deadly") == FleetSchema::JOB_FAILED);
    }
}
