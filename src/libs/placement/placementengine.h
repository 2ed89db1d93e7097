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

/*! A worker as the VM list describes it. */
struct WorkerDescription {
    std::string name;
    std::string region;
    std::string domain; //!< Failure domain.
    std::string rack;
    Resources capacity;
};

/*! Where a task goes, and what it has been given there. */
struct PlacedTask {
    WorkerIndex worker = 0;
    Resources committed;
};

/*! How an attempt ended. */
enum class AttemptOutcome {
    Succeeded,
    Failed,
    Interrupted, //!< Checkpointed, stopped, cancelled or lost with its worker; says nothing of task or
                 //!< worker.
};

/*! What a worker measured of the tasks of one class. */
struct ClassUsage {
    std::string taskClass;
    double milliProcessors = 0;
    double memoryMb = 0;
    double slowdown = 1; //!< Run time divided by the run time alone.
};

/*! One lagging measurement of a worker. */
struct WorkerUsage {
    std::span<const ClassUsage> classes;
    std::optional<double> latencyRatio; //!< Worst tail latency over objective of its services.
    Utils::TimePoint measuredAt;
};

/*! Attempts of one worker that make room for a task if they end. */
struct EvictionPlan {
    WorkerIndex worker = 0;
    std::vector<AttemptId> attempts;
};

/*! An attempt that holds capacity, as far as giving way is concerned. */
struct RunningAttempt {
    AttemptId attempt = 0;
    double milliProcessors = 0; //!< What it is expected to use.
    std::uint32_t rank = 0;
    bool isCheckpointable = false;
    Utils::TimePoint startedAt;
    double serviceSlowdown = 0; //!< Predicted slowdown of the services without it, less than with it.
};

/*!
    Places tasks on the workers of one owner and keeps account of them.

    Deterministic: time and random source come in with each call. Used by one thread at a time.
*/
class PlacementEngine {
public:
    /*! Settings. */
    struct Parameters {
        std::size_t batchCandidates = 12; //!< Workers rated for a batch task.
        std::size_t serviceCandidates = 64; //!< Workers rated for a service replica.
        double batchProcessorsShare = 0.8; //!< Share of a worker's processors batch work may be given.
        double batchMemoryShare = 0.8; //!< Share of a worker's memory batch work may be given.
        bool allowsLessThanDeclared = true; //!< Whether the corrected size may be below the declared one.
        ScoreParameters score;
        WorkerQuarantine::Parameters quarantine;
    };

    /*! \param parameters settings. */
    explicit PlacementEngine(const Parameters& parameters);
    ~PlacementEngine();

    /*!
        Sets the room of batch work.
        \param processorsShare share of a worker's processors, 0 to 1.
        \param memoryShare share of a worker's memory, 0 to 1.
    */
    void setBatchCapacityShares(double processorsShare, double memoryShare);

    /*!
        Adds a worker.
        \param description the worker.
        \return its number.
    */
    WorkerIndex addWorker(const WorkerDescription& description);

    /*!
        Replaces the capacity of a worker.
        \param worker the worker.
        \param capacity what it has now.
    */
    void setCapacity(WorkerIndex worker, const Resources& capacity);

    /*!
        Lets a worker take tasks or not.
        \param worker the worker.
        \param accepts false while it leaves; what runs there goes on.
    */
    void setAccepting(WorkerIndex worker, bool isAccepting);

    /*!
        Keeps part of a worker from being given, beside what is committed.
        \param worker the worker.
        \param withheld amounts that are used in ways of which this engine has no account.
    */
    void setReserved(WorkerIndex worker, const Resources& reserved);

    /*!
        Takes a worker out of the fleet. Its commitments stay until their attempts are told to have ended.
        \param worker the worker.
    */
    void removeWorker(WorkerIndex worker);

    /*! \return quotas of the teams. */
    TeamQuotas& quotas();

    /*!
        Why a task can never run on this fleet.
        \param request the task.
        \return a sentence for the submitter; nothing if the task can run.
    */
    std::optional<std::string> infeasibilityReason(const TaskRequest& request) const;

    /*! \return a number that is raised whenever answers of whyNever() may have changed by the fleet. */
    std::uint64_t fleetRevision() const;

    /*!
        Places a task and commits what it is given.
        \param request the task.
        \param now the current time.
        \param random the random source.
        \return where it goes; Refused if no worker has room, Conflict if the attempt is placed already or
                the quota of its team is used up.
    */
    Utils::Result<PlacedTask> place(
        const TaskRequest& request, Utils::TimePoint now, std::mt19937_64& random);

    /*!
        Takes over an attempt that runs already, as found by a new owner.
        \param request the task.
        \param placed where it runs and what it has been given.
        \param startedAt when it started, as far as known.
        \return as CapacityLedger::commit().
    */
    Utils::Status adopt(const TaskRequest& request, const PlacedTask& placed, Utils::TimePoint startedAt);

    /*!
        Ends an attempt that is known to have ended. Unknown attempts are ignored.
        \param attempt the attempt.
        \param end how it ended.
        \param now the current time.
    */
    void onEnded(AttemptId attempt, AttemptOutcome outcome, Utils::TimePoint now);

    /*!
        Notes that an attempt has been told to leave. Its capacity stays committed until its end is known, but
        no further plan counts on it.
        \param attempt the attempt; unknown ones are ignored.
    */
    void markEvicting(AttemptId attempt);

    /*!
        Learns from a measurement.
        \param worker the worker.
        \param usage the measurement.
    */
    void onUsage(WorkerIndex worker, const WorkerUsage& usage);

    /*!
        Notes the throttling of a worker.
        \param worker the worker.
        \param share share of their processors that its batch tasks have.
    */
    void setThrottleShare(WorkerIndex worker, double share);

    /*!
        Batch attempts on a worker.
        \param worker the worker.
        \return one entry each, in no order.
    */
    std::vector<RunningAttempt> batchAttempts(WorkerIndex worker) const;

    /*!
        Chooses batch attempts of less urgent rank that lose least work if they make room for a task.
        \param request the task.
        \param now the current time.
        \param random the random source.
        \return the plan; nothing if no worker could be given room.
    */
    std::optional<EvictionPlan> planEviction(
        const TaskRequest& request, Utils::TimePoint now, std::mt19937_64& random) const;

    /*!
        Expected run time of a task, from its class's past.
        \param request the task.
        \return the corrected run time.
    */
    Utils::Duration expectedRunTime(const TaskRequest& request) const;

    /*! \return the predicted ratio of tail latency to objective on \p worker for what runs there now. */
    double predictedLatencyRatio(WorkerIndex worker) const;

    /*! \return the ledger of commitments. */
    const CapacityLedger& ledger() const;

    /*! \return the quarantine of workers. */
    const WorkerQuarantine& quarantine() const;

private:
    std::unique_ptr<Internal::EngineState> private_;
};

} // namespace Placement
