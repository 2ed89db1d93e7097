#pragma once

#include "taillatencymodel.h"

#include "utils/clock.h"

#include <vector>

namespace FleetSchema {
class StepSpec;
}

namespace Fleet {

struct Task;
struct Worker;

/*! A new speed for a running attempt. */
struct SpeedChange {
    Task* task = nullptr;
    int speedPercent = 100;
};

/*!
    Updates the model and each latency-critical task's own utilization from the figures of the worker's
    latest report.

    \param worker worker whose tasks hold the reported figures.
*/
void processTailLatencies(Worker& worker, TailLatencyModel& model, Utils::TimePoint now);

/*!
    Share by which what best-effort tasks add to the utilization of a latency-critical task with a known own
    utilization varies within seconds.
*/
inline constexpr double pressureVariation = 0.5;

/*! Updates since when a latency-critical task has been over its target from its reported tail latency. */
void noteTarget(Task& task, Utils::TimePoint now);

/*! \return the shares of the worker's processors that its running best-effort tasks use, as last reported. */
std::vector<ImageShare> reportedShares(const Worker& worker);

/*! \return the share of the worker's processors that a task of the step requests. */
double shareOf(const FleetSchema::StepSpec& step, const Worker& worker);

/*! \return the shares that the worker's best-effort tasks would use at their commanded speeds. */
std::vector<ImageShare> commandedShares(const Worker& worker);

/*!
    \param critical latency-critical task beside which a task is added.
    \param variation utilization by which what best-effort tasks add may rise; left out of account unless the
           critical task's own utilization is known.
    \return the utilization to keep free when a task is added. A task that starts throttled has its speed
        adjusted to the load from its start, so a smaller margin suffices.
*/
double marginAtSpeed(const Task& critical, double speed, double variation);

/*!
    \return whether added utilization limits a latency-critical task's headroom. If tasks that add almost none
        did, capacity would stay unused without a benefit.
*/
bool isNoticeable(double addedUtilization);

/*!
    Computes the utilization headroom of the most endangered latency-critical task of a worker if a task
    were added.

    \param step step of the task to be added.
    \param speed share of its full speed at which the task would run, 0 to 1.
    \param variation share by which what best-effort tasks add may rise; see marginAtSpeed().
    \return 1 if no latency-critical task of the worker would be affected noticeably; negative if a target
        would be missed or the margin below it used up.
*/
double headroomAfterAdding(const Worker& worker, const FleetSchema::StepSpec& step,
    const TailLatencyModel& model, double speed = 1, double variation = 0);

/*!
    \return whether a latency-critical task has been over its target for so long that all best-effort tasks
        on its worker have to be throttled to zero, whatever the model predicts.
*/
bool isPersistentlyOverTarget(const Task& task, Utils::TimePoint now);

/*!
    \return the greatest utilization that a task of \p step would add to any latency-critical task of the
        worker; 0 if the worker has none.
*/
double maxAddedUtilization(
    const Worker& worker, const FleetSchema::StepSpec& step, const TailLatencyModel& model);

/*!
    Chooses the speeds of the best-effort tasks that share a worker with latency-critical tasks.

    Placement cannot foresee how a latency-critical task's own load changes. When such a task is over
    its target, or about to be, the colocated task that interferes most is throttled first, and only as
    far as needed. It returns to full speed as soon as the model predicts that the target is met at that
    speed.

    \return the changes; empty if all speeds stay as they are.
*/
std::vector<SpeedChange> chooseSpeeds(
    const Worker& worker, const TailLatencyModel& model, Utils::TimePoint now);

} // namespace Fleet
