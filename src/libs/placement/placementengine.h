#pragma once

#include "taskrequest.h"
#include "teamquotas.h"
#include "workerload.h"
#include "workerquarantine.h"

#include "utils/result.h"

#include <memory>
#include <random>
#include <span>
#include <string_view>

namespace Placement {

class CapacityLedger;

namespace Internal {
class EngineState;
}

/*! Properties of a worker from the VM list. */
struct WorkerDescription {
    std::string name;
    std::string region;
    std::string domain; //!< Failure domain.
    std::string rack;
    Resources capacity;
};

/*! Worker that was chosen for a task, and the capacity committed there. */
struct PlacedTask {
    WorkerIndex worker = 0;
    Resources committed;
};

/*! How an attempt ended. */
enum class AttemptOutcome {
    Succeeded,
    Failed,
    Interrupted, //!< Evicted, cancelled or lost with its worker; says nothing about the task or the worker.
};

/*! Resources that the tasks of one class were measured to use on a worker. */
struct ClassUsage {
    std::string taskClass;
    double milliProcessors = 0;
    double memoryMb = 0;
    double slowdown = 1; //!< Run time divided by the run time without colocated tasks.
};

/*! One measurement of a worker; it may arrive late. */
struct WorkerUsage {
    std::span<const ClassUsage> classes;
    std::optional<double> latencyRatio; //!< Highest ratio of tail latency to objective among its services.
    Utils::TimePoint measuredAt;
};

/*! Attempts on one worker whose eviction frees enough capacity for a task. */
struct EvictionPlan {
    WorkerIndex worker = 0;
    std::vector<AttemptId> attempts;
};

/*! A batch attempt that holds capacity, with the properties relevant to throttling and eviction. */
struct RunningAttempt {
    AttemptId attempt = 0;
    double milliProcessors = 0; //!< Expected use of processors, in thousandths.
    std::uint32_t rank = 0;
    bool isCheckpointable = false;
    Utils::TimePoint startedAt;
    double serviceSlowdown
        = 0; //!< Predicted slowdown of the services with this attempt minus the one without it.
};

/*!
    Places tasks on the workers of one owner and accounts for their capacity.

    The engine is deterministic: the time and the random source are arguments of each call. It is not
    thread-safe.
*/
class PlacementEngine {
public:
    struct Parameters {
        std::size_t batchCandidates = 12; //!< Number of workers scored for a batch task.
        std::size_t serviceCandidates = 64; //!< Number of workers scored for a service replica.
        double batchProcessorsShare
            = 0.8; //!< Maximum share of a worker's processors for batch tasks, 0 to 1.
        double batchMemoryShare = 0.8; //!< Maximum share of a worker's memory for batch tasks, 0 to 1.
        bool allowsLessThanDeclared = true; //!< Whether the expected size may be below the declared size.
        ScoreParameters score;
        WorkerQuarantine::Parameters quarantine;
    };

    explicit PlacementEngine(const Parameters& parameters);
    ~PlacementEngine();

    /*!
        Limits the capacity for batch tasks.
        \param processorsShare share of a worker's processors, 0 to 1.
        \param memoryShare share of a worker's memory, 0 to 1.
    */
    void setBatchCapacityShares(double processorsShare, double memoryShare);

    /*! \return the index of the new worker. */
    WorkerIndex addWorker(const WorkerDescription& description);

    void setCapacity(WorkerIndex worker, const Resources& capacity);

    /*! Sets whether a worker accepts new tasks; tasks that run there are not affected. */
    void setAccepting(WorkerIndex worker, bool isAccepting);

    /*!
        Reserves part of a worker in addition to the commitments.
        \param reserved capacity that is used by something this engine does not account for.
    */
    void setReserved(WorkerIndex worker, const Resources& reserved);

    /*!
        Removes a worker from the fleet. Its commitments stay until the ends of their attempts are reported.
    */
    void removeWorker(WorkerIndex worker);

    TeamQuotas& quotas();

    /*!
        Explains why a task can never run on this fleet.
        \return a message for the submitter; nothing if the task can run.
    */
    std::optional<std::string> infeasibilityReason(const TaskRequest& request) const;

    /*!
        \return a number that increases whenever the fleet changes so that infeasibilityReason() may change.
    */
    std::uint64_t fleetRevision() const;

    /*!
        Places a task and commits capacity to it.
        \return the placement; Refused if no considered worker has enough free capacity and may take the task,
                Conflict if the attempt is already placed or the quota of its team is used up.
    */
    Utils::Result<PlacedTask> place(
        const TaskRequest& request, Utils::TimePoint now, std::mt19937_64& random);

    /*!
        Commits capacity to an attempt that is already running, for example when a new owner takes over.
        \param placed the worker of the attempt and the capacity to commit to it.
        \param startedAt when the attempt started, as far as known.
        \return see CapacityLedger::commit().
    */
    Utils::Status adopt(const TaskRequest& request, const PlacedTask& placed, Utils::TimePoint startedAt);

    /*! Releases the capacity of an attempt that is known to have ended. Unknown attempts are ignored. */
    void onEnded(AttemptId attempt, AttemptOutcome outcome, Utils::TimePoint now);

    /*!
        Records that the eviction of an attempt was requested. Its capacity stays committed until its end is
        known, but no further plan counts on it. Unknown attempts are ignored.
    */
    void markEvicting(AttemptId attempt);

    /*! Updates the size estimates, the interference model and the load of a worker from a measurement. */
    void onUsage(WorkerIndex worker, const WorkerUsage& usage);

    /*! Records that the batch tasks of a worker are throttled to a share of their processors. */
    void setThrottleShare(WorkerIndex worker, double share);

    /*! \return the batch attempts on a worker whose eviction is not requested yet, in no particular order. */
    std::vector<RunningAttempt> batchAttempts(WorkerIndex worker) const;

    /*!
        Chooses batch attempts of a less urgent rank whose eviction loses the least work and frees enough
        capacity for a task.
        \return the plan; nothing if evictions on no considered worker free enough capacity.
    */
    std::optional<EvictionPlan> planEviction(
        const TaskRequest& request, Utils::TimePoint now, std::mt19937_64& random) const;

    /*! \return the run time of a task as estimated from earlier tasks of its class. */
    Utils::Duration expectedRunTime(const TaskRequest& request) const;

    /*! \return the predicted ratio of tail latency to objective for the current load of \p worker. */
    double predictedLatencyRatio(WorkerIndex worker) const;

    const CapacityLedger& ledger() const;

    const WorkerQuarantine& quarantine() const;

private:
    std::unique_ptr<Internal::EngineState> private_;
};

} // namespace Placement
