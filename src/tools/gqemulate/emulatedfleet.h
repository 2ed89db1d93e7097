#pragma once

#include "emulatedevacuations.h"
#include "emulatednode.h"
#include "emulatedowner.h"
#include "emulatedplatform.h"
#include "fleetscenario.h"
#include "fleetworkload.h"
#include "invariantchecker.h"
#include "virtualtime.h"
#include "waitchecker.h"

#include "fleet/scheduleroutput.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Emulate {

/*!
    Emulates a fleet of several shards in virtual time: nodes that own shards with the real schedulers, calls
    between them, the workers, the rows of the store and the callers.
*/
class EmulatedFleet {
public:
    using AnswerHandler = EmulatedOwner::AnswerHandler;

    explicit EmulatedFleet(const FleetScenario& scenario);
    ~EmulatedFleet();

    /*! Advances the emulation by one tick to \p nowMs. */
    void advance(std::int64_t nowMs);

    /*! Checks that all jobs that end have ended. */
    void checkEnd();

    FleetResult result() const;

    const FleetScenario& scenario() const { return scenario_; }
    VirtualTime& time() { return time_; }
    std::int64_t nowMs() const { return time_.nowMs(); }
    EmulatedPlatform& platform() { return platform_; }
    EmulatedNode& node(std::size_t number) { return nodes_[number]; }
    std::size_t countAliveNodes() const;
    bool isStoreReachable(std::size_t node) const { return nodes_[node].isStoreReachable; }

    /*! \return the job records of a shard in the store. */
    const std::map<std::string, FleetSchema::JobRecord>& rows(std::size_t shard) const
    {
        return shards_[shard].rows;
    }

    enum class StoreOutcome {
        Stored,
        StoredBefore, //!< An earlier copy of the transaction was stored, whose answer was lost.
        TakenOver, //!< Another node has taken the shard over, so that nothing was stored.
    };

    /*!
        Stores a transaction.

        \param record the owner row.
        \param batch the job records.
    */
    StoreOutcome store(
        std::size_t shard, const FleetSchema::ShardRecord& record, const Fleet::RecordBatch& batch);

    /*! \return the store's clock. */
    std::int64_t storeMs() const { return nowMs() + storeClockOriginMs; }

    /*! Answer of the former owner of a shard about the leases that it granted. */
    struct FormerOwnerAnswer {
        bool hasProcessEnded = false; //!< The node runs another process now.
        std::optional<Fleet::LeaseEnds> leaseEnds; //!< Empty if they are not known.
        std::vector<FleetSchema::EndedTask> unstoredEnds;
    };

    /*!
        Asks the node of a former owner until when attempts can run on the workers, which closes that owner.

        \param onAnswer receives the answer; not called if the node does not answer.
    */
    void askFormerOwner(
        const std::shared_ptr<EmulatedOwner>& former, std::function<void(const FormerOwnerAnswer&)> onAnswer);

    /*! Tells the other nodes of a new owner. */
    void announce(const EmulatedOwner& owner);

    /*! Passes a released shard to another node. */
    void onReleased(std::size_t shard, std::size_t formerNode);

    /*!
        Calls the owner of a shard as \p node knows it.

        \param deliver passes the call to the owner.
        \param onAnswer receives the answer; not called if the call or its answer is lost.
    */
    void callShard(std::size_t node, const std::string& shard,
        std::function<void(EmulatedOwner&, AnswerHandler)> deliver, AnswerHandler onAnswer);

    /*! Records that a start was ordered. */
    void onStartOrdered(const Ports::TaskKey& task, const std::string& worker, std::size_t shard);

    /*! Records that the owner knows whether a start was carried out. */
    void onStartResolved(const Ports::TaskKey& task, const std::string& worker)
    {
        waitChecker_.onStartResolved(task, worker);
    }

    /*! \return the worker's reply, or nothing if it does not answer. */
    std::optional<Ports::CommandReply> startOnWorker(
        const std::string& worker, const Ports::StartCommand& command, std::size_t shard);

