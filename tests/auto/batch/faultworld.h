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

/*! Rules that a broken variant breaks; each must be caught by the oracle. */
enum class Broken {
    Nothing,
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
    Milliseconds faultsUntil = std::chrono::seconds(60);
    Milliseconds endsBy = std::chrono::seconds(240);
};

/*!
    Several owners and workers of one shard over a table in memory, in simulated time, with injected faults;
    judged by the workers' run logs and by the ends that the table holds.
*/
class FaultWorld {
public:
    FaultWorld(std::uint32_t seed, FaultPlan plan, Broken broken);

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
    Milliseconds firstStart(const std::string& job) const;

    Platform::MemoryTable& table() { return table_; }
    Utils::TimePoint now() const { return now_; }
    std::size_t startCount() const { return startCount_; }
    std::size_t resumedCount() const { return resumedCount_; }
    Schema::JobPartState state(const std::string& job);
    void setOutage(bool outage) { outage_ = outage; }
    void killOwner(std::size_t index);
    void releaseOwner(std::size_t index) { owners_[index].core->release(); }
    bool ownerReleased(std::size_t index) const { return owners_[index].core->released(); }
    /*! \return position of the owning process, or -1. */
    int owner() const;
    Batch::ShardOwner& core(std::size_t index) { return *owners_[index].core; }

private:
    struct Owner {
        std::unique_ptr<Batch::ShardOwner> core;
        int generation = 0;
        Utils::TimePoint pausedUntil;
        bool cutFromTable = false;
    };

    struct Worker {
        Schema::VmEntry vm;
        std::unique_ptr<Batch::WorkerCore> core;
        int incarnation = 0;
        double clockRate = 1;
        std::size_t readLog = 0;
        std::map<Batch::AttemptId, Utils::TimePoint> ends;
        std::map<Batch::AttemptId, Utils::TimePoint> checkpoints;
        std::map<Batch::AttemptId, Schema::TaskSize> sizes;
    };

    struct Run {
        Batch::AttemptId attempt;
        std::string worker;
        std::string resumedFrom;
        std::string wrote;
        Schema::AttemptState state = Schema::ATTEMPT_RUNNING;
        Utils::TimePoint from;
        Utils::TimePoint to = Utils::TimePoint::max();
    };

    using Event = std::function<void()>;

    void step();
    void injectFaults();
    void later(Milliseconds delay, Event event) { events_.emplace(now_ + delay, std::move(event)); }
    Milliseconds latency();
    bool chance(double probability) { return std::uniform_real_distribution<>()(random_) < probability; }
    void makeOwner(std::size_t index);
    void makeWorker(std::size_t index);
    void toOwner(std::size_t index, int generation, const std::function<void(Batch::ShardOwner&)>& event);
    void perform(std::size_t index, const Batch::Actions& actions);
    void performCommit(std::size_t index, const Schema::CommitRequest& request);
    void observe(const Schema::CommitRequest& request);
    void performSend(std::size_t index, const Batch::SendAction& action);
    void deliverBatch(std::size_t index, int generation, std::size_t worker, Schema::CommandBatch batch);
    Utils::TimePoint localTime(const Worker& worker) const;
    void runTasks(Worker& worker);
    void obey(Worker& worker, const Batch::WorkerOrders& orders);
    void readLog(Worker& worker);
    bool tableReachable(std::size_t index) const { return !outage_ && !owners_[index].cutFromTable; }
    bool allFinished();
    std::vector<std::string> judge();
    void judgeTask(const std::vector<Run>& runs, std::vector<std::string>& faults) const;

    std::mt19937 random_;
    FaultPlan plan_;
    Broken broken_;
    Utils::TimePoint started_ { std::chrono::seconds(1000) };
    Utils::TimePoint now_ = started_;
    Platform::MemoryTable table_;
    Batch::FirstFitPlacer placer_;
    std::vector<Owner> owners_;
    std::vector<Worker> workers_;
    std::vector<std::vector<bool>> cut_;
    std::multimap<Utils::TimePoint, Event> events_;
    std::vector<Run> runs_;
    std::map<Batch::AttemptId, Schema::AttemptState> recordedEnds_;
    std::vector<std::string> batchJobs_;
    std::vector<std::string> faults_;
    std::uint64_t freshSequence_ = 0;
    std::size_t startCount_ = 0;
    std::size_t resumedCount_ = 0;
    bool outage_ = false;
};

} // namespace Testing
