#pragma once

#include "utils/clock.h"

#include <string>

namespace Fleet {

/*! Time limits of a shard's scheduler; those without an initial value come from the settings. */
struct SchedulerOptions {
    std::string shard;
    Utils::Duration workerLease {}; //!< Asked for with each poll.
    Utils::Duration workerLeaseLimit {}; //!< Longest lease that a worker grants.
    Utils::Duration orphanGrace {}; //!< For which an owner that cannot write renews leases.
    Utils::Duration stopLimit {}; //!< Longest time that a worker takes to stop a task.
    Utils::Duration retention {}; //!< For which an ended job is kept.
    Utils::Duration interferenceLimit {}; //!< For which a serving task may miss its target.
    Utils::Duration disruptionNotice {}; //!< For which a lasting task must have been at work to be available.
    //! An unanswered start is stopped after this; beyond the round trip to a worker of another region.
    Utils::Duration startTimeout = std::chrono::milliseconds(700);
    //! An unanswered stop is sent again after this.
    Utils::Duration stopRetryInterval = std::chrono::milliseconds(400);
};

} // namespace Fleet
