#pragma once

#include "emulatedplatform.h"

#include "ports/taskkey.h"

#include <fleet.pb.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Emulate {

/*!
    Checks at all times that no task whose turn has come waits beyond the users' bounds.

    A long-running task may be without a run for a tolerance, and after that while there is no capacity for it
    or shortly after a fault. Of other jobs, one task at least must run if the fleet has capacity for twice
   the waiting tasks and less than half of it is in use. A wait is excused while no owner of a shard of the
   job can act, and while an attempt may still run on a worker that does not answer, because its lease has not
    certainly expired.

    Judges by what runs on the workers and what the store holds, not by the state of the schedulers.
*/
class WaitChecker {
public:
    /*! A change of a shard's owner. */
    struct OwnerChange {
        std::int64_t timeMs = 0;
        std::int64_t writtenMs = 0; //!< Time of the former owner's last stored transaction.
        bool isRelease = false; //!< The former owner stored its release and renewed no leases afterwards.
    };

    /*! An active job in the shard that accepted it. */
    struct JobView {
        const FleetSchema::JobRecord* record = nullptr;
        std::size_t shard = 0;
    };

    struct ShardState {
        bool canAct = false; //!< Its owner serves and reaches the store.
        const std::vector<OwnerChange>* changes = nullptr; //!< Changes of owner, in their order.
        const std::map<std::string, FleetSchema::JobRecord>* rows = nullptr;
    };

    explicit WaitChecker(const EmulatedPlatform& platform)
        : platform_(platform)
    {
    }

    /*! Records that a start was ordered by the owner of a shard. */
    void onStartOrdered(
        const Ports::TaskKey& task, const std::string& worker, std::size_t shard, std::int64_t nowMs);

    /*! Records that the owner gets no answer to a start. */
    void onStartUnanswered(const Ports::TaskKey& task, const std::string& worker, std::int64_t nowMs);

    /*!
        Grants long-running tasks no more than the design does after the loss of a worker: 11.5 s, of which
       the fault lasts 4.5 s, with or without their owner, and 1.8 s more without room in the job's own shard.

        Only a start that was not answered excuses a longer wait: one whose worker had been silent for no
        longer than the check of a start takes, or whose owner was lost before it had the answer.
    */
    void judgeLosses() { judgesLosses_ = true; }

    /*! Records that the owner knows whether a start was carried out. */
    void onStartResolved(const Ports::TaskKey& task, const std::string& worker);

    /*! Records that the owner of a shard is lost. */
    void onOwnerLost(std::size_t shard);

    /*!
        Checks the waits of all active jobs; to be called in regular short intervals.

        \param lastFaultMs latest time at which a fault was active.
        \param areCallsLost whether calls between shards are being lost.
    */
    void check(const std::vector<JobView>& jobs, const std::vector<ShardState>& shards,
        std::int64_t lastFaultMs, bool areCallsLost, std::int64_t nowMs);

    /*! Records a job that should have ended. */
    void addUnfinished(const std::string& job, std::int64_t nowMs);

    const std::vector<std::string>& violations() const { return violations_; }
    std::size_t excusedCount() const { return excused_.size(); }
    /*! \return the longest excused wait; the job is empty if there was none. */
    const ExcusedWait& longestExcused() const { return longestExcused_; }
    /*! \return the greatest number of long-running tasks that waited at one check. */
    std::int64_t mostWaiting() const { return mostWaiting_; }
    std::size_t unfinishedCount() const { return unfinishedCount_; }

private:
    /*! How long a task or job has been waiting. */
    struct Wait {
        std::int64_t idleSinceMs = -1; //!< -1: it runs.
        std::int64_t unexcusedSinceMs = -1; //!< Since when it could run and there is no excuse.
        bool needsOtherShard = false; //!< Its shard had no room at times since then.
    };

    /*! Free resources of a usable worker. */
    struct FreeWorker {
        const FleetWorker* worker = nullptr;
        std::int64_t milliProcessors = 0;
        std::int64_t memoryMb = 0;
    };

    /*! Place of a task's latest start. */
    struct LatestStart {
        std::string worker;
        std::size_t shard = 0;
        std::int64_t orderedMs = 0;
        bool isUnanswered = false;
        bool isCheckedWorker = false; //!< The worker of an unanswered start fell silent after its check.
        bool isResolved = false; //!< The owner knows whether it was carried out.
        bool hasLostOwner = false; //!< The owner was lost before.
    };

    void updateFleet(std::int64_t nowMs);
    void checkLongRunning(const JobView& job, bool isCalm, std::int64_t nowMs);
    void checkOther(const JobView& job, bool areCallsLost, std::int64_t nowMs);
    void updateWait(Wait& wait, const Ports::TaskKey& key, bool mayRun, bool isExcused,
        std::int64_t toleranceMs, const std::string& rule, std::int64_t nowMs);
    bool canShardsAct(const JobView& job) const;
    std::optional<LatestStart> openAttempt(const Ports::TaskKey& key, const JobView& job, int position) const;
    bool isExcused(const Ports::TaskKey& key, const JobView& job, int position, std::int64_t nowMs) const;
    bool mayStillRun(const Ports::TaskKey& key, const JobView& job, int position, std::int64_t nowMs) const;
    std::int64_t countSlots(const Ports::TaskKey& task, const FleetSchema::StepSpec& step,
        std::optional<std::size_t> shard = std::nullopt) const;

    const EmulatedPlatform& platform_;
    bool judgesLosses_ = false;
    std::map<Ports::TaskKey, LatestStart> latestStarts_;
    std::map<Ports::TaskKey, Wait> waits_;
    std::map<Ports::TaskKey, const FleetWorker*> running_;
    std::set<std::string> runningJobs_;
    std::vector<FreeWorker> freeWorkers_;
    std::vector<ShardState> shards_;
    double useShare_ = 0; //!< Share of the usable workers' processors that running tasks request.
    std::map<std::size_t, std::int64_t> missingOfShard_; //!< The same by shard of their jobs.
    std::int64_t missingLongRunning_ = 0; //!< Long-running tasks that waited at the last check.
    std::int64_t mostWaiting_ = 0;
    std::set<std::string> reported_;
    std::set<Ports::TaskKey> excused_; //!< Tasks that waited beyond the tolerance with an excuse.
    ExcusedWait longestExcused_;
    std::vector<std::string> violations_;
    std::size_t unfinishedCount_ = 0;
};

} // namespace Emulate
