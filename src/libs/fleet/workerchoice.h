#pragma once

#include "utils/clock.h"

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace Fleet {

struct InterferenceView;
class StepBudget;
struct Task;
struct Worker;

/*! Why a worker cannot run a task at present. */
enum class PlacementObstacle {
    None,
    Unusable, //!< Not listed, unresponsive, draining or without a report.
    Ineligible, //!< Another service, or the required label is missing.
    TooSmall, //!< The task exceeds the worker's capacity.
    Full, //!< Open attempts commit the capacity.
    Reserved, //!< The capacity is reserved for a long-running task.
    Interference, //!< A latency-critical task would miss its target.
    Quarantined,
    SpreadLimit, //!< The worker runs as many tasks of the step as it may.
    Isolated, //!< The worker runs a task of another job that may crash it.
};

/*! Number of values of PlacementObstacle. */
inline constexpr std::size_t placementObstacleCount = 10;

/*! \return the name of an obstacle for logs. */
std::string_view nameOf(PlacementObstacle obstacle);

/*! What a task accepts in a worker, which depends on how long it has waited. */
struct SearchTerms {
    //! Share of full speed for which a worker must have headroom to start a best-effort task.
    double speed = 1;
    //! Share by which what best-effort tasks add on a worker may rise without using up its headroom.
    double variation = 0;
    //! A best-effort task may start, throttled to zero, where latency-critical tasks are over their target.
    bool mayStartThrottledToZero = false;
    //! The task may be started on a quarantined worker to see whether that still fails.
    bool mayProbe = true;

    bool operator==(const SearchTerms&) const = default;
};

/*!
    \return what a task accepts in a worker at present.

    \param steps counts the workers and tasks examined; may be null.
*/
SearchTerms searchTermsOf(
    const Task& task, std::span<Worker* const> workers, Utils::TimePoint now, StepBudget* steps = nullptr);

/*!
    \return whether a quarantined worker may be probed with a task.

    \param probe the task; null for any task that is not of a gang.
*/
bool isProbeDue(const Worker& worker, Utils::TimePoint now, const Task* probe = nullptr);

/*!
    Chooses the worker of a task among those of a shard.

    The choice handles these load patterns:
    - Best-effort tasks interfere with latency-critical tasks, some pairs of images much more than others.
      They are placed where the model predicts the most headroom, and wait rather than make a task miss its
      target. Latency-critical tasks of similar sensitivity are grouped on as few workers as can hold them,
      so that each best-effort image finds workers where it interferes little.
    - A task that interferes with every latency-critical task in reach would wait forever, so after a while
      it may run throttled.
    - A steady stream of short tasks takes every bit of capacity as it becomes free, so a larger
      long-running task would never fit. A worker is reserved for it until the short tasks there have ended.
    - A burst of best-effort tasks beyond the unused processors would only slow down running ones, so it
      waits.
    - A failing or slow worker attracts tasks because its capacity is free, so it is chosen last or
      excluded.
    - A task that crashes its workers would take others along, so a task under which a worker has crashed
      avoids that one. After a second crash it goes where few other tasks run, and nothing is placed beside
      it until it has run for a while.

    \return the worker, or nullptr if none fits.
*/
Worker* chooseWorker(
    const Task& task, std::span<Worker* const> workers, const InterferenceView& view, Utils::TimePoint now);

/*!
    \return the cost of running a task on a worker, the lowest of which chooseWorker() chooses; nothing if the
        worker does not fit.
*/
std::optional<double> placementCost(const Task& task, const Worker& worker, const InterferenceView& view,
    const SearchTerms& terms, Utils::TimePoint now);

/*! \return whether a task that is on a worker could be started on another one. */
bool fitsElsewhere(
    const Task& task, std::span<Worker* const> workers, const InterferenceView& view, Utils::TimePoint now);

/*! \return the number of workers by obstacle to running the task, indexed by PlacementObstacle. */
std::array<std::size_t, placementObstacleCount> countObstacles(
    const Task& task, std::span<Worker* const> workers, const InterferenceView& view, Utils::TimePoint now);

/*!
    Reserves a worker for a long-running task that does not fit anywhere, so that it gets no more short
    tasks. Chooses the worker whose long-running tasks leave the most processors free.

    \return whether there is a worker for the task.
*/
bool reserveWorker(const Task& task, std::span<Worker* const> workers, StepBudget& steps);

/*!
    Keeps a worker empty for a fully isolated task, so that only such tasks may start there.

    \return whether there is a worker for the task.
*/
bool keepWorkerEmpty(const Task& task, std::span<Worker* const> workers, StepBudget& steps);

} // namespace Fleet
