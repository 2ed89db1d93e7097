#pragma once

#include "invariantchecker.h"
#include "scenario.h"
#include "simulatedworker.h"

#include "fleet/scheduleroutput.h"
#include "fleet/shardscheduler.h"
#include "fleet/taillatencymodel.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Emulate {

/*!
    Emulates one shard in virtual time: its owner with the real scheduler, its workers, the rows of the
    store and the callers.
*/
class EmulatedShard final : private Fleet::SchedulerOutput {
public:
    /*! \param submissionEndMs virtual time after which no more jobs are submitted. */
    EmulatedShard(const Scenario& scenario, std::size_t workerCount, std::int64_t submissionEndMs);
    ~EmulatedShard() override;

    /*! Advances the emulation to \p nowMs, which must rise by one tick per call. */
    void advance(std::int64_t nowMs);

    /*! \return the result so far. */
    ScenarioResult result() const;

private:
    void startAttempt(const Fleet::AttemptStart& start) override;
    void stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt) override;
    void throttleAttempt(const std::string&, const Ports::TaskKey&, std::uint32_t, int) override { }
    std::string findShardWithCapacity(
        const FleetSchema::JobSpec&, std::uint32_t, Utils::Duration, std::span<const std::string>) override
    {
        return {};
    }
    bool hasShardWithRoom(const FleetSchema::JobSpec&, std::uint32_t) override { return false; }
    std::vector<Fleet::GangShare> divideGang(
        const FleetSchema::JobSpec&, std::uint32_t, Utils::Duration, std::span<const std::string>) override
    {
        return {};
    }
    void sendPartReady(const std::string&, const FleetSchema::GangPart&) override { }
    void startPart(const std::string&, const FleetSchema::GangPart&) override { }
    void delegateTask(const std::string&, const FleetSchema::TaskTransfer&) override { }
    void cancelDelegatedTasks(const std::string&, const FleetSchema::JobSpec&) override { }
    void sendTaskResult(const std::string&, const FleetSchema::TaskResult&) override { }
    void queryOrigin(const std::string&, const std::string&) override { }
    void readOrigin(const std::string&, const std::string&) override { }
    void attemptEnded(const std::string&, const Ports::TaskKey& task, std::uint32_t attempt,
        std::string_view reason) override
    {
        trace(task.job, "attempt " + std::to_string(attempt) + " over: " + std::string(reason));
    }
    void capacityChanged(const Fleet::CapacityChange&) override { }
    void workerCrashed(const std::string&, const Ports::TaskKey& task, std::uint32_t attempt,
        const Fleet::CrashCount& crashes) override
    {
        trace(task.job,
            "attempt " + std::to_string(attempt) + " over: worker crashed, number "
                + std::to_string(crashes.proved) + ", unanswered " + std::to_string(crashes.unanswered));
    }
    void quarantineChanged(const std::string&, Utils::Duration) override { }
    void taskWaiting(const Fleet::WaitReport&) override { }
    void workerLost(const Fleet::WorkerLoss&) override { }
    void workerRestarted(const Fleet::WorkerRestart&) override { }
    void workerUnusable(const std::string&, std::string_view, Utils::Duration) override { }
    void jobEnded(const Fleet::JobSummary&) override { }
    void answer(std::uint64_t, const Fleet::JobAnswer&) override { }

    void applyFaults();
    void setFaultActive(const Fault& fault, bool isActive);
    void crashWorkers(const Fault& fault);
    void restartLater(SimulatedWorker& worker, std::int64_t delayMs);
    void setCapacities(const Fault& fault, int percent);
    void killOwner(std::int64_t downMs);
    void takeOver();
    void submitJobs();
    void readWorkerList();
    void runScheduler();
    std::uint64_t tokenFor(const std::string& worker) const;
    void pollWorkers();
    void scheduleEvent(std::int64_t delayMs, std::function<void()> function);
    void trace(const std::string& job, const std::string& event) const;
    SimulatedWorker* findWorker(const std::string& id);
    FleetSchema::JobSpec randomJob();
    TaskBehavior taskBehavior(const Ports::TaskKey& task) const;
    Utils::TimePoint now() const
    {
        return Utils::TimePoint(std::chrono::milliseconds(nowMs_ + clockOriginMs));
    }
    std::int64_t randomLatencyMs() { return 2 + static_cast<std::int64_t>(random_() % 25); }

    // Virtual time must not start at the clock's epoch, which stands for "never".
    static constexpr std::int64_t clockOriginMs = 1'000'000;

    Scenario scenario_;
    std::int64_t submissionEndMs_;
    std::int64_t nowMs_ = 0;
    std::mt19937_64 random_;
    std::mt19937_64 disturbanceRandom_; //!< For what addWorkerDisturbances() adds.
    std::vector<SimulatedWorker> workers_;
    //! Start of the incarnation that a worker's connection leads to.
    std::map<std::string, std::int64_t> connectedIncarnations_;
    std::vector<std::int64_t> nextPollMs_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::map<std::string, FleetSchema::JobRecord> rows_; //!< Job records in the store.
    std::map<std::string, FleetSchema::JobSpec> specs_;
    InvariantChecker checker_;
    Fleet::TailLatencyModel tailLatencyModel_;
    std::unique_ptr<Fleet::ShardScheduler> owner_; //!< Null while the owner is down.
    std::uint64_t epoch_ = 0;
    std::int64_t listReadMs_ = -1; //!< Time at which the list of workers was last read; -1: never.
    bool isStoreDown_ = false;
    bool areCommandsDelayed_ = false;
    bool isCommitting_ = false;
    std::uint64_t nextJobNumber_ = 1;
    std::size_t startCount_ = 0;
};

} // namespace Emulate
