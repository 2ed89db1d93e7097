#pragma once

#include "fleetscenario.h"
#include "simulatedworker.h"
#include "virtualtime.h"

#include "ports/workerinfo.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Emulate {

/*! A worker of the emulated fleet with its entry in the list of workers. */
struct FleetWorker {
    SimulatedWorker simulated;
    std::size_t shard = 0;
    std::int64_t drainMs = -1; //!< Start of the drain; -1 if the worker does not drain.
    std::int64_t drainListedMs = -1; //!< Time from which the list shows the drain.
    std::int64_t leaveMs = -1;
    std::int64_t unlistedFromMs = -1; //!< Start of the absence from the list; -1 if there is none.
    std::int64_t unlistedUntilMs = -1; //!< End of the absence; -1: for good.
    std::int64_t unansweredSinceMs = -1; //!< Since when the worker does not answer; -1 if it does.

    bool isSilent = false; //!< Its host is gone, so that calls to it are not refused.
    bool hasCrashed = false; //!< It has crashed and has not started again.
    bool isCutOff = false; //!< It runs, but calls to it are refused, or their answers are lost.
    bool losesAnswersOnly = false; //!< While it is cut off, it carries out calls.
    bool isEvacuated = false; //!< The operator has evacuated its failure domain.
    std::int64_t failsUntilMs = -1; //!< Time until which it fails what it starts.
    int failurePercent = 0; //!< Probability with which it does so.

    bool isFailing(std::int64_t nowMs) const { return nowMs < failsUntilMs; }

    /*! \return whether the worker carries out calls. */
    bool carriesOutCalls() const
    {
        return simulated.isUp && simulated.isReachable && (!isCutOff || losesAnswersOnly);
    }

    /*! \return whether callers get its answers. */
    bool answers() const { return carriesOutCalls() && !isCutOff; }

    /*! \return whether calls to the worker are refused. */
    bool refusesCalls() const { return (isCutOff && !losesAnswersOnly) || (!simulated.isUp && !isSilent); }

    /*! \return whether new attempts may be expected to run on the worker. */
    bool isUsable(std::int64_t nowMs) const
    {
        return answers() && drainMs < 0 && !isEvacuated && !simulated.failsAllTasks && !isFailing(nowMs)
            && isListed(nowMs);
    }

    bool isListed(std::int64_t nowMs) const
    {
        const bool isAbsent = unlistedFromMs >= 0 && nowMs >= unlistedFromMs
            && (unlistedUntilMs < 0 || nowMs < unlistedUntilMs);
        return !isAbsent;
    }
};

/*! The workers of a fleet: their starts, drains, departures and failures, and the list of them. */
class EmulatedPlatform {
public:
    EmulatedPlatform(
        VirtualTime& time, std::size_t shardCount, std::size_t workersPerShard, bool honorsEpochs);

    /*! Applies a fault of a worker or of a shard's workers. */
    void setFaultActive(const FleetFault& fault, bool isActive);

    /*! Sets whether the workers of a shard are evacuated, so that they count as unusable. */
    void setEvacuated(std::size_t shard, bool isEvacuated);

    /*! Advances all workers to the present time. */
    void advance();

    /*! Lets attempts take time to stop. */
    void setStopDurationLimit(std::int64_t limitMs);

    /*! Lets calls to workers that have left fail without showing that no worker runs there. */
    void setSilentDepartures() { hasSilentDepartures_ = true; }

    /*! \return whether a worker has crashed and has not started again. */
    bool hasCrashedWorkers() const;

    /*! \return the list of the shard's workers. */
    std::vector<Ports::WorkerInfo> listWorkers(std::size_t shard) const;

    /*! \return the worker, which may have left, or nullptr if there was none of this name. */
    FleetWorker* findWorker(const std::string& id);

    const std::map<std::string, std::unique_ptr<FleetWorker>>& workers() const { return workers_; }

private:
    void addWorker(std::size_t shard);
    void drain(FleetWorker& worker);
    void onCrashed(FleetWorker& worker, std::int64_t maxDownMs);
    void crashWorkers(const FleetFault& fault);
    void shrinkCapacities(const FleetFault& fault);
    void cutOffWorkers(const FleetFault& fault);
    void cutOff(FleetWorker& worker, std::int64_t durationMs, bool losesAnswersOnly);
    void loseWorkers(const FleetFault& fault);
    void restartWorkers(const FleetFault& fault);
    void failWorkers(const FleetFault& fault);
    void drainWorkers(const FleetFault& fault);
    void replaceWorkers(const FleetFault& fault, bool isActive);
    void setWorkerFaultActive(FleetWorker& worker, FleetFaultKind kind, bool isActive);
    std::vector<FleetWorker*> stableWorkers(std::size_t shard);
    FleetWorker* anyStableWorker(std::size_t number);
    void breakGangs();

    VirtualTime& time_;
    std::size_t shardCount_;
    bool honorsEpochs_;
    std::set<std::size_t> evacuatedShards_;
    std::int64_t stopDurationLimitMs_ = 0;
    bool hasSilentDepartures_ = false;
    std::size_t nextNumber_ = 0;
    std::map<std::string, std::unique_ptr<FleetWorker>> workers_;
    std::map<const void*, std::string> faultTargets_; //!< Worker that an active fault affects.
    std::map<std::pair<Ports::TaskKey, std::uint32_t>, std::int64_t> incompleteGangs_;
};

} // namespace Emulate
