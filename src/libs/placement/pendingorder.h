#pragma once

#include "taskrequest.h"

#include <tuple>

namespace Placement {

/*! Sort key of pending tasks: by rank, services before batch tasks, then by latest start and arrival. */
struct PendingOrder {
    std::uint32_t rank = 0;
    bool isBatch = true;
    Utils::TimePoint latestStart = Utils::TimePoint::max();
    std::uint64_t arrival = 0;

    friend bool operator<(const PendingOrder& left, const PendingOrder& right)
    {
        return std::tie(left.rank, left.isBatch, left.latestStart, left.arrival)
            < std::tie(right.rank, right.isBatch, right.latestStart, right.arrival);
    }
};

/*!
    \param expectedRunTime expected run time, which determines the latest start before the deadline.
    \param arrival sequence number of the task's arrival.
    \return the sort key of a pending task; smaller keys are placed first.
*/
inline PendingOrder pendingOrder(
    const TaskRequest& request, Utils::Duration expectedRunTime, std::uint64_t arrival)
{
    PendingOrder order { request.rank, request.kind == TaskKind::Batch, Utils::TimePoint::max(), arrival };
    if (request.deadline)
        order.latestStart = *request.deadline - expectedRunTime;
    return order;
}

} // namespace Placement
