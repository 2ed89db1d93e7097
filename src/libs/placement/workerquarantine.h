#pragma once

#include "taskrequest.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Placement {

/*!
    Quarantines workers that fail everything they start, and probes them later.

    A worker is quarantined after a number of consecutive failures. Failures of a job that has failed on
    several workers and succeeded on none are attributed to the job and do not count. Only a limited share of
    the workers is quarantined at the same time. After a delay one task is started on the worker as a probe,
    and its outcome decides whether the quarantine ends.
*/
class WorkerQuarantine {
public:
    struct Parameters {
        int failureThreshold = 5; //!< Consecutive failures after which a worker is quarantined.
        double maxQuarantinedShare
            = 0.1; //!< Maximum share of the workers in quarantine, 0 to 1; one worker is always allowed.
        Utils::Duration firstProbeDelay = std::chrono::seconds(30); //!< Doubled after each failed probe.
        Utils::Duration maxProbeDelay = std::chrono::minutes(16); //!< Limit of the doubled delay.
        std::size_t minWorkersOfFailingJob
            = 3; //!< Number of workers on which a job must have failed to be considered at fault.
    };

    WorkerQuarantine();

    explicit WorkerQuarantine(const Parameters& parameters);

    void setWorkerCount(std::size_t count) { workerCount_ = count; }

    /*! Records a failed attempt. \return true if the worker is quarantined after it. */
    bool onFailure(WorkerIndex worker, std::string_view job, Utils::TimePoint now);

    /*! Records a successful attempt, which ends the worker's quarantine. */
    void onSuccess(WorkerIndex worker, std::string_view job);

    /*! Discards the state of a worker that was removed. */
    void removeWorker(WorkerIndex worker);

    /*! Discards the state of a job that has ended. */
    void removeJob(std::string_view job);

    /*! \return whether \p worker is quarantined, with or without a running probe. */
    bool isQuarantined(WorkerIndex worker) const;

    /*! \return the quarantined workers whose probe delay is over and that have no running probe. */
    std::vector<WorkerIndex> workersDueForProbe(Utils::TimePoint now) const;

    void onProbeStarted(WorkerIndex worker);

    /*! Records an attempt that was ended without a result, so that the worker can be probed again. */
    void onInterrupted(WorkerIndex worker);

    std::size_t quarantinedCount() const { return quarantined_.size(); }

private:
    struct Worker {
        int consecutiveFailures = 0;
        bool isQuarantined = false;
        bool isProbing = false;
        Utils::Duration probeDelay {};
        Utils::TimePoint probeAt {};
    };

    struct Job {
        std::set<WorkerIndex> failedOn;
        bool hasSucceeded = false;
    };

    bool recordJobFailure(std::string_view job, WorkerIndex worker);

    Parameters parameters_;
    std::size_t workerCount_ = 0;
    std::unordered_map<WorkerIndex, Worker> workers_; //!< Workers with failures since their last success.
    std::set<WorkerIndex> quarantined_;
    std::map<std::string, Job, std::less<>> jobs_;
};

} // namespace Placement
