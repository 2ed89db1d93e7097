#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <tuple>

namespace Fleet {

/*! What the order of waiting work depends on. */
struct JobUrgency {
    std::int32_t priority = 0; //!< 0 is the most urgent.
    bool isLongRunning = false;
    bool isStarted = false; //!< Some of its work was begun.
    Utils::Duration age {}; //!< Since the job was accepted or its occurrence was due.
    Utils::Duration objective {}; //!< Time within which the job is to be completed, from the same moment.
    Utils::Duration remainingWork {}; //!< Longest chain of work that is left.
};

/*!
    Place of a job in the order of waiting work; smaller goes first.

    Answers the load pattern of a burst beyond the workers' room: the earliest latest start goes first, so
   that jobs with little slack overtake those that can wait, and a job that can no longer meet its objective
   yields to those that can, which keeps a backlog from making every job late.
*/
struct JobRank {
    std::int32_t priority = 0;
    int lateness = 0; //!< 0: in time, 1: late, 2: of no more worth.
    Utils::Duration slack {}; //!< Time until the latest start.

    friend bool operator<(const JobRank& left, const JobRank& right)
    {
        return std::tie(left.priority, left.lateness, left.slack)
            < std::tie(right.priority, right.lateness, right.slack);
    }
};

/*!
    Ranks a job.
    \param urgency the job.
    \return its place.
*/
JobRank rankJob(const JobUrgency& urgency);

} // namespace Fleet
