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
    //! Time since the occurrence became due, or since the job was accepted if it has no due time.
    Utils::Duration age {};
    Utils::Duration objective {}; //!< Time within which the job is to complete, from the start of age.
    //! Length of the longest chain of estimated run times of steps that are not done.
    Utils::Duration remainingWork {};
};

/*!
    Position of a job in the scheduling order; smaller ranks go first.

    In a burst beyond the workers' capacity, the job with the least slack goes first, so that it overtakes
    those that can wait. A job that can no longer meet its objective yields to those that can, which
    keeps a backlog from making every job late.
*/
struct JobRank {
    std::int32_t priority = 0;
    //! 0: in time, 1: late, or not started and with too little slack, 2: so late that the result is
    //! worthless.
    int lateness = 0;
    Utils::Duration slack {}; //!< Time until the latest start that meets the objective; negative after it.

    friend bool operator<(const JobRank& left, const JobRank& right)
    {
        return std::tie(left.priority, left.lateness, left.slack)
            < std::tie(right.priority, right.lateness, right.slack);
    }
};

JobRank rankJob(const JobUrgency& urgency);

} // namespace Fleet
