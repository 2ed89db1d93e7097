#pragma once

#include "journal.h"
#include "utils/clock.h"

#include <batch.pb.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Batch {

struct Job;

/*! Phase of a task in the memory of its shard's owner. */
enum class TaskPhase {
    Pending, //!< Waits for a worker.
    Recording, //!< Its attempt is being written to the journal and has not been sent.
    Recorded, //!< Its attempt is in the journal and has not been sent.
    Starting, //!< Its attempt may have been sent.
    Running, //!< The worker reported its attempt as running.
    Unresolved, //!< A former owner recorded its attempt; the worker has not yet reported to this owner.
    Ended,
};

/*! Number of values of TaskPhase. */
constexpr std::size_t taskPhaseCount = 7;

/*! A task of a job. */
struct Task {
    Job* job = nullptr;
    Schema::TaskRecord record;
    TaskPhase phase = TaskPhase::Pending;
    bool holdsCapacity = false;
    bool checkpointRequested = false;
    bool stopRequested = false;
    bool throttleRequested = false;
    double processorShare = 1;
    double progress = 0;
    std::uint64_t firstSentSequence
        = 0; //!< Number of the first batch with the start command; 0 if none was sent.
    std::uint64_t lastReportedSequence = 0; //!< Number of the latest batch whose report listed the attempt.
    Utils::TimePoint waitingSince; //!< In the future while a retry is delayed.
    Utils::TimePoint startedAt;
};

/*! The part of a job that belongs to the shard. */
struct Job {
    Schema::JobRecord record;
    std::vector<Task> tasks; //!< Empty once the job is finished.
    Utils::TimePoint deadline = Utils::TimePoint::max();
    Utils::TimePoint finishedAt;
    Utils::TimePoint publishedAt;
    Utils::TimePoint infeasibleSince
        = Utils::TimePoint::max(); //!< When all workers were first too small; max() if a task fits one.
    std::uint32_t rank = 0; //!< Rank of its priority class; 0 is the most urgent.
    bool canNeverRun = false;
    bool publishDue = true;
    std::uint32_t evictions = 0;
    std::string reason;

    /*! \return whether the job is a service, whose replicas are restarted when they end. */
    bool isService() const { return record.spec().kind() == Schema::SERVICE; }
};

/*! Owns the jobs and tasks of a shard and indexes them by id, by worker and by urgency. */
class TaskRegistry {
public:
    /*!
        Adds a job, or replaces the one of the same id. All its tasks are pending.
        \return the job, owned by this object.
    */
    Job& add(const Schema::JobRecord& record, Utils::TimePoint now);

    /*! \return the job, or nullptr. */
    Job* job(const std::string& id);

    /*! \return the task, or nullptr. */
    Task* task(const TaskKey& key);

    std::map<std::string, std::unique_ptr<Job>>& jobs() { return jobs_; }

    /*! Changes a task's phase and updates the indices. */
    void setPhase(Task& task, TaskPhase phase);

    /*!
        Gives a task a new attempt on a worker; its phase becomes Recording.
        \param incarnation incarnation of the worker.
    */
    void assign(Task& task, const std::string& worker, const std::string& incarnation);

    /*! Restores a task from a record that a former owner wrote. */
    void restore(Task& task, const Schema::TaskRecord& record);

    /*! Changes the rank of a job and reorders its pending tasks. */
    void setRank(Job& job, std::uint32_t rank);

    /*! \return whether a pending task that is due is more urgent than \a task. */
    bool hasMoreUrgentPending(const Task& task, Utils::TimePoint now) const;

    /*! Removes the tasks of a finished job. */
    void finish(Job& job);

    /*! Removes a job and its tasks. */
    void erase(const std::string& id);

    /*! \return a snapshot of the tasks with an open attempt on a worker; phases may change meanwhile. */
    std::vector<Task*> openTasksAt(std::string_view worker) const;

    /*! \return the tasks of one phase on a worker. \param phase neither Pending nor Ended. */
    std::vector<Task*> openTasksAt(TaskPhase phase, std::string_view worker) const;

    /*! \return up to \a limit pending tasks that are due, most urgent first. */
    std::vector<Task*> pendingTasks(std::size_t limit, Utils::TimePoint now);

    /*! \return the number of tasks in a phase. */
    std::size_t count(TaskPhase phase) const { return phaseCounts_[static_cast<std::size_t>(phase)]; }

    /*! \return the number of the job's tasks in each state, as published to callers. */
    static Schema::JobPartState partState(const Job& job);

private:
    using Urgency = std::tuple<bool, std::uint32_t, Utils::TimePoint, Utils::TimePoint, TaskKey>;

    static Urgency urgency(const Task& task);
    void addToIndices(Task& task);
    void removeFromIndices(Task& task);

    std::map<std::string, std::unique_ptr<Job>> jobs_;
    std::map<Urgency, Task*> pending_;
    using TasksByWorker = std::map<std::string, std::map<TaskKey, Task*>, std::less<>>;

    std::array<TasksByWorker, taskPhaseCount> openTasksByPhase_;
    std::array<std::size_t, taskPhaseCount> phaseCounts_ {};
};

} // namespace Batch
