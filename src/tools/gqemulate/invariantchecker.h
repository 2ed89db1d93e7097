#pragma once

#include "simulatedworker.h"

#include <fleet.pb.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Emulate {

/*!
    Checks the guarantees to callers and workers by what workers did and what the store holds.

    Times are in virtual milliseconds.
*/
class InvariantChecker {
public:
    /*! Records a submitted job. */
    void onSubmitted(const FleetSchema::JobSpec& spec);

    /*! Records a stored cancellation. */
    void onCancellationStored(const std::string& job, std::int64_t nowMs);

    /*!
        Checks a start that a worker carried out.

        \param isDelayed whether the command was delayed or came from a former owner.
    */
    void onStarted(
        const std::string& worker, const Ports::StartCommand& command, bool isDelayed, std::int64_t nowMs);

    /*!
        Checks the capacity of a worker that has carried out a start in time.

        A capacity that has shrunk counts from a tolerance later on.
    */
    void onCapacityUsed(const SimulatedWorker& worker, const Ports::TaskKey& task, std::int64_t nowMs);

    /*! Checks a start by the shard's present owner of a task under which workers may have crashed. */
    void onStartedByOwner(const Ports::TaskKey& task, std::int64_t nowMs);

    /*! Records that a worker has crashed under these tasks, which crash workers. */
    void onCrashedUnder(const std::vector<Ports::TaskKey>& tasks);

    /*! Records ends as they happen. */
    void onEnded(const std::vector<Ports::EndedAttempt>& ends);

    /*! Records ends that the owner has acknowledged. */
    void onAcknowledged(const std::vector<Ports::EndedAttempt>& ends);

    /*! Checks that no task runs twice and no worker is over its capacity. */
    void checkWorkers(const std::vector<SimulatedWorker>& workers, std::int64_t nowMs);
    void checkWorkers(const std::vector<const SimulatedWorker*>& workers, std::int64_t nowMs);

    /*! Checks a job record stored by the shard that accepted the job. */
    void onRecordStored(const FleetSchema::JobRecord& record, std::int64_t nowMs);

    /*! \return the violated invariants, each with its time. */
    const std::vector<std::string>& violations() const { return violations_; }

private:
    bool hasCauseOfFailure(const FleetSchema::JobSpec& spec) const;
    void addViolation(const std::string& rule, const Ports::TaskKey& task, std::int64_t nowMs);

    std::map<std::string, FleetSchema::JobSpec> jobs_;
    std::map<std::string, std::int64_t> cancelledAt_;
    std::set<Ports::TaskKey> completedTasks_; //!< Tasks with a successful end, acknowledged or not.
    std::set<Ports::TaskKey> acknowledgedTasks_; //!< Tasks with an acknowledged successful end.
    std::map<Ports::TaskKey, std::uint32_t> acknowledgedFailures_;
    std::map<Ports::TaskKey, std::uint32_t> failures_; //!< Failed attempts, acknowledged or not.
    std::map<Ports::TaskKey, int> crashes_; //!< Workers that crashed under a task that crashes workers.
    std::map<Ports::TaskKey, int> startsAfterCrashes_; //!< Starts after the task was to be given up.
    std::set<std::string> reportedViolations_;
    std::vector<std::string> violations_;
};

} // namespace Emulate
