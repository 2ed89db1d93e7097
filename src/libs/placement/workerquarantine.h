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
    Sets workers aside that fail everything they start, and probes them later.

    A worker is set aside after a number of failures in a row. Failures of a job that has failed on several
    workers and succeeded on none are the job's own and do not count. No more than a share of the workers
    is aside at once. After a delay one task is let through as a probe; its end decides.
*/
class WorkerQuarantine {
public:
    /*! Settings. */
    struct Parameters {
        int failureThreshold = 5; //!< Failures in a row after which a worker is set aside.
        double maxQuarantinedShare = 0.1; //!< Share of the workers that may be aside; one worker always may.
        Utils::Duration firstProbeDelay
            = std::chrono::seconds(30); //!< Delay of the first probe; doubled each time.
        Utils::Duration maxProbeDelay = std::chrono::minutes(16); //!< Bound on that delay.
        std::size_t minWorkersOfFailingJob = 3; //!< Workers on which a job must fail to be at fault itself.
    };

    WorkerQuarantine();

    /*! \param parameters settings. */
    explicit WorkerQuarantine(const Parameters& parameters);

    /*! \param count number of workers in the fleet. */
    void setWorkerCount(std::size_t count) { workerCount_ = count; }

    /*!
        Counts a failed attempt.
        \param worker where it failed.
        \param job its job.
        \param now the current time.
        \return true if the worker is aside now.
    */
    bool onFailure(WorkerIndex worker, std::string_view job, Utils::TimePoint now);

    /*!
        Counts a successful attempt; it ends the worker's quarantine.
        \param worker where it succeeded.
        \param job its job.
    */
    void onSuccess(WorkerIndex worker, std::string_view job);

    /*!
        Forgets a worker.
        \param worker the worker, gone for good.
    */
    void removeWorker(WorkerIndex worker);

    /*!
        Forgets a job.
        \param job the job, ended for good.
    */
    void removeJob(std::string_view job);

    /*! \return whether \p worker is aside, be it with a probe or without. */
    bool isQuarantined(WorkerIndex worker) const;

    /*!
        Workers that may be given one task as a probe.
        \param now the current time.
        \return workers whose delay is over and that have no probe running.
    */
    std::vector<WorkerIndex> workersDueForProbe(Utils::TimePoint now) const;

    /*!
        Notes that a probe has been started.
        \param worker the worker.
    */
    void onProbeStarted(WorkerIndex worker);

    /*! \return number of workers aside. */
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
    std::unordered_map<WorkerIndex, Worker> workers_; //!< Those with failures since their last success.
    std::set<WorkerIndex> quarantined_;
    std::map<std::string, Job, std::less<>> jobs_;
};

} // namespace Placement
