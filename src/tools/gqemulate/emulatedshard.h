#pragma once

#include "emulatedday.h"
#include "judge.h"
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

/*! One shard in virtual time: its owner with the real scheduler, its workers, the store's rows and callers.
 */
class EmulatedShard final : private Fleet::SchedulerOutput {
public:
    /*! \param plan seed and faults. \param workers number of workers. \param trafficMs end of submissions. */
    EmulatedShard(const DayPlan& plan, std::size_t workers, std::int64_t trafficMs);
    ~EmulatedShard() override;

    /*! Plays the time up to a moment. \param nowMs the moment; rises by steps of the same length. */
    void advance(std::int64_t nowMs);

    /*! \return how the day went so far. */
    DayResult result() const;

private:
    void startAttempt(const Fleet::AttemptStart& start) override;
    void stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt) override;
    void throttleAttempt(const std::string&, const Ports::TaskKey&, std::uint32_t, int) override { }
    std::string findShardWithCapacity(const FleetSchema::JobSpec&, std::uint32_t) override { return {}; }
    void delegateTask(const std::string&, const FleetSchema::TaskTransfer&) override { }
    void cancelDelegatedTasks(const std::string&, const FleetSchema::JobSpec&) override { }
    void attemptEnded(
        const std::string&, const Ports::TaskKey& task, std::uint32_t attempt, std::string_view how) override
    {
        trace(task.job, "attempt " + std::to_string(attempt) + " over: " + std::string(how));
    }
    void jobEnded(const Fleet::JobSummary&) override { }
    void answer(std::uint64_t, const Fleet::JobAnswer&) override { }

    void applyFaults();
    void switchFault(const Fault& fault, bool isOn);
    void killOwner(std::int64_t downMs);
    void takeOver();
    void submitJobs();
    void decide();
    void pollWorkers();
    void later(std::int64_t delayMs, std::function<void()> function);
    void trace(const std::string& job, const std::string& event) const;
    SimulatedWorker* find(const std::string& id);
    FleetSchema::JobSpec drawJob();
    TaskBehaviour behaviourOf(const Ports::TaskKey& task) const;
    Utils::TimePoint now() const { return Utils::TimePoint(std::chrono::milliseconds(nowMs_ + epochMs)); }
    std::int64_t latencyMs() { return 2 + static_cast<std::int64_t>(random_() % 25); }

    // The clock must not start at its epoch, which stands for "never".
    static constexpr std::int64_t epochMs = 1'000'000;

    DayPlan plan_;
    std::int64_t trafficMs_;
    std::int64_t nowMs_ = 0;
    std::mt19937_64 random_;
    std::vector<SimulatedWorker> workers_;
    std::vector<std::int64_t> nextPollMs_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::map<std::string, FleetSchema::JobRecord> rows_; //!< The store's.
    std::map<std::string, FleetSchema::JobSpec> specs_;
    Judge judge_;
    Fleet::TailLatencyModel tailModel_;
    std::unique_ptr<Fleet::ShardScheduler> owner_; //!< Null while the owner is down.
    std::uint64_t epoch_ = 0;
    bool isStoreDown_ = false;
    bool areOrdersLate_ = false;
    bool isCommitting_ = false;
    std::uint64_t nextJob_ = 1;
    std::size_t starts_ = 0;
};

} // namespace Emulate
