#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Ports {

/*! A queue of jobs. */
struct Queue {
    std::string name;
    std::string host; //!< Host under which callers reach it.
    std::string pathPrefix;
    std::string service; //!< Service whose workers run its tasks.
    std::int32_t priority = 0; //!< 0 is the most urgent.
    std::uint32_t maxFailures = 1; //!< Failed attempts of a task after which its job fails.
    double slackFactor
        = 1; //!< The objective of a job is its longest chain of work times this, plus targetMs.
    std::uint32_t targetMs = 0;
    std::uint32_t timeoutMs = 0; //!< Limit of a caller's request.
    bool needsAdvice = false; //!< Only workers granted by the advice service may run its tasks.
};

/*! The operator's configuration. */
struct QueueConfiguration {
    std::uint64_t revision = 0;
    std::vector<Queue> queues;
    std::uint64_t maxBodyBytes = 0; //!< Greatest body of a caller's request; 0: not limited.
};

} // namespace Ports
