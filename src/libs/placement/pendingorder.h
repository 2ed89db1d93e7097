#pragma once

#include "taskrequest.h"

#include <tuple>

namespace Placement {

/*! Position of a waiting task: urgent rank, services first, latest start, then order of arrival. */
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
    Position of a task among the waiting ones.
    \param request the task.
    \param expectedRun its corrected run time.
    \param arrival number of its arrival.
    \return the position; smaller is earlier.
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
