#pragma once

#include "imagedemand.h"
#include "job.h"
#include "scheduleroptions.h"
#include "shardorders.h"
#include "worker.h"

#include "ports/workeragent.h"
#include "utils/clock.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Fleet {

struct InterferenceView;
class TailModel;

/*! Rows that one transaction of a shard's owner changes. */
struct RecordBatch {
    std::vector<std::pair<std::string, std::string>> puts; //!< Job identifier and serialized JobRecord.
    std::vector<std::string> removals; //!< Identifiers of jobs whose retention is over.
};

/*! A poll that the scheduler wants sent. */
struct PollPlan {
    std::int64_t leaseUntilMs = 0; //!< On the worker's clock; 0: do not renew.
    std::uint64_t acknowledged = 0;
    bool isKnown = false; //!< The worker has reported before.
    bool hasTasks = false; //!< Attempts are open there.
};

/*!
    Decides about the jobs and workers of one shard while it is owned; does no I/O.

    An attempt is recorded in the store before it is sent, an end before it is acknowledged, and a job's state
   before a caller is told, so what a successor loads is never behind what the outside has seen. takeBatch()
   and onCommitted() bracket each transaction; there is at most one at a time.

    A task whose attempt is open is started again only when the attempt is known to have ended: by a reported
   end, by a report that must list it and does not, by a refusal, or because the worker's lease has surely
   lapsed.
*/
class ShardScheduler {
public:
    /*!
        \param options time limits.
        \param orders receives the orders; must outlive the scheduler.
        \param tailModel what is known of interference; must outlive the scheduler.
    */
    ShardScheduler(SchedulerOptions options, ShardOrders& orders, TailModel& tailModel);
    ~ShardScheduler();

