#pragma once

#include "utils/clock.h"

#include <cstddef>
#include <limits>
#include <string>

namespace Fleet {

/*! Options of a shard's scheduler; durations without an initial value come from the settings. */
struct SchedulerOptions {
    std::string shard;
    Utils::Duration workerLease {}; //!< Lease requested with each poll.
    //! Lease requested with a start. Lasts until the next poll renews it; a start that the worker receives
    //! later is rejected.
    Utils::Duration startLease = std::chrono::milliseconds(3000);
    Utils::Duration workerLeaseLimit {}; //!< Longest lease that a worker grants.
    //! Time for which an owner that cannot write to the store still renews leases.
    Utils::Duration orphanGrace {};
    //! Longest time that a worker takes to end a run, once it is told to or the lease is over.
    Utils::Duration stopLimit {};
    //! Age beyond which the list of workers is too old for new starts; longer than the time between two
    //! reads.
    Utils::Duration workerListLimit = Utils::Duration::max();
    //! Greatest size of a row's value in the store.
    std::size_t maxRowBytes = std::numeric_limits<std::size_t>::max();
    Utils::Duration retention {}; //!< Time for which an ended job is kept.
    //! Number of workers of a shard from which the tasks of a latency-critical step are taken to share their
    //! load; 0: never.
    std::size_t sharedLoadMinWorkers = 0;
    Utils::Duration interferenceLimit {}; //!< Time for which a latency-critical task may miss its target.
    //! Time for which a long-running task must have been running to count as available.
    Utils::Duration availabilityDelay {};
    //! Steps of a search for workers after which a scheduling pass is left. With the other limits, a pass
    //! takes less than a tick of 100 ms on a node with 0.07 processors if a step takes 60 ns.
    std::size_t searchStepLimit = 75'000;
    std::size_t relocationStepLimit = 25'000; //!< The same for the tasks that could be relocated.
    std::size_t tickStepLimit = 25'000; //!< The same for each kind of search in a tick.
    //! Time after which an unanswered start keeps its worker from getting other tasks; longer than the round
    //! trip to a worker of another region. What is sent to a worker that has fallen silent is waited for.
    Utils::Duration startOverdueTime = std::chrono::milliseconds(200);
    //! Timeout after which an unanswered start is stopped; longer than the round trip to a worker of
    //! another region.
    Utils::Duration startTimeout = std::chrono::milliseconds(700);
    //! Time in which a worker must answer a check before a long-running task is started there; half of
    //! startTimeout, so that the start keeps the other half.
    Utils::Duration startCheckLimit = std::chrono::milliseconds(350);
    //! Longest time after which a call that was not answered may still be carried out, also by the next
    //! incarnation of its worker.
    Utils::Duration callDelayLimit = std::chrono::milliseconds(5000);
    //! Interval after which an unanswered stop is repeated.
    Utils::Duration stopRetryInterval = std::chrono::milliseconds(400);
};

} // namespace Fleet
