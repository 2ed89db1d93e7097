#pragma once

#include "fleetscenario.h"

#include "fleet/scheduleroutput.h"
#include "fleet/shardscheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Emulate {

class EmulatedFleet;

/*! One ownership of one shard by one node, with the real scheduler. */
class EmulatedOwner final : public std::enable_shared_from_this<EmulatedOwner>,
                            private Fleet::SchedulerOutput {
public:
    using AnswerHandler = std::function<void(const Fleet::JobAnswer&)>;

    /*!
        \param formerRenewal time for which former owners may still renew leases of workers.
        \param formerLeaseEnds stated by the owner that released the shard.
    */
    EmulatedOwner(EmulatedFleet& fleet, std::size_t node, std::size_t shard, std::uint64_t epoch,
        Utils::Duration formerRenewal, Fleet::LeaseEnds formerLeaseEnds);
    ~EmulatedOwner() override;

    /*! Loads the shard's jobs from the store and starts to serve. */
    void load();

    /*! Advances the owner by one tick. */
    void advance();

    /*! Stops accepting work, stores what is left, and then gives the shard up. */
    void release() { isReleasing_ = true; }

    /*! Ends this ownership without further effects. */
    void close() { isClosed_ = true; }

    /*! Answers with the outcome of a call; \p handler runs once the change is stored. */
    void submit(const FleetSchema::JobSpec& spec, AnswerHandler handler);
    void cancel(const std::string& job, AnswerHandler handler);
    void acceptDelegatedTask(const FleetSchema::TaskTransfer& transfer, AnswerHandler handler);
    void acceptTaskResult(const FleetSchema::TaskResult& result, AnswerHandler handler);
    void cancelHostedTasks(const FleetSchema::JobSpec& spec, AnswerHandler handler);

    /*! \return until when attempts can run on workers; valid once the shard is released. */
    const Fleet::LeaseEnds& releasedLeaseEnds() const { return releasedLeaseEnds_; }

    std::size_t node() const { return node_; }
    std::size_t shard() const { return shard_; }
    std::uint64_t epoch() const { return epoch_; }
    bool isClosed() const { return isClosed_; }
    bool isServing() const { return isLoaded_ && !isClosed_; }
    //! Longest time for which an owner that cannot store anything renews leases.
    static constexpr std::int64_t orphanGraceMs = 12'000;

    std::int64_t loadedMs() const { return loadedMs_; } //!< Valid if the owner serves.
    FleetSchema::ShardLoad currentLoad() const;

private:
    void startAttempt(const Fleet::AttemptStart& start) override;
    void stopAttempt(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt) override;
    void throttleAttempt(
        const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt, int percent) override;
    std::string findShardWithCapacity(
        const FleetSchema::JobSpec& spec, std::uint32_t step, Utils::Duration waited) override;
    void delegateTask(const std::string& shard, const FleetSchema::TaskTransfer& transfer) override;
    void cancelDelegatedTasks(const std::string& shard, const FleetSchema::JobSpec& job) override;
    void sendTaskResult(const std::string& originShard, const FleetSchema::TaskResult& result) override;
    void attemptEnded(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        std::string_view reason) override;
    void capacityChanged(const Fleet::CapacityChange&) override { }
    void workerCrashed(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        std::uint32_t crashes) override;
    void taskWaiting(const Fleet::WaitReport& report) override;
    void jobEnded(const Fleet::JobSummary& summary) override;
    void answer(std::uint64_t ticket, const Fleet::JobAnswer& answer) override;

    void runLater(std::int64_t delayMs, std::function<void()> function);
    void restoreJobs();
    void readWorkerList();
    void pollWorkers();
    void poll(const std::string& id);
    void commit();
    void storeBatch(const std::shared_ptr<Fleet::RecordBatch>& batch, bool isLast);
    void trace(const Ports::TaskKey& task, const std::string& event) const;
    std::uint64_t addHandler(AnswerHandler handler);

    EmulatedFleet& fleet_;
    std::size_t node_;
    std::size_t shard_;
    std::uint64_t epoch_;
    Utils::Duration formerRenewal_;
    Fleet::LeaseEnds formerLeaseEnds_;
    Fleet::LeaseEnds releasedLeaseEnds_; //!< At the time of the release.
    std::unique_ptr<Fleet::ShardScheduler> scheduler_;
    std::map<std::string, std::int64_t> nextPollMs_; //!< By worker with a known address.
    std::map<std::uint64_t, AnswerHandler> answerHandlers_;
    std::uint64_t nextTicket_ = 1;
    bool isLoaded_ = false;
    bool isClosed_ = false;
    bool isReleasing_ = false;
    bool isReleaseSent_ = false;
    bool isCommitting_ = false;
    std::int64_t loadedMs_ = 0;
    std::int64_t listReadMs_ = -1; //!< Time at which the list of workers was last read; -1: never.
    std::int64_t confirmedMs_ = 0; //!< Time of the latest stored transaction.
    std::int64_t nextRoundMs_ = 0;
};

} // namespace Emulate
