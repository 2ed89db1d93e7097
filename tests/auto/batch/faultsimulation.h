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

/*! \return the attempt as job/task/attempt. */
std::string attemptName(const Batch::AttemptId& id);

/*! Rules that a run can break on purpose; the invariant checker must detect each broken rule. */
enum class BrokenRule {
    None,
    EpochIgnored, //!< Workers accept batches of any epoch.
    GrantAgeIgnored, //!< Workers count the lease from the arrival of a batch, however late it is.
    LeaseUnderestimated, //!< The owner assumes shorter leases than the workers.
    StartsRepeated, //!< Workers carry out duplicates of a batch.
    ConditionsIgnored, //!< The table ignores the conditions of writes.
    EndsAcknowledgedEarly, //!< Workers forget ends before the owner has recorded them.
};

/*! Faults that a run injects. */
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
    Simulates several candidate owners and several workers of one shard over an in-memory table, with injected
    faults. The invariants are checked on the workers' run logs and on the ends recorded in the table.
*/
class FaultSimulation {
public:
    FaultSimulation(std::uint32_t seed, FaultPlan plan, BrokenRule brokenRule);

    /*! Writes a job to the shard's inbox, as a submission does. */
    void submit(const std::string& id, std::uint32_t count, std::uint64_t runMs, Schema::JobKind kind,
        const std::string& priorityClass = {});

    /*! Requests the cancellation of a job. */
    void cancel(const std::string& id);

    /*!
        Runs until the faults have ended and all batch jobs are finished, at most FaultPlan::maxDuration.
        \return the violated invariants.
    */
    std::vector<std::string> run();

    /*! Advances the simulated time. */
    void advance(Milliseconds duration);

    /*! \return time from the beginning to the first start of a job; negative if it never started. */
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
    /*! \return index of the process that owns the shard, or -1. */
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
