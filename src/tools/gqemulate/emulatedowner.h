#pragma once

#include "emulatedownerrow.h"
#include "fleetscenario.h"

#include "fleet/scheduleroutput.h"
#include "fleet/shardscheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Emulate {

class EmulatedFleet;

/*! One ownership of one shard by one node, with the real scheduler. */
class EmulatedOwner final : public std::enable_shared_from_this<EmulatedOwner>,
                            private Fleet::SchedulerOutput {
public:
    using AnswerHandler = std::function<void(const Fleet::JobAnswer&)>;

    EmulatedOwner(EmulatedFleet& fleet, std::size_t node, std::size_t shard);
    ~EmulatedOwner() override;

    /*!
        Takes the shard over, and then loads its jobs from the store and starts to serve.

        \param former the owner row as the former owner last wrote it.
        \param formerOwner the former owner; nullptr if there was none.
        \return the new owner row, which counts as stored at this time.
    */
    FleetSchema::ShardRecord takeOver(
        const FleetSchema::ShardRecord& former, std::shared_ptr<EmulatedOwner> formerOwner);

    /*! Advances the owner by one tick. */
    void advance();

    /*! Stops accepting work, stores what is left, and then gives the shard up. */
    void release() { isReleasing_ = true; }

    /*! Ends this ownership without further effects. */
    void close();

    /*! Runs a function, which ends with the ownership, once the node's event loop is free. */
    void runWhenFree(std::function<void()> function);

    /*! Answers with the outcome of a call; \p handler runs once the change is stored. */
    void submit(const FleetSchema::JobSpec& spec, AnswerHandler handler);
    void cancel(const std::string& job, AnswerHandler handler);
    void acceptDelegatedTask(const FleetSchema::TaskTransfer& transfer, AnswerHandler handler);
    void acceptTaskResult(const FleetSchema::TaskResult& result, AnswerHandler handler);
    void cancelHostedTasks(const FleetSchema::JobSpec& spec, AnswerHandler handler);
    void acceptPartReady(const FleetSchema::GangPart& part, const AnswerHandler& handler);
    void acceptPartStart(const FleetSchema::GangPart& part, const AnswerHandler& handler);

    /*! \return until when attempts can run on workers; empty before the end of an ownership that served. */
    const std::optional<Fleet::LeaseEnds>& finalLeaseEnds() const { return finalLeaseEnds_; }

    /*! \return the ends that may not be stored, after the shard was given up. */
    const std::vector<FleetSchema::EndedTask>& unstoredEnds() const { return unstoredEnds_; }

    std::size_t node() const { return node_; }
    std::size_t shard() const { return shard_; }
    std::uint64_t epoch() const { return row_.epoch(); }
    std::uint64_t incarnation() const { return incarnation_; }
    bool isClosed() const { return isClosed_; }
    bool isServing() const { return isLoaded_ && !isClosed_; }
    std::int64_t loadedMs() const { return loadedMs_; } //!< Valid if the owner serves.
    FleetSchema::ShardLoad currentLoad() const;

    /*! Sets what the node knows of the evacuation of the shard's domain, and until when it may rely on it. */
    void setEvacuated(bool isEvacuated, Utils::TimePoint knownUntil);

private:
    static constexpr std::int64_t storeRetryMs = 200;

    using StartHandler = std::function<void(const Utils::Result<Ports::CommandReply>&)>;

    void startAttempt(const Fleet::AttemptStart& start) override;
    void stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt) override;
    void throttleAttempt(
        const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, int percent) override;
    std::string findShardWithCapacity(const FleetSchema::JobSpec& spec, std::uint32_t step,
        Utils::Duration waited, std::span<const std::string> returnedBy) override;
    bool hasShardWithRoom(const FleetSchema::JobSpec& spec, std::uint32_t step) override;
    std::vector<Fleet::GangShare> divideGang(const FleetSchema::JobSpec& spec, std::uint32_t step,
        Utils::Duration waited, std::span<const std::string> returnedBy) override;
    void sendPartReady(const std::string& originShard, const FleetSchema::GangPart& part) override;
    void startPart(const std::string& hostShard, const FleetSchema::GangPart& part) override;
    void delegateTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer) override;
    void cancelDelegatedTasks(const std::string& shard, const FleetSchema::JobSpec& job) override;
    void sendTaskResult(const std::string& originShard, const FleetSchema::TaskResult& result) override;
    void queryOrigin(const std::string& originShard, const std::string& job) override;
    void readOrigin(const std::string& originShard, const std::string& job) override;
    void attemptEnded(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        std::string_view reason) override;
    void capacityChanged(const Fleet::CapacityChange&) override { }
    void workerCrashed(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        const Fleet::CrashCount& crashes) override;
    void quarantineChanged(const std::string& worker, Utils::Duration time) override;
    void taskWaiting(const Fleet::WaitReport& report) override;
    void workerLost(const Fleet::WorkerLoss&) override { }
    void workerRestarted(const Fleet::WorkerRestart&) override { }
    void workerUnusable(const std::string&, std::string_view, Utils::Duration) override { }
    void jobEnded(const Fleet::JobSummary& summary) override;
    void answer(std::uint64_t ticket, const Fleet::JobAnswer& answer) override;

    std::uint64_t tokenFor(const std::string& worker) const;
    bool isForbiddenProbe(const Fleet::AttemptStart& start) const;
    void startIfAnswering(
        const Fleet::AttemptStart& start, const Ports::StartCommand& command, const StartHandler& onReply);
    void sendStart(
        const std::string& worker, const Ports::StartCommand& command, const StartHandler& onReply);
    void runLater(std::int64_t delayMs, std::function<void()> function);
    void restoreJobs();
    Fleet::FormerLeases formerLeases() const;
    void askFormerOwner();
    void readWorkerList();
    void pollWorkers();
    /*! What became of a poll. */
    struct PollResult {
        std::optional<Ports::WorkerReport> report;
        std::uint64_t token = 0;
        bool isFenced = false;
        bool isAbsent = false; //!< Nothing listens at the worker's address.
        bool mustRepeat = false; //!< It carried neither lease nor acknowledgement.
    };

    void poll(const std::string& id, bool isRightAfterAnswer = false);
    static PollResult carryOutPoll(EmulatedFleet& fleet, const std::string& id, Ports::PollRequest request,
        std::int64_t connectedTo, bool isRightAfterAnswer);
    void onPollResult(const std::string& id, Utils::TimePoint sentAt, const PollResult& result);
    void tick();
    void chargePass();
    bool isBusy() const;
    void commit();
    void sendCommit();
    void storeBatch(const std::shared_ptr<Fleet::RecordBatch>& batch, bool isLast);
    void onStored(bool isLast, std::int64_t confirmedMs);
    std::int64_t ignoredStatementLease(const std::string& worker, const Fleet::PollPlan& plan);
    void trace(const Ports::TaskKey& task, const std::string& event) const;
    std::uint64_t addHandler(AnswerHandler handler);

    EmulatedFleet& fleet_;
    std::size_t node_;
    std::size_t shard_;
    std::uint64_t incarnation_; //!< Of the node's process.
    std::int64_t renewalMs_; //!< Time for which it renews leases without a stored transaction.
    EmulatedOwnerRow row_;
    bool ignoresFormerRow_ = false; //!< For FleetVariant::LeaseWaitFromTakeover.
    std::shared_ptr<EmulatedOwner> formerOwner_; //!< To be asked for its leases; nullptr: none.
    std::optional<Fleet::LeaseEnds> finalLeaseEnds_;
    std::vector<FleetSchema::EndedTask> unstoredEnds_;
    std::unique_ptr<Fleet::ShardScheduler> scheduler_;
    std::map<std::string, std::int64_t> nextPollMs_; //!< By worker with a known address.
    std::map<std::uint64_t, AnswerHandler> answerHandlers_;
    std::uint64_t nextTicket_ = 1;
    bool isLoaded_ = false;
    bool isClosed_ = false;
    bool isReleasing_ = false;
    bool isReleaseSent_ = false;
    bool isCommitting_ = false;
    bool isTickDue_ = false;
    std::int64_t loadedMs_ = 0;
    std::int64_t listReadMs_ = -1; //!< Time at which the list of workers was last read; -1: never.
    std::int64_t nextQuestionMs_ = 0; //!< To the former owner.
    Utils::TimePoint startRightEnd_
        = Utils::TimePoint::max(); //!< As far as it does not depend on evacuations.
    Utils::TimePoint evacuationKnownUntil_ = Utils::TimePoint::max();
    std::int64_t firstSentMs_ = 0; //!< Of the transaction in progress.
    std::int64_t confirmedMs_ = 0; //!< Time at which the latest stored transaction was sent.
    std::set<std::string> quarantinedWorkers_;
    std::set<Ports::TaskKey> failedTasks_;
    //! Start of the incarnation that a worker's connection leads to; 0: there is no connection.
    std::map<std::string, std::int64_t> connectedIncarnations_;
    std::map<std::string, std::int64_t> leaseLeadMs_; //!< Lease in a worker's clock less virtual time.
    std::int64_t nextRoundMs_ = 0;
};

} // namespace Emulate
