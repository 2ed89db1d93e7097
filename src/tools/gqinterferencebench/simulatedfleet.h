#pragma once

#include "groundtruth.h"
#include "strategy.h"

#include <placement/preemptioncontroller.h>

#include <deque>
#include <set>

namespace Bench {

/*! What a run came to. */
struct RunResult {
    double overObjectivePercent = 0; //!< Of the time of all replicas.
    double completedProcessorHours = 0; //!< Batch work worked off and not lost.
    std::size_t evictions = 0;
    std::size_t memoryKills = 0; //!< Tasks that ended since a worker ran out of memory.
    double urgentStartP99Seconds = 0; //!< Seconds.
    std::vector<bool> metDeadlines; //!< By task; true if there is none.
};

/*! Workers that step through time in fixed steps, for the measurement only. */
class SimulatedFleet {
public:
    static constexpr double stepSeconds = 0.5;
    static constexpr double reportDelaySeconds = 30;
    static constexpr double sampleIntervalSeconds = 10;

    /*! \param truth the workload. \param strategy what decides. */
    SimulatedFleet(const GroundTruth& truth, Strategy& strategy);

    /*! Runs for \p seconds. \return what it came to. */
    RunResult run(double seconds);

    /*! \return seconds from the beginning. */
    double time() const { return time_; }

    /*! \return the same as a time point. */
    Utils::TimePoint now() const;

    /*! \return tasks that wait, those submitted first in front. */
    const std::set<std::size_t>& waitingTasks() const { return waitingTasks_; }

    /*! \return a task. */
    const BenchTask& task(std::size_t number) const { return tasks_[number]; }

    /*! \return tasks on a worker. */
    const std::vector<std::size_t>& tasksOn(std::size_t worker) const { return workers_[worker].tasks; }

    /*! \return whether the VM of a worker is live. */
    bool isLive(std::size_t worker) const { return workers_[worker].isLive; }

    /*! \return number of workers. */
    std::size_t workerCount() const { return workers_.size(); }

    /*! \return processors really used on a worker, by class. */
    ProcessorUsage usage(std::size_t worker) const;

    /*! \return what is known of the fleet in truth. */
    const GroundTruth& truth() const { return truth_; }

    /*! Starts a waiting task. */
    void start(std::size_t task, std::size_t worker);

    /*! Makes a running task leave; it waits again after that. */
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