    /*! Loads a job that the store holds. \param record the job. \param now,nowUnixMs the current time. */
    void restore(const FleetSchema::JobRecord& record, Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! Takes in the list of the shard's workers. \param workers all that are listed. \param now the current
     * time. */
    void setWorkers(const std::vector<Ports::WorkerInfo>& workers, Utils::TimePoint now);

    /*!
        Takes a submission; it is answered once it is stored.
        \param spec a checked specification.
        \param ticket names the submission.
        \param now,nowUnixMs the current time.
    */
    void submit(
        const FleetSchema::JobSpec& spec, std::uint64_t ticket, Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! Cancels a job; answered once it is stored. \param id the job. \param ticket names the cancellation.
        \param nowUnixMs time of day. */
    void cancel(std::string_view id, std::uint64_t ticket, std::int64_t nowUnixMs);

    /*! Takes over a task that another shard lends; answered once it is stored.
        \param transfer the task. \param ticket names the call. \param now the current time. */
    void adopt(const FleetSchema::TaskTransfer& transfer, std::uint64_t ticket, Utils::TimePoint now);

    /*! Cancels what this shard was lent of a job, or is lent yet: a call that lends may arrive after the one
       that cancels. Answered once it is stored. \param spec the job. \param ticket names the call. \param
       now,nowUnixMs the current time. */
    void cancelPart(
        const FleetSchema::JobSpec& spec, std::uint64_t ticket, Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! Takes in that another shard has stored a lent task. \param transfer as given to
       ShardOrders::lendTask(). \param shard the other shard. */
    void onLendAnswered(const FleetSchema::TaskTransfer& transfer, const std::string& shard);

    /*! Takes in that another shard has stored the cancellation of its part of a job. \param job the job.
        \param shard the other shard. */
    void onPartCancelled(const std::string& job, const std::string& shard);

    /*! \param id a job. \return its stored state, or nothing if the shard does not hold it. */
    std::optional<FleetSchema::JobState> state(std::string_view id) const;

    /*!
        Assigns waiting tasks to workers.
        \param now,nowUnixMs the current time.
    */
    void schedule(Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! \return the changes that are not stored yet, or nothing; onCommitted() must follow before the next
     * call. */
    std::optional<RecordBatch> takeBatch(std::int64_t nowUnixMs);

    /*! Tells that the batch is stored: answers callers, sends starts, allows acknowledgements.
        \param now the current time. */
    void onCommitted(Utils::TimePoint now);

    /*! \param worker a worker. \param now the current time. \param mayRenew whether the owner's right to
       renew leases holds. \return what to ask of the worker; the lease counts as given from now on. */
    PollPlan planPoll(const std::string& worker, Utils::TimePoint now, bool mayRenew);

    /*! Takes in a report. \param worker who. \param sentAt when the poll was sent. \param report what it
       said. \param now the current time. */
    void onReport(const std::string& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report,
        Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! Takes in that a poll got no answer. \param worker who. */
    void onPollFailed(const std::string& worker);

    /*! Takes in the answer to a start. \param worker who. \param task,attempt what. \param reply the answer
       or error. \param now the current time. */
    void onStartReply(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        const Utils::Result<Ports::CommandReply>& reply, Utils::TimePoint now);

    /*! Takes in the answer to a stop; parameters as for onStartReply(). */
    void onStopReply(const std::string& worker, const Ports::TaskKey& task, std::uint32_t attempt,
        const Utils::Result<Ports::CommandReply>& reply, Utils::TimePoint now);

    /*! Carries out what depends on time only. \param now,nowUnixMs the current time. */
    void onTick(Utils::TimePoint now, std::int64_t nowUnixMs);

    /*! \return the load for other nodes. */
    FleetSchema::ShardLoad load() const;

    /*! \return whether something waits to be stored. */
    bool hasChanges() const { return !dirtyJobs_.empty() || !expired_.empty(); }

    /*! \param id a job. \return whether the shard holds it, stored or not. */
    bool knowsJob(std::string_view id) const { return jobs_.contains(id); }

    /*! \return whether schedule() has something to look at. */
    bool isScheduleDue() const { return isScheduleDue_; }

    /*! \param worker a worker. \return whether it is listed or has an open attempt. */
    bool knowsWorker(const std::string& worker) const { return workers_.contains(worker); }

private:
    struct Inflight; //!< The batch being stored.
    struct StoredJob; //!< A job of that batch.

    Job* findJob(std::string_view id);
    Job& ensurePart(const FleetSchema::JobSpec& spec, Utils::TimePoint now);
    Worker* findWorker(const std::string& id);
    Worker& ensureWorker(const std::string& id, Utils::TimePoint now);
    Task* findOpen(const std::string& worker, const Ports::TaskKey& key, std::uint32_t attempt);
    void markDirty(Job& job);
    void assign(Task& task, Worker& worker, Utils::TimePoint now);
    void assignStep(Job& job, std::uint32_t occurrence, std::uint32_t step, Utils::TimePoint now);
    void assignGang(Job& job, std::uint32_t occurrence, std::uint32_t step, Utils::TimePoint now);
    void noteWaiting(Task& task, Utils::TimePoint now);
    void countDemand();
    void regroup(Utils::TimePoint now);
    InterferenceView view() const;
    void relocateFor(Task& task, const std::vector<Worker*>& workers, Utils::TimePoint now);
    void release(Task& task);
    void settle(Task& task, Utils::TimePoint retryAt);
    void finishTask(Task& task, Utils::TimePoint now, std::int64_t nowUnixMs);
    void failTask(Task& task, Utils::TimePoint now, std::int64_t nowUnixMs);
    void endJob(Job& job, FleetSchema::JobState state, std::int64_t nowUnixMs);
    void requestStop(Task& task, Utils::TimePoint now);
    void stopOpenTasks(Job& job, Utils::TimePoint now);
    void applyEnd(
        Worker& worker, const Ports::EndedAttempt& end, Utils::TimePoint now, std::int64_t nowUnixMs);
    void applyRunning(Worker& worker, const Ports::RunningAttempt& running, Utils::TimePoint now);
    void applyMissing(
        Worker& worker, Utils::TimePoint sentAt, const Ports::WorkerReport& report, Utils::TimePoint now);
    void noteSpeed(Worker& worker, const Task& task, Utils::TimePoint now);
    void noteFailure(Worker& worker, const Task& task, Utils::TimePoint now);
    void noteSuccess(Worker& worker);
    std::int64_t leaseUntil(Worker& worker, Utils::TimePoint now);
    void onJobStored(const StoredJob& stored, Utils::TimePoint now);
    void sendStart(Task& task, Utils::TimePoint now);
    void tickTask(Task& task, Utils::TimePoint now);
    void tickLending(Job& job, Utils::TimePoint now);
    static bool mayCallBorrower(const Task& task);
    void sendLend(Task& task, Utils::TimePoint now);
    void tickWorker(Worker& worker, Utils::TimePoint now);
    bool shouldMove(const Task& task, Utils::TimePoint now) const;
    void adjustPaces(Worker& worker, Utils::TimePoint now);
    void dropExpired(std::int64_t nowUnixMs);

    SchedulerOptions options_;
    ShardOrders& orders_;
    std::map<std::string, std::unique_ptr<Job>, std::less<>> jobs_;
    std::map<std::string, std::unique_ptr<Worker>, std::less<>> workers_;
    TailModel& tailModel_;
    ImageDemand demand_;
    std::vector<Job*> dirtyJobs_;
    std::vector<std::string> expired_; //!< Jobs to be removed from the store.
    Utils::TimePoint relocationAllowedAt_ {};
    Utils::TimePoint regroupAllowedAt_ {};
    std::string regroupedWorker_; //!< Where the last move of a serving task was looked for.
    Utils::TimePoint scheduledAt_ {};
    bool hasWaiting_ = false; //!< The last pass left tasks without a worker.
    bool isScheduleDue_ = false; //!< Room or work has changed since the last pass.

    std::unique_ptr<Inflight> inflight_;
};

/*! \param task a task. \return its identity. */
Ports::TaskKey keyOf(const Task& task);

} // namespace Fleet
