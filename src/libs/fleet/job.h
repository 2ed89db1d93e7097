#pragma once

#include "stepload.h"
#include "task.h"

#include <fleet.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

/*! A job with more tasks is rejected. The limit bounds the memory and the scheduling time that one job can
 * take. */
inline constexpr std::uint32_t maxTasksPerJob = 1000;

/*! Progress of one step of an occurrence. */
struct StepProgress {
    std::uint32_t remainingTasks = 0; //!< Tasks that are not done.
    std::uint32_t donePredecessors = 0; //!< The first ones of StepSpec::after that are known to be done.
    bool arePredecessorsMarked = false; //!< Job::markPredecessorsDone() has visited the step.
    Utils::TimePoint searchAllowedAt {}; //!< Earliest next search for a shard for a task of the step.
};

/*! How far a sweep over the waiting tasks has come in one occurrence. */
struct SweepProgress {
    std::uint64_t sweep = 0;
    std::uint32_t step = 0; //!< The next step to visit, and its next task.
    std::uint32_t index = 0;
    bool isComplete = false;
    bool isDueAgain = false; //!< Another visit is to follow this one.

    bool isCompleteIn(std::uint64_t number) const { return sweep == number && isComplete; }
    bool isBegunIn(std::uint64_t number) const { return sweep == number && !isComplete; }
};

/*! A job with its tasks, ordered by occurrence, step and index. */
struct Job {
    FleetSchema::JobSpec spec;
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED;
    //! Latest stored state, which is the one reported to callers.
    FleetSchema::JobState committedState = FleetSchema::JOB_QUEUED;
    bool isCommitted = false;
    bool isDirty = false; //!< The latest state is not stored yet.
    bool isReduced = false; //!< Only the outcome of the job is stored, because its record cannot be.
    bool isStarted = false; //!< An attempt has been recorded.
    //! A worker has confirmed a start of a task. Always true in a host shard: only the origin shard counts
    //! the job as pending.
    bool hasBegun = false;
    //! End of the job, or time at which this host shard last had a task of it; 0 if it still has one.
    std::int64_t endedUnixMs = 0;
    std::string originShard; //!< Shard that delegated tasks of the job to this one; empty if it is this one.
    //! A former owner of this host shard may have missed that the origin shard has ended the job.
    bool isOriginUnconfirmed = false;
    bool isOriginAwaited = false; //!< Tasks wait for this to be confirmed.
    Utils::TimePoint originQueriedAt {}; //!< The clock's epoch: not yet.
    //! Tasks of the job were delegated to or by this shard, and if the job has ended, its end is not known
    //! there.
    bool hasTransfers = false;
    Utils::TimePoint acceptedAt {};
    //! Time of the first decision to start an attempt; the clock's epoch if unknown.
    Utils::TimePoint firstStartAt {};
    std::vector<Task> tasks;
    std::map<std::uint32_t, StepLoad> stepLoads; //!< Of latency-critical steps, by step.
    std::vector<std::uint32_t> stepOffsets; //!< Offset of each step's first task within an occurrence.
    std::vector<StepProgress> stepProgress; //!< By occurrence and step.
    std::vector<SweepProgress> sweepProgress; //!< By occurrence.
    std::vector<SweepProgress> repeatedVisits; //!< By occurrence; see ShardScheduler::visitAgain().
    std::vector<std::int64_t> criticalPathsMs; //!< By occurrence; -1: not computed since a step was done.
    std::int64_t longestChainMs = 0; //!< Longest chain of estimated run times through all steps.
    std::uint32_t tasksPerOccurrence = 0;
    std::uint32_t remainingTaskCount = 0;
    //! Hashes of the rows that hold parts of the job's record, as last sent to the store; 0: unknown.
    std::vector<std::uint64_t> storedParts;
    std::vector<std::uint64_t> acceptTickets; //!< Submissions and delegations to answer once committed.
    std::vector<std::uint64_t> cancelTickets; //!< Cancellations to answer once committed.

    /*! \return whether the job is neither completed, failed nor cancelled. */
    bool isActive() const { return state == FleetSchema::JOB_QUEUED || state == FleetSchema::JOB_RUNNING; }

    /*! \return how many times the steps run; at least 1. */
    std::uint32_t occurrences() const { return spec.occurrences() > 0 ? spec.occurrences() : 1; }

    const FleetSchema::StepSpec& step(const Task& task) const
    {
        return spec.steps(static_cast<int>(task.step));
    }

    /*! \return whether another shard accepted the job and delegated tasks of it to this one. */
    bool isHosted() const { return !originShard.empty(); }

    /*! \return whether this host shard has no task of the job any more. */
    bool isHandedBack() const;

    /*!
        Marks the steps that \p step follows, directly or not, as done. A host shard does not see their tasks,
        but gets only tasks whose turn has come. All calls together visit each step of an occurrence once.
    */
    void markPredecessorsDone(std::uint32_t occurrence, std::uint32_t step);

    /*! \return the task at this position, or nullptr if there is none. */
    Task* findTask(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index);

    /*! \return the number of tasks of a step that are not done. */
    std::uint32_t remainingTasks(std::uint32_t occurrence, std::uint32_t step) const
    {
        return progressOf(occurrence, step).remainingTasks;
    }

    /*! \return the earliest time of the next search for a shard for tasks of a step. */
    Utils::TimePoint& searchAllowedAt(std::uint32_t occurrence, std::uint32_t step)
    {
        return progressOf(occurrence, step).searchAllowedAt;
    }

    /*! Counts a task of a step as done. */
    void countDoneTask(std::uint32_t occurrence, std::uint32_t step);

    /*!
        \return whether a step's predecessors are done and its occurrence is due at \p nowUnixMs, so that
            its tasks may start.
    */
    bool isStepReady(std::uint32_t occurrence, std::uint32_t step, std::int64_t nowUnixMs);

    /*! \return the Unix time from which an occurrence may start. */
    std::int64_t dueUnixMs(std::uint32_t occurrence) const;

    /*!
        \return the length, in milliseconds, of the longest chain of estimated run times through the steps
            that are not done.
    */
    std::int64_t remainingCriticalPathMs(std::uint32_t occurrence);

private:
    StepProgress& progressOf(std::uint32_t occurrence, std::uint32_t step)
    {
        return stepProgress[occurrence * stepOffsets.size() + step];
    }
    const StepProgress& progressOf(std::uint32_t occurrence, std::uint32_t step) const
    {
        return stepProgress[occurrence * stepOffsets.size() + step];
    }
};

/*! \return the time, in milliseconds, within which the job is to complete. */
std::int64_t objectiveMs(const Job& job);

/*!
    Initializes \p job from a specification with all tasks waiting.

    \param spec a specification that validateJobSpec() accepts.
*/
void initializeJob(FleetSchema::JobSpec spec, Job& job);

/*! Adds the crashes that are only presumed under the task to a record. */
void addPresumedCrashes(
    const Task& task, google::protobuf::RepeatedPtrField<FleetSchema::PresumedWorkerCrash>& crashes);

/*! \return the record under which a job is stored; of a reduced job, only its outcome. */
FleetSchema::JobRecord toRecord(const Job& job);

/*! Removes repeated entries from the predecessors of each step. */
void removeRepeatedPredecessors(FleetSchema::JobSpec& spec);

/*!
    Checks that steps are within bounds and depend only on earlier steps.

    \return an empty string if the specification is valid, or else an error message.
*/
std::string validateJobSpec(const FleetSchema::JobSpec& spec);

} // namespace Fleet
