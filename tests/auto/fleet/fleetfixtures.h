#pragma once

#include <fleet/job.h>
#include <fleet/shardscheduler.h>
#include <fleet/taillatencymodel.h>
#include <fleet/worker.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Testing {

/*! Start time of the tests; must not be the clock's epoch, which stands for "never". */
inline constexpr Utils::TimePoint testStart { std::chrono::seconds(1000) };
inline constexpr std::int64_t testStartUnixMs = 1'000'000;

/*! \return a step of \p count tasks that request \p milliProcessors and run for \p estimateMs. */
FleetSchema::StepSpec makeStep(std::uint32_t count, std::int64_t milliProcessors, std::uint32_t estimateMs);

/*! \return a step of long-running tasks with an image and a latency target. */
FleetSchema::StepSpec makeLatencyCriticalStep(
    std::uint32_t count, std::int64_t milliProcessors, const std::string& image);

/*! \return a step of best-effort tasks. */
FleetSchema::StepSpec makeBestEffortStep(
    std::uint32_t count, std::int64_t milliProcessors, const std::string& image);

/*! \return a job whose steps run one after the other. */
FleetSchema::JobSpec makeJob(const std::string& id, const std::vector<FleetSchema::StepSpec>& steps);

/*! \return a listed worker with 32 processors. */
Ports::WorkerInfo makeWorkerInfo(const std::string& id);

/*! Records what a scheduler sends. */
class RecordingOutput final : public Fleet::SchedulerOutput {
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
    std::string findShardWithCapacity(const FleetSchema::JobSpec& spec, std::uint32_t step, Utils::Duration,
        std::span<const std::string> returnedBy) override
    {
        latestReturnedBy.assign(returnedBy.begin(), returnedBy.end());
        shardSearches.push_back(spec.id());
        const auto found = shardsBySize.find(spec.steps(static_cast<int>(step)).milli_processors());
        return found == shardsBySize.end() ? shardWithCapacity : found->second;
    }
    bool hasShardWithRoom(const FleetSchema::JobSpec&, std::uint32_t) override
    {
        return !shardWithCapacity.empty();
    }
    std::vector<Fleet::GangShare> divideGang(
        const FleetSchema::JobSpec&, std::uint32_t, Utils::Duration, std::span<const std::string>) override
    {
        return gangShares;
    }
    void sendPartReady(const std::string&, const FleetSchema::GangPart& part) override
    {
        readyParts.push_back(part);
    }
    void startPart(const std::string& shard, const FleetSchema::GangPart& part) override
    {
        partStarts.emplace_back(shard, part);
    }
    void delegateTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer) override
    {
        hostShards.push_back(shard);
        delegations.push_back(transfer);
    }
    void cancelDelegatedTasks(const std::string& shard, const FleetSchema::JobSpec& job) override
    {
        delegationCancels.emplace_back(shard, job.id());
    }
    void sendTaskResult(const std::string& originShard, const FleetSchema::TaskResult& result) override
    {
        results.emplace_back(originShard, result);
    }
    void queryOrigin(const std::string& originShard, const std::string& job) override
    {
        originQueries.emplace_back(originShard, job);
    }
    void readOrigin(const std::string& originShard, const std::string& job) override
    {
        originReads.emplace_back(originShard, job);
    }
    void attemptEnded(const std::string&, const Ports::TaskKey&, std::uint32_t, std::string_view) override { }
    void capacityChanged(const Fleet::CapacityChange& change) override { capacityChanges.push_back(change); }
    void workerCrashed(const std::string& worker, const Ports::TaskKey& task, std::uint32_t,
        const Fleet::CrashCount& count) override
    {
        crashes.push_back({ worker, task, count.proved });
    }
    void quarantineChanged(const std::string& worker, Utils::Duration time) override
    {
        quarantines.emplace_back(worker, time);
    }
    void taskWaiting(const Fleet::WaitReport& report) override { waits.push_back(report); }
    void workerLost(const Fleet::WorkerLoss& loss) override { losses.push_back(loss); }
    void workerUnusable(const std::string& worker, std::string_view cause, Utils::Duration) override
    {
        unusableWorkers.emplace_back(worker, cause);
    }
    void workerRestarted(const Fleet::WorkerRestart& restart) override { restarts.push_back(restart); }
    void jobEnded(const Fleet::JobSummary& summary) override { ended.push_back(summary); }
    void answer(std::uint64_t ticket, const Fleet::JobAnswer& answer) override
    {
        answers.emplace_back(ticket, answer);
    }

    struct Command {
        std::string worker;
        Ports::TaskKey task;
        std::uint32_t number = 0; //!< Attempt, speed in percent or number of crashes.
    };

    std::string shardWithCapacity; //!< Result of findShardWithCapacity().
    std::map<std::int64_t, std::string> shardsBySize; //!< The same for tasks of some numbers of processors.
    std::vector<std::string> shardSearches; //!< Jobs for which it was called.
    std::vector<std::string> latestReturnedBy; //!< Passed to its latest call.
    std::vector<Fleet::GangShare> gangShares; //!< Result of divideGang().
    std::vector<FleetSchema::GangPart> readyParts;
    std::vector<std::pair<std::string, FleetSchema::GangPart>> partStarts; //!< With the called shard.
    std::vector<FleetSchema::TaskTransfer> delegations;
    std::vector<std::string> hostShards; //!< Called with each of the delegations.
    std::vector<std::pair<std::string, std::string>> delegationCancels;
    std::vector<std::pair<std::string, FleetSchema::TaskResult>> results;
    std::vector<std::pair<std::string, std::string>> originQueries;
    std::vector<std::pair<std::string, std::string>> originReads;
    std::vector<Fleet::AttemptStart> starts;
    std::vector<Command> stops;
    std::vector<Command> throttles;
    std::vector<Fleet::CapacityChange> capacityChanges;
    std::vector<Command> crashes; //!< With the number of crashes in a row.
    std::vector<std::pair<std::string, Utils::Duration>> quarantines;
    std::vector<Fleet::WaitReport> waits;
    std::vector<Fleet::WorkerLoss> losses;
    std::vector<std::pair<std::string, std::string>> unusableWorkers; //!< With the cause.
    std::vector<Fleet::WorkerRestart> restarts;
    std::vector<Fleet::JobSummary> ended;
    std::vector<std::pair<std::uint64_t, Fleet::JobAnswer>> answers;
};

