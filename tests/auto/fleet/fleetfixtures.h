#pragma once

#include <fleet/job.h>
#include <fleet/shardscheduler.h>
#include <fleet/tailmodel.h>
#include <fleet/worker.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace Testing {

/*! Start of the tests' time; the clock's epoch stands for "never". */
inline constexpr Utils::TimePoint testStart { std::chrono::seconds(1000) };
inline constexpr std::int64_t startUnixMs = 1'000'000;

/*! \return a step of \p count tasks of \p milliProcessors that run \p estimateMs. */
FleetSchema::StepSpec makeStep(std::uint32_t count, std::int64_t milliProcessors, std::uint32_t estimateMs);

/*! \return a step of lasting tasks with an image and a latency target. */
FleetSchema::StepSpec makeServingStep(
    std::uint32_t count, std::int64_t milliProcessors, const std::string& image);

/*! \return a step of tasks that use leftover processors. */
FleetSchema::StepSpec makeFillingStep(
    std::uint32_t count, std::int64_t milliProcessors, const std::string& image);

/*! \return a job with the given steps, one after the other. */
FleetSchema::JobSpec makeJob(const std::string& id, const std::vector<FleetSchema::StepSpec>& steps);

/*! \return a listed worker with 32 processors. */
Ports::WorkerInfo makeWorkerInfo(const std::string& id);

/*! Orders that a scheduler gave. */
class RecordedOrders final : public Fleet::ShardOrders {
public:
    void startAttempt(const Fleet::AttemptStart& start) override { starts.push_back(start); }
    void stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt) override
    {
        stops.push_back({ worker, task, attempt });
    }
    void throttleAttempt(
        const std::string& worker, const Ports::TaskKey& task, std::uint32_t, int percent) override
    {
        throttles.push_back({ worker, task, static_cast<std::uint32_t>(percent) });
    }
    std::string findShardWithRoom(const FleetSchema::JobSpec&, std::uint32_t) override { return neighbour; }
    void lendTask(const std::string&, const FleetSchema::TaskTransfer& transfer) override
    {
        lends.push_back(transfer);
    }
    void cancelLent(const std::string& shard, const FleetSchema::JobSpec& job) override
    {
        lentCancels.emplace_back(shard, job.id());
    }
    void attemptEnded(const std::string&, const Ports::TaskKey&, std::uint32_t, std::string_view) override { }
    void jobEnded(const Fleet::JobSummary& summary) override { ended.push_back(summary); }
    void answer(std::uint64_t ticket, const Fleet::JobAnswer& answer) override
    {
        answers.emplace_back(ticket, answer);
    }

    struct Order {
        std::string worker;
        Ports::TaskKey task;
        std::uint32_t number = 0; //!< Attempt or percentage.
    };

    std::string neighbour; //!< Shard with room; empty: none.
    std::vector<FleetSchema::TaskTransfer> lends;
    std::vector<std::pair<std::string, std::string>> lentCancels;
    std::vector<Fleet::AttemptStart> starts;
    std::vector<Order> stops;
    std::vector<Order> throttles;
    std::vector<Fleet::JobSummary> ended;
    std::vector<std::pair<std::uint64_t, Fleet::JobAnswer>> answers;
};

/*! A scheduler with workers that have reported once. */
struct SchedulerFixture {
    /*! \param workers number of workers. */
    explicit SchedulerFixture(std::size_t workers);

    /*! Lets a worker report what runs and what ended. */
    void report(const std::string& worker, const Ports::WorkerReport& report);

    /*! Schedules and stores what was decided. \return whether something was stored. */
    bool round();

    /*! Answers all starts given since the last call as carried out. */
    void confirmStarts();

    /*! Lets the first \p count running attempts end; the others are reported as running. */
    void finish(std::size_t count, Ports::AttemptOutcome kind);

    /*! Lets all running attempts end. */
    void finishAll(Ports::AttemptOutcome kind) { finish(running.size(), kind); }

    RecordedOrders orders;
    Fleet::TailModel tailModel;
    Fleet::ShardScheduler scheduler;
    Utils::TimePoint now = testStart;
    std::vector<std::string> workers;
    std::vector<Fleet::AttemptStart> running;
    std::size_t confirmed = 0;
    std::map<std::string, std::uint64_t> lastEnd;
};

} // namespace Testing
