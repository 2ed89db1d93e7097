#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <tuple>

namespace Fleet {

/*! Input for ranking a job with waiting tasks. */
struct JobUrgency {
    std::int32_t priority = 0; //!< 0 is the most urgent.
    bool isLongRunning = false;
    bool isStarted = false; //!< An attempt has been recorded.
    Utils::Duration age {}; //!< Time since the job was accepted or its occurrence became due.
    Utils::Duration objective {}; //!< Time within which the job is to complete, measured like age.
    Utils::Duration remainingWork {}; //!< Longest chain of estimated run times that are not done.
};

/*!
    Position of a job in the scheduling order; smaller ranks go first.

    In a burst beyond the workers' capacity, the job with the earliest latest start goes first, so that
    jobs with little slack overtake those that can wait. A job that can no longer meet its objective
    yields to those that can, which keeps a backlog from making every job late.
*/
struct JobRank {
    std::int32_t priority = 0;
    int lateness = 0; //!< 0: in time, 1: late, 2: so late that the result is worthless.
    Utils::Duration slack {}; //!< Time until the latest start that meets the objective.

    friend bool operator<(const JobRank& left, const JobRank& right)
    {
        return std::tie(left.priority, left.lateness, left.slack)
            < std::tie(right.priority, right.lateness, right.slack);
    }
};

JobRank rankJob(const JobUrgency& urgency);

} // namespace Fleet
