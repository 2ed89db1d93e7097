#pragma once

#include "task.h"

#include <fleet.pb.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fleet {

/*! A job with its tasks, in the order of occurrence, step and index. */
struct Job {
    FleetSchema::JobSpec spec;
    FleetSchema::JobState state = FleetSchema::JOB_QUEUED;
    FleetSchema::JobState committedState = FleetSchema::JOB_QUEUED; //!< What callers are told.
    bool isCommitted = false; //!< The store holds the job.
    bool isDirty = false; //!< The store lacks the latest state.
    bool isStarted = false; //!< An attempt was recorded.
    std::int64_t endedUnixMs = 0;
    Utils::TimePoint acceptedAt {};
    Utils::TimePoint
        firstStartAt {}; //!< When the first attempt was decided; the epoch of the clock if unknown.
    std::vector<Task> tasks;
    std::vector<std::uint32_t> stepOffsets; //!< First task of each step within an occurrence.
    std::vector<std::uint32_t> remainingTasksByStep; //!< Tasks not done, by occurrence and step.
    std::uint32_t tasksPerOccurrence = 0;
    std::uint32_t remainingTaskCount = 0;
    std::vector<std::uint64_t> acceptTickets; //!< Submissions to answer once committed.
    std::vector<std::uint64_t> cancelTickets; //!< Cancellations to answer once committed.

    /*! \return whether it is neither completed, failed nor cancelled. */
    bool isActive() const { return state == FleetSchema::JOB_QUEUED || state == FleetSchema::JOB_RUNNING; }

    /*! \return number of times the steps run. */
    std::uint32_t occurrences() const { return spec.occurrences() > 0 ? spec.occurrences() : 1; }

    /*! \return the specification of the step of \p task. */
    const FleetSchema::StepSpec& step(const Task& task) const
    {
        return spec.steps(static_cast<int>(task.step));
    }

    /*!
        Finds a task.
        \param occurrence,step,index its place.
        \return the task, or nullptr if there is none.
    */
    Task* findTask(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index);

    /*! \return number of tasks not done of a step of an occurrence. */
    std::uint32_t& remainingTasks(std::uint32_t occurrence, std::uint32_t step)
    {
        return remainingTasksByStep[occurrence * static_cast<std::uint32_t>(spec.steps_size()) + step];
    }

    /*!
        Whether a step's predecessors are done and its occurrence is due.
        \param occurrence,step the step.
        \param nowUnixMs time of day.
        \return true if its tasks may start.
    */
    bool isStepReady(std::uint32_t occurrence, std::uint32_t step, std::int64_t nowUnixMs);

    /*! \return Unix time from which on an occurrence may start. */
    std::int64_t dueUnixMs(std::uint32_t occurrence) const;

    /*!
        Longest chain of estimated run times through the steps that are not done.
        \param occurrence the occurrence.
        \return milliseconds.
    */
    std::int64_t remainingCriticalPathMs(std::uint32_t occurrence);
};

/*! \param job a job. \return milliseconds within which it is to be completed. */
std::int64_t objectiveMs(const Job& job);

/*!
    Prepares the tasks of a job.
    \param spec the specification; must have valid steps.
    \param job receives the specification and its tasks, all waiting.
*/
void initializeJob(FleetSchema::JobSpec spec, Job& job);

/*!
    Writes a job as it is stored.
    \param job the job.
    \return its record.
*/
FleetSchema::JobRecord toRecord(const Job& job);

/*!
    Whether a specification can be run: steps within bounds, predecessors earlier than their successors.
    \param spec the specification.
    \return an empty text, or what is wrong.
*/
std::string validateJobSpec(const FleetSchema::JobSpec& spec);

} // namespace Fleet
