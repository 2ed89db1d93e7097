#pragma once

#include "utils/clock.h"

#include <cstdint>

namespace Fleet {

struct Job;
struct Task;
struct Worker;

/*!
    \return whether a worker could run a task that is on another worker now or on none, whatever capacity it
        has.

    \param mayProbe whether a quarantined worker counts if it may be probed.
*/
bool isEligible(const Task& task, const Worker& worker, bool mayProbe, Utils::TimePoint now);

/*! \return whether a task may be relocated to \p worker, which is not its own one, and fits there at once. */
bool isRelocationTarget(const Task& task, const Worker& worker);

/*!
    \return whether a task of a step counts as available.

    \param availabilityDelay time for which a task must have been running to count as available.
*/
bool isAvailable(const Task& task, Utils::Duration availabilityDelay, Utils::TimePoint now);

/*! \return the number of tasks of a step that do not count as available. */
std::uint32_t countUnavailable(Job& job, std::uint32_t occurrence, std::uint32_t step,
    Utils::Duration availabilityDelay, Utils::TimePoint now);

/*! \return whether the scheduler may stop a task without exceeding the disruption budget of its step. */
bool mayDisrupt(const Task& task, Utils::Duration availabilityDelay, Utils::TimePoint now);

} // namespace Fleet
