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

    /*! Records ends as they happen. */
    void onEnded(const std::vector<Ports::EndedAttempt>& ends);

    /*! Records ends that the owner has acknowledged. */
    void onAcknowledged(const std::vector<Ports::EndedAttempt>& ends);

    /*! Checks that no task runs twice and no worker is over its capacity. */
    void checkWorkers(const std::vector<SimulatedWorker>& workers, std::int64_t nowMs);
    void checkWorkers(const std::vector<const SimulatedWorker*>& workers, std::int64_t nowMs);

    /*! Checks a stored job record. */
    void onRecordStored(const FleetSchema::JobRecord& record);

    /*! \return the violated invariants, each with its time. */
    const std::vector<std::string>& violations() const { return violations_; }

private:
    void addViolation(const std::string& rule, const Ports::TaskKey& task, std::int64_t nowMs);

    std::map<std::string, FleetSchema::JobSpec> jobs_;
    std::map<std::string, std::int64_t> cancelledAt_;
    std::set<Ports::TaskKey> completedTasks_; //!< Tasks with a successful end, acknowledged or not.
    std::set<Ports::TaskKey> acknowledgedTasks_; //!< Tasks with an acknowledged successful end.
    std::map<Ports::TaskKey, std::uint32_t> acknowledgedFailures_;
    std::set<std::string> reportedViolations_;
    std::vector<std::string> violations_;
};

} // namespace Emulate
