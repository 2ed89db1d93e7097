#pragma once

#include "utils/clock.h"

#include <span>
#include <string>

namespace Fleet {

struct InterferenceView;
struct Task;
struct Worker;

/*! A latency-critical task and a worker that suits it better than its own. */
struct TaskMove {
    Task* task = nullptr; //!< Null if no move is worth the interruption.
    Worker* target = nullptr;
};

/*!
    Measures how much two images of latency-critical tasks differ in their sensitivity to the current
    best-effort demand.

    \return 0 for images that suffer from the same best-effort images; a default distance for images without
        reliable estimates.
*/
double sensitivityDistance(const std::string& first, const std::string& second, const InterferenceView& view);

/*!
    \return the mean sensitivity distance of a task to the latency-critical tasks of a worker; 0 if there
        are none.
*/
double meanSensitivityDistance(const Task& task, const Worker& worker, const InterferenceView& view);

/*!
    Chooses a move that brings latency-critical tasks of similar sensitivity together.

    A fleet may have been filled before anything was known about its images. Where tasks of different
    sensitivity share a worker, hardly any best-effort task may run there, and its processors stay
    unused while tasks wait.

    \param source worker from which a task may be moved.
    \param availabilityDelay time for which a long-running task must have been running to count as available.
    \return the move with the greatest gain among the workers examined before the steps of \p view are spent.
*/
TaskMove chooseGroupingMove(const Worker& source, std::span<Worker* const> workers,
    const InterferenceView& view, Utils::Duration availabilityDelay, Utils::TimePoint now);

/*!
    \return the share of the best-effort demand, 0 to 1, that a worker's latency-critical tasks tolerate; 1
        if it has none.
*/
double toleratedDemandShare(const Worker& worker, const InterferenceView& view);

/*!
    Chooses a move that helps to free a worker of latency-critical tasks.

    When latency-critical tasks come and go, the capacity that they free is spread over all workers.
    Then no worker is left for best-effort tasks that interfere with most latency-critical tasks, and
    they wait.

    \param availabilityDelay time for which a long-running task must have been running to count as available.
*/
TaskMove chooseConsolidationMove(std::span<Worker* const> workers, const InterferenceView& view,
    Utils::Duration availabilityDelay, Utils::TimePoint now);

} // namespace Fleet