/*! A scheduler with workers that have reported once. */
struct SchedulerFixture {
    explicit SchedulerFixture(std::size_t workers, Utils::Duration workerListLimit = Utils::Duration::max(),
        const std::string& shard = "shard");

    /*! Delivers a report of a worker. */
    void report(const std::string& worker, const Ports::WorkerReport& report);

    /*!
        Schedules and commits the changes.

        \return whether there were changes.
    */
    bool scheduleAndCommit();

    /*! Answers the starts sent since the last call with success. */
    void confirmStarts();

    /*! Lets a restarted worker answer a later poll, which has the token of its new incarnation. */
    void reportFenced(const std::string& worker, const Ports::WorkerReport& content);

    /*! Ends the first \p count running attempts and reports the others as running. */
    void finishAttempts(std::size_t count, Ports::AttemptOutcome kind);

    /*! Ends all running attempts. */
    void finishAll(Ports::AttemptOutcome kind) { finishAttempts(running.size(), kind); }

    RecordingOutput output;
    Fleet::TailLatencyModel tailLatencyModel;
    Fleet::ShardScheduler scheduler;
    Utils::TimePoint now = testStart;
    std::map<std::string, std::string> rows; //!< Stored rows by key.
    std::vector<std::string> workers;
    std::vector<Fleet::AttemptStart> running;
    std::size_t confirmedStarts = 0;
    std::map<std::string, std::uint64_t> lastEndNumbers;
};

} // namespace Testing
