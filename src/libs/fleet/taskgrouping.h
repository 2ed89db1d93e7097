#pragma once

#include "utils/clock.h"

#include <span>
#include <string>

namespace Fleet {

struct InterferenceView;
struct Task;
struct Worker;

/*! A serving task that is better placed on another worker. */
struct TaskMove {
    Task* task = nullptr; //!< Null if no move is worth its interruption.
    Worker* target = nullptr; //!< Where it has room and like neighbours.
};

/*!
    How much the sensitivity of two images differs, by the work that there is.

    \param first,second images of serving tasks.
    \param view pressures and demand.
    \return 0 for images that the same work disturbs; a default for images that are not known well enough.
*/
double sensitivityDistance(const std::string& first, const std::string& second, const InterferenceView& view);

/*!
    Mean distance of a task to the serving tasks of a worker.
    \param task a serving task. \param worker the worker. \param view as above.
    \return 0 if there are none.
*/
double meanSensitivityDistance(const Task& task, const Worker& worker, const InterferenceView& view);

/*!
    Chooses the move of one serving task that brings tasks of like sensitivity together.

    Answers a fleet that was filled before anything was known of its images: where tasks of unlike sensitivity
   share a worker, hardly any work may run beside them, and its processors stay unused while work waits.

    \param source the worker to relieve.
    \param workers the shard's workers.
    \param view as above.
    \param notice for which a lasting task must have been at work to be available.
    \param now the current time.
    \return the move.
*/
TaskMove chooseGroupingMove(const Worker& source, std::span<Worker* const> workers,
    const InterferenceView& view, Utils::Duration notice, Utils::TimePoint now);

/*!
    Share of the work for leftover processors that a worker's serving tasks do not mind.
    \param worker the worker. \param view what is known of interference.
    \return 0 to 1; 1 without serving tasks.
*/
double toleratedDemandShare(const Worker& worker, const InterferenceView& view);

/*!
    Chooses the move of one serving task that helps to free a worker of serving tasks.

    Answers work that disturbs most serving tasks and waits while serving tasks come and go: what they leave
   free is spread over all workers, and none is left where such work may run.

    \param workers the shard's workers.
    \param view as above.
    \param notice for which a lasting task must have been at work to be available.
    \param now the current time.
    \return the move.
*/
TaskMove chooseConsolidationMove(std::span<Worker* const> workers, const InterferenceView& view,
    Utils::Duration notice, Utils::TimePoint now);

} // namespace Fleet
