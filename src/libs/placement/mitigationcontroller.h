#pragma once

#include "taskrequest.h"

#include "utils/clock.h"

#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Placement {

/*! What batch work on a worker is told so that services get their processors back. */
enum class MitigationStep {
    Throttle, //!< Run with a share of the processors.
    Checkpoint, //!< One task writes a checkpoint, ends and is placed again elsewhere.
    Stop, //!< One task is stopped and begins again at its latest checkpoint.
};

/*! What a worker has to do now. */
struct MitigationAction {
    MitigationStep step = MitigationStep::Throttle;
    double share = 1; //!< Throttle: share of their processors that all batch tasks of the worker get.
};

/*! A batch task that may have to leave a worker. */
struct EvictionCandidate {
    AttemptId attempt = 0;
    double milliProcessors = 0; //!< What it gives back.
    bool isCheckpointable = false;
    Utils::Duration timeSinceCheckpoint {}; //!< Work that is lost if it is stopped now.
    double serviceSlowdown = 1; //!< Predicted slowdown that it causes to services, as a weight.
};

/*!
    Decides from the measured tail latency of services which batch work gives way.

    Each worker climbs the steps of the policy while its services are over the objective, and comes back
    slowly when they are well below it. An action is judged only by samples that were measured after it
    took effect. Evictions are bounded over all workers.
*/
class MitigationController {
public:
    /*! Settings. */
    struct Parameters {
        std::vector<MitigationStep> steps { MitigationStep::Throttle, MitigationStep::Checkpoint,
            MitigationStep::Stop };
        double escalationRatio = 0.95; //!< Tail latency over objective above which batch work gives way.
        double relaxationRatio = 0.8; //!< Ratio below which it gets processors back.
        double minShare = 0.25; //!< Least share of processors that throttling leaves.
        double shareIncrement = 0.1; //!< Raise of the share with each calm sample.
        Utils::Duration effectDelay = std::chrono::seconds(3); //!< Time in which an action takes effect.
        Utils::Duration minHoldTime = std::chrono::seconds(30); //!< Least time between an action and a raise.
        std::uint32_t evictionsPerMinute = 30; //!< Bound over all workers.
        Utils::Duration checkpointCost = std::chrono::seconds(5); //!< Work lost by a checkpoint and a move.
    };

    MitigationController();

    /*! \param parameters settings. */
    explicit MitigationController(const Parameters& parameters);

    /*!
        Applies the policy.
        \param order the steps in the order they are taken.
        \param evictionsPerMinute bound over all workers.
    */
    void setPolicy(std::vector<MitigationStep> steps, std::uint32_t evictionsPerMinute);

    /*!
        Takes a measured tail latency.
        \param worker where the services run.
        \param ratio the worst ratio of tail latency to objective among them.
        \param measuredAt time of the measurement.
        \param now the current time.
        \return what the worker has to do, if anything.
    */
    std::optional<MitigationAction> onTailLatency(
        WorkerIndex worker, double ratio, Utils::TimePoint measuredAt, Utils::TimePoint now);

    /*!
        Share of their processors that batch tasks of a worker have.
        \param worker the worker.
        \return the share, 1 if not throttled.
    */
    double share(WorkerIndex worker) const;

    /*!
        Tells that a worker had no task suited to the step it was told; the next sample takes the next step.
        \param worker the worker.
    */
    void onNoEvictionCandidate(WorkerIndex worker);

    /*!
        Counts an eviction against the bound.
        \param now the current time.
        \return false if the bound is reached; nothing may be evicted then.
    */
    bool tryReserveEviction(Utils::TimePoint now);

    /*!
        Chooses the task that loses least work for the relief that it brings.
        \param candidates batch tasks of the worker.
        \param step Checkpoint or Stop; Checkpoint chooses among tasks that can write one.
        \return position of the task, or nothing if none is suited.
    */
    std::optional<std::size_t> chooseEviction(
        std::span<const EvictionCandidate> candidates, MitigationStep step) const;

    /*!
        Forgets a worker.
        \param worker the worker, gone for good.
    */
    void removeWorker(WorkerIndex worker) { workers_.erase(worker); }

private:
    struct Worker {
        double share = 1;
        std::size_t stepIndex = 0; //!< Position in the order.
        Utils::TimePoint lastActionAt {};
        bool hasActed = false;
    };

    std::optional<MitigationAction> escalate(Worker& worker, double ratio, Utils::TimePoint now);
    std::optional<MitigationAction> relax(Worker& worker, Utils::TimePoint now) const;

    Parameters parameters_;
    std::unordered_map<WorkerIndex, Worker> workers_;
    std::deque<Utils::TimePoint> evictionTimes_; //!< Within the last minute.
};

} // namespace Placement
