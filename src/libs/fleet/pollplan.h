#pragma once

#include <cstdint>

namespace Fleet {

/*! Content of the next poll of a worker. */
struct PollPlan {
    std::int64_t leaseUntilMs = 0; //!< In the worker's clock; 0: do not renew.
    //! Number of the latest end whose record is committed; 0: the worker has answered it before.
    std::uint64_t acknowledged = 0;
    bool isWorkerResponsive = false; //!< The worker has reported and answers polls.
    bool hasTasks = false; //!< The worker has open attempts.
};

} // namespace Fleet
