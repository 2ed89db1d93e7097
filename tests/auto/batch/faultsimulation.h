#pragma once

#include <batch/firstfitplacer.h>
#include <batch/shardowner.h>
#include <batch/workercore.h>
#include <platform/memorytable.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Testing {

using Milliseconds = std::chrono::milliseconds;

/*! The only shard of these tests. */
constexpr const char* shardName = "north/rack-1";

/*! \return an attempt as text. \param id the attempt. */
std::string attemptName(const Batch::AttemptId& id);

/*! Rules that a broken variant breaks; each must be caught by the oracle. */
enum class BrokenRule {
    None,
    EpochIgnored, //!< Workers obey every owner.
    GrantAgeIgnored, //!< Workers count the lease from the arrival of a batch, however late.
    LeaseUnderestimated, //!< The owner believes leases shorter than the workers do.
    StartsRepeated, //!< Workers obey duplicates of a batch.
    ConditionsIgnored, //!< The table writes whatever it is sent.
    EndsAcknowledgedEarly, //!< Workers forget ends that were not recorded.
};

/*! Faults that one run injects. */
struct FaultPlan {
    bool ownerKills = true;
    bool ownerPauses = true;
    bool partitions = true;
    bool outages = true;
    bool workerKills = true;
    bool evictions = true;
    Milliseconds faultDuration = std::chrono::seconds(60);
    Milliseconds maxDuration = std::chrono::seconds(240);
};

/*!
    Several owners and workers of one shard over a table in memory, in simulated time, with injected faults;
    judged by the workers' run logs and by the ends that the table holds.
*/
class FaultSimulation {
public:
    FaultSimulation(std::uint32_t seed, FaultPlan plan, BrokenRule brokenRule);

    /*! Puts a job into the table as a submission does. */
    void submit(const std::string& id, std::uint32_t count, std::uint64_t runMs, Schema::JobKind kind,
        const std::string& priorityClass = {});

    /*! Asks for a job's cancellation. */
    void cancel(const std::string& id);

    /*! Runs until all batch jobs are finished or time is over. \return the faults found by the oracle. */
    std::vector<std::string> run();

    /*! Runs for a while. */
    void advance(Milliseconds duration);

    /*! \return when the first attempt of a job started, from the beginning; negative if none did. */
    Milliseconds firstStartDelay(const std::string& job) const;

    Platform::MemoryTable& table() { return table_; }
    Utils::TimePoint now() const { return now_; }
    std::size_t startCount() const { return startCount_; }
    std::size_t resumedCount() const { return resumedCount_; }
    Schema::JobPartState jobState(const std::string& job);
    void setOutage(bool outage) { outage_ = outage; }
    void killOwner(std::size_t index);
    void releaseOwner(std::size_t index) { owners_[index].core->release(); }
    bool ownerReleased(std::size_t index) const { return owners_[index].core->isReleased(); }
    /*! \return position of the owning process, or -1. */
    int ownerIndex() const;
    Batch::ShardOwner& core(std::size_t index) { return *owners_[index].core; }

private:
    struct Owner {
        std::unique_ptr<Batch::ShardOwner> core;
        int generation = 0;
        Utils::TimePoint pausedUntil;
        bool tableUnreachable = false;
    };

    struct Worker {
        Schema::VmEntry vm;
        std::unique_ptr<Batch::WorkerCore> core;
        int incarnation = 0;
        double clockRate = 1;
        std::size_t runLogPosition = 0;
        std::map<Batch::AttemptId, Utils::TimePoint> endTimes;
        std::map<Batch::AttemptId, Utils::TimePoint> checkpointTimes;
        std::map<Batch::AttemptId, Schema::TaskSize> sizes;
    };

    struct AttemptRun {
        Batch::AttemptId attempt;
        std::string worker;
        std::string resumedFrom;
        std::string writtenCheckpoint;
        Schema::AttemptState state = Schema::ATTEMPT_RUNNING;
        Utils::TimePoint startedAt;
        Utils::TimePoint endedAt = Utils::TimePoint::max();
    };

    using Event = std::function<void()>;

    void step();
    void injectFaults();
    void schedule(Milliseconds delay, Event event) { events_.emplace(now_ + delay, std::move(event)); }
    Milliseconds randomLatency();
    bool chance(double probability) { return std::uniform_real_distribution<>()(random_) < probability; }
    void makeOwner(std::size_t index);
    void makeWorker(std::size_t index);
    void deliverToOwner(
        std::size_t index, int generation, const std::function<void(Batch::ShardOwner&)>& event);
    void performActions(std::size_t index, const Batch::Actions& actions);
    void performCommit(std::size_t index, const Schema::CommitRequest& request);
    void recordCommittedEnds(const Schema::CommitRequest& request);
    void performSend(std::size_t index, const Batch::SendAction& action);
    void deliverBatch(std::size_t index, int generation, std::size_t worker, Schema::CommandBatch batch);
    Utils::TimePoint localTime(const Worker& worker) const;
    void runTasks(Worker& worker);
    void executeCommands(Worker& worker, const Batch::RunnerCommands& commands);
    void processRunLog(Worker& worker);
    bool tableReachable(std::size_t index) const { return !outage_ && !owners_[index].tableUnreachable; }
    bool allFinished();
    std::vector<std::string> checkInvariants();
    void checkTask(const std::vector<AttemptRun>& runs, std::vector<std::string>& violations) const;

    std::mt19937 random_;
    FaultPlan plan_;
    BrokenRule brokenRule_;
    Utils::TimePoint simulationStart_ { std::chrono::seconds(1000) };
    Utils::TimePoint now_ = simulationStart_;
    Platform::MemoryTable table_;
    Batch::FirstFitPlacer placer_;
    std::vector<Owner> owners_;
    std::vector<Worker> workers_;
    std::vector<std::vector<bool>> linkCut_;
    std::multimap<Utils::TimePoint, Event> events_;
    std::vector<AttemptRun> runs_;
    std::map<Batch::AttemptId, Schema::AttemptState> recordedEnds_;
    std::vector<std::string> batchJobs_;
    std::vector<std::string> violations_;
    std::uint64_t freshSequence_ = 0;
    std::size_t startCount_ = 0;
    std::size_t resumedCount_ = 0;
    bool outage_ = false;
};

} // namespace Testing
