#pragma once

#include "groundtruth.h"
#include "strategy.h"

#include <placement/preemptioncontroller.h>

#include <deque>
#include <set>

namespace Bench {

/*! Results of a run. */
struct RunResult {
    double overObjectivePercent = 0; //!< Share of the replicas' total time spent over the objective.
    double completedProcessorHours = 0; //!< Batch work that was done and not lost.
    std::size_t evictions = 0;
    std::size_t memoryKills = 0; //!< Tasks killed because a worker ran out of memory.
    double urgentStartP99Seconds = 0; //!< Time from submission to the first start.
    std::vector<bool> metDeadlines; //!< By task; true if the task has no deadline.
};

/*! Simulates the workers of a fleet in fixed time steps. */
class SimulatedFleet {
public:
    static constexpr double stepSeconds = 0.5;
    static constexpr double reportDelaySeconds = 30;
    static constexpr double sampleIntervalSeconds = 10;

    /*!
        \param truth the workload.
        \param strategy makes the decisions.
    */
    SimulatedFleet(const GroundTruth& truth, Strategy& strategy);

    RunResult run(double seconds);

    /*! \return the seconds since the beginning. */
    double time() const { return time_; }

    /*! \return time() as a time point. */
    Utils::TimePoint now() const;

    /*! \return the waiting tasks in the order of their submission. */
    const std::set<std::size_t>& waitingTasks() const { return waitingTasks_; }

    const BenchTask& task(std::size_t number) const { return tasks_[number]; }

    const std::vector<std::size_t>& tasksOn(std::size_t worker) const { return workers_[worker].tasks; }

    /*! \return whether the VM of a worker is live. */
    bool isLive(std::size_t worker) const { return workers_[worker].isLive; }

    std::size_t workerCount() const { return workers_.size(); }

    /*! \return the processors actually used on a worker, by class. */
    ProcessorUsage usage(std::size_t worker) const;

    /*! \return the true properties of workload and interference. */
    const GroundTruth& truth() const { return truth_; }

    /*! Starts a waiting task on a worker. */
    void start(std::size_t task, std::size_t worker);

    /*! Evicts a running or starting task, which waits for a new start after that. */
    void evict(std::size_t task, Placement::PreemptionStep step);

    /*! Sets the share of their processors that all batch tasks of a worker get. */
    void throttle(std::size_t worker, double share) { workers_[worker].throttleShare = share; }

private:
    struct Worker {
        bool isLive = true;
        double repairedAt = 0;
        double throttleShare = 1;
        std::vector<std::size_t> tasks;
    };

    struct Sample {
        double measuredAt = 0;
        std::size_t worker = 0;
        std::vector<Placement::ClassUsage> classes;
        double latencyRatio = 0;
    };

    void submitDueTasks();
    void updateFailures();
    void simulateWorker(std::size_t worker);
    void advanceTask(BenchTask& task, double speed);
    void killLargestTaskIfOutOfMemory(std::size_t worker);
    void takeSamples();
    void deliverSamples();
    void endTask(std::size_t task, Placement::AttemptOutcome outcome);
    RunResult makeResult(double seconds) const;

    const GroundTruth& truth_;
    Strategy& strategy_;
    double time_ = 0;
    double processors_ = 0;
    std::vector<BenchTask> tasks_;
    std::vector<Worker> workers_;
    std::set<std::size_t> waitingTasks_;
    std::size_t nextTask_ = 0;
    std::size_t nextFailure_ = 0;
    std::deque<Sample> samples_;
    std::size_t replicaSteps_ = 0;
    std::size_t stepsOverObjective_ = 0;
    std::size_t evictions_ = 0;
    std::size_t memoryKills_ = 0;
};

} // namespace Bench
