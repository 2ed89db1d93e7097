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

/*! Where a task stands in its owner's memory. */
enum class TaskPhase {
    Pending, //!< Waits for a worker.
    Recording, //!< Its attempt is being recorded; nothing was sent.
    Recorded, //!< Its attempt is recorded and was never sent.
    Starting, //!< Its attempt may have been sent.
    Running, //!< The worker reported its attempt as running.
    Unresolved, //!< An earlier owner recorded its attempt; its worker has not reported yet.
    Ended,
};

/*! Number of phases. */
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
    std::uint64_t firstSentSequence = 0; //!< First batch that carried the start; 0 if none.
    std::uint64_t lastReportedSequence = 0; //!< Latest batch whose report told of the attempt.
    Utils::TimePoint waitingSince;
    Utils::TimePoint startedAt;
};

/*! The part of a job that belongs to the shard. */
struct Job {
    Schema::JobRecord record;
    std::vector<Task> tasks; //!< Empty once finished.
    Utils::TimePoint deadline = Utils::TimePoint::max();
    Utils::TimePoint finishedAt;
    Utils::TimePoint publishedAt;
    Utils::TimePoint infeasibleSince = Utils::TimePoint::max(); //!< No worker could hold a task since then.
    std::uint32_t rank = 0; //!< Of its priority class, 0 is the most urgent.
    bool canNeverRun = false;
    bool publishDue = true;
    std::uint32_t evictions = 0;
    std::string reason;

    /*! \return whether it is a service whose replicas are kept running. */
    bool isService() const { return record.spec().kind() == Schema::SERVICE; }
};

/*! Jobs and tasks of a shard, found by id, by worker and in the order of urgency. */
class TaskRegistry {
public:
    /*!
        Adds a job with all its tasks pending.
        \param record its record.
        \param now the current time.
        \return the job.
    */
    Job& add(const Schema::JobRecord& record, Utils::TimePoint now);

    /*! \return the job, or nullptr. \param id its id. */
    Job* job(const std::string& id);

    /*! \return the task, or nullptr. \param key the task. */
    Task* task(const TaskKey& key);

    /*! \return all jobs. */
    std::map<std::string, std::unique_ptr<Job>>& jobs() { return jobs_; }

    /*!
        Changes a task's phase and keeps all indices.
        \param task the task.
        \param phase the new phase.
    */
    void setPhase(Task& task, TaskPhase phase);

    /*!
        Changes the attempt of a task to a new one at a worker.
        \param task the task.
        \param worker the worker.
        \param incarnation of the worker.
    */
    void assign(Task& task, const std::string& worker, const std::string& incarnation);

    /*! Takes over the record of an earlier owner. \param task the task. \param record its record. */
    void restore(Task& task, const Schema::TaskRecord& record);

    /*! Changes the rank of a job. \param job the job. \param rank its rank. */
    void setRank(Job& job, std::uint32_t rank);

    /*! \return whether a pending task that is due goes before a task. \param task the task. \param now the
     * current time. */
    bool hasMoreUrgentPending(const Task& task, Utils::TimePoint now) const;

    /*! Drops the tasks of a finished job. \param job the job. */
    void finish(Job& job);

    /*! Removes a job. \param id its id. */
    void erase(const std::string& id);

    /*! \return tasks with an open attempt at a worker, as copies of pointers. \param worker the worker. */
    std::vector<Task*> openTasksAt(std::string_view worker) const;

    /*! \return tasks of one phase at a worker, as copies of pointers. \param phase Stocked, Starting and so
     * on. \param worker the worker. */
    std::vector<Task*> openTasksAt(TaskPhase phase, std::string_view worker) const;

    /*! \return up to limit pending tasks that are due, most urgent first. */
    std::vector<Task*> pendingTasks(std::size_t limit, Utils::TimePoint now);

    /*! \return number of tasks in a phase. \param phase the phase. */
    std::size_t count(TaskPhase phase) const { return phaseCounts_[static_cast<std::size_t>(phase)]; }

    /*! \return counts of one job for its callers. \param job the job. */
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
