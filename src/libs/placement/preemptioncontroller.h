#pragma once

#include "taskrequest.h"

#include "utils/clock.h"

#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Placement {

/*!
    Steps by which batch tasks give processors back to services; their order is set in the policy's
    [give_way] section.
*/
enum class PreemptionStep {
    Throttle, //!< All batch tasks of the worker run with a share of their processors.
    Checkpoint, //!< One task writes a checkpoint, ends and is placed again on another worker.
    Stop, //!< One task is stopped and restarts from its latest checkpoint.
};

/*! Step to take on a worker. */
struct PreemptionCommand {
    PreemptionStep step = PreemptionStep::Throttle;
    double share = 1; //!< Throttle only: share of their processors that all batch tasks of the worker get.
};

/*! A batch task that may be evicted from a worker. */
struct EvictionCandidate {
    AttemptId attempt = 0;
    double milliProcessors = 0; //!< Processors that its eviction frees, in thousandths.
    bool isCheckpointable = false;
    Utils::Duration timeSinceCheckpoint {}; //!< Work that is lost if the task is stopped now.
    double serviceSlowdown = 1; //!< Weight: how much the task is predicted to slow down services.
};

/*!
    Selects preemption steps against batch tasks from the measured tail latency of services.

    Each worker escalates through the steps of the policy while its services exceed their objective, and
    relaxes slowly when they are well below it. The effect of a step is judged only by samples that were
    measured after it took effect. The number of evictions is limited over all workers.
*/
class PreemptionController {
public:
    struct Parameters {
        std::vector<PreemptionStep> steps { PreemptionStep::Throttle, PreemptionStep::Checkpoint,
            PreemptionStep::Stop };
        double escalationRatio
            = 0.95; //!< Ratio of tail latency to objective above which the controller escalates.
        double relaxationRatio = 0.8; //!< Ratio below which throttling is relaxed.
        double minShare = 0.25; //!< Throttling goes no lower; escalation then takes the next step.
        double shareIncrement = 0.1; //!< Added to the share per relaxation.
        Utils::Duration effectDelay
            = std::chrono::seconds(3); //!< Time until a command takes effect; earlier samples are ignored.
        Utils::Duration minHoldTime
            = std::chrono::seconds(30); //!< Minimum time from a command to the next relaxation.
        std::uint32_t evictionsPerMinute = 30; //!< Maximum on all workers together.
        Utils::Duration checkpointCost
            = std::chrono::seconds(5); //!< Work lost by writing a checkpoint and moving the task.
    };

    PreemptionController();

    explicit PreemptionController(const Parameters& parameters);

    /*!
        Applies the policy; each worker starts again with the first step but keeps its throttling.
        \param steps the steps in the order of escalation.
        \param evictionsPerMinute limit over all workers.
    */
    void setPolicy(std::vector<PreemptionStep> steps, std::uint32_t evictionsPerMinute);

    /*!
        Handles a measured tail latency.
        \param ratio the highest ratio of tail latency to objective among the services on the worker.
        \return the command for the worker, if any.
    */
    std::optional<PreemptionCommand> onTailLatency(
        WorkerIndex worker, double ratio, Utils::TimePoint measuredAt, Utils::TimePoint now);

    /*!
        \return the share of their processors that the batch tasks of \p worker get; 1 if they are not
                throttled.
    */
    double share(WorkerIndex worker) const;

    /*!
        Reports that a worker has no task suited to the requested step. The controller then does not wait for
        the effect of the step, and escalates to the next one at the next sample.
    */
    void onNoEvictionCandidate(WorkerIndex worker);

    /*!
        Counts an eviction against the limit per minute.
        \return false if the limit is reached and nothing may be evicted now.
    */
    bool tryReserveEviction(Utils::TimePoint now);

    /*!
        Chooses the task that loses the least work relative to the interference that its eviction removes.
        \param candidates batch tasks of one worker.
        \param step Checkpoint or Stop; Checkpoint considers only tasks that can write a checkpoint.
        \return the index of the task; nothing if no task is suited.
    */
    std::optional<std::size_t> chooseEviction(
        std::span<const EvictionCandidate> candidates, PreemptionStep step) const;

    /*! Discards the state of a worker that was removed. */
    void removeWorker(WorkerIndex worker) { workers_.erase(worker); }

private:
    struct Worker {
        double share = 1; //!< Share of their processors that the batch tasks get.
        std::size_t stepIndex = 0; //!< Index in the steps of the policy.
        Utils::TimePoint lastCommandAt {};
        bool hasCommanded = false; //!< Whether samples must wait for the effect of the last command.
    };

    std::optional<PreemptionCommand> escalate(Worker& worker, double ratio, Utils::TimePoint now);
    std::optional<PreemptionCommand> relax(Worker& worker, Utils::TimePoint now) const;

    Parameters parameters_;
    std::unordered_map<WorkerIndex, Worker> workers_;
    std::deque<Utils::TimePoint> evictionTimes_; //!< Evictions within the last minute.
};

} // namespace Placement