    /*!
        Lets a call that came while its worker was down be carried out later, as far as connections to workers
        are of such a kind. Its answer is lost.
    */
    void repeatOnceUp(const std::string& worker, std::function<void(FleetWorker&)> call);

    /*! Records the steps of a pass or tick. */
    void onPass(std::size_t steps) { longestPassSteps_ = std::max(longestPassSteps_, steps); }

    void countDelegation() { ++delegationCount_; }

    static std::string shardName(std::size_t shard) { return "shard" + std::to_string(shard); }
    static std::size_t shardNumber(const std::string& name) { return std::stoul(name.substr(5)); }

private:
    Ports::CommandReply carryOutStart(FleetWorker& worker, const std::string& id,
        const Ports::StartCommand& command, std::size_t shard, bool isRepeated);
    static constexpr std::int64_t nodeTimeoutMs = 2500;
    // The store's clock must not start at 0, which stands for an unknown time.
    static constexpr std::int64_t storeClockOriginMs = 1'000'000;

    static constexpr std::int64_t tickMs = 10;
    static constexpr int callerAttempts = 60;

    /*! Requested or offered resources. */
    struct Demand {
        std::int64_t milliProcessors = 0;
        std::int64_t memoryMb = 0;

        void add(const FleetSchema::StepSpec& step, std::int64_t factor);
    };

    struct StoredShard {
        std::map<std::string, FleetSchema::JobRecord> rows;
        FleetSchema::ShardRecord record; //!< The owner row.
        std::shared_ptr<EmulatedOwner> owner; //!< Latest owner, which may be down.
        std::int64_t takenOverMs = 0;
        std::vector<WaitChecker::OwnerChange> changes;
        std::int64_t ableSinceMs = -1; //!< Since when the owner can act; -1 if it cannot.
    };

    void applyFaults();
    void setFaultActive(const FleetFault& fault, bool isActive);
    void killNode(std::size_t node);
    void restartNode(std::size_t node);
    void heartbeat(std::size_t node);
    void planOwnership();
    void claim(std::size_t shard, std::size_t node);
    bool hasHeartbeat(const EmulatedNode& node) const;
    bool canAct(std::size_t node) const;
    std::shared_ptr<EmulatedOwner> ownerKnownTo(std::size_t node, const std::string& shard) const;
    void submitJobs();
    void submitFullLoad();
    void cancelExcess();
    Demand usableCapacity() const;
    bool isJudgingOwners() const;
    void checkLeases(const FleetWorker& worker);
    void checkTakeover(const EmulatedOwner& former);
    void forwardSubmission(const FleetSchema::JobSpec& spec, const std::string& shard, int attempts);
    void cancelLater(const std::string& job, const std::string& shard, std::int64_t delayMs);
    void checkWaits();
    void updateShardStates();
    bool isCallLost();
    void readEvacuations();

    FleetScenario scenario_;
    VirtualTime time_;
    EmulatedPlatform platform_;
    EmulatedEvacuations evacuations_;
    FleetWorkload workload_;
    InvariantChecker checker_;
    WaitChecker waitChecker_;
    std::vector<EmulatedNode> nodes_;
    std::vector<StoredShard> shards_;
    std::vector<std::shared_ptr<EmulatedOwner>> owners_; //!< All owners that have not closed.
    std::vector<std::pair<FleetSchema::JobSpec, std::string>> fullLoadJobs_; //!< With their shards.
    Demand fullLoad_; //!< Of these jobs.
    std::vector<std::string> ownerViolations_;
    std::size_t longestPassSteps_ = 0;
    std::set<std::string> accepted_; //!< Jobs whose acceptance was answered.
    std::set<std::string> cancelled_; //!< Jobs whose cancellation was requested.
    std::int64_t lastFaultMs_ = -100'000; //!< Latest time at which a fault was active.
    int activeFaults_ = 0;
    int activeCallLosses_ = 0;
    std::size_t startCount_ = 0;
    std::size_t delegationCount_ = 0;
};

} // namespace Emulate
