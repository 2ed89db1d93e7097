#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Ports {

/*! Settings of a queue of jobs. */
struct Queue {
    std::string name;
    std::string host; //!< Host name under which callers reach the queue.
    std::string pathPrefix;
    std::string service; //!< Service whose workers run the queue's tasks.
    std::int32_t priority = 0; //!< 0 is the most urgent.
    std::uint32_t maxFailures = 1; //!< Number of failed attempts of a task after which its job fails.
    double slackFactor
        = 1; //!< A job's objective is the duration of its critical path times this, plus targetMs.
    std::uint32_t targetMs = 0; //!< Constant part of a job's objective.
    std::uint32_t timeoutMs = 0; //!< Time limit of a caller's request.
    bool needsAdvice = false; //!< Only workers granted by the advice service may run the queue's tasks.
};

/*! The operator's configuration of all queues. */
struct QueueConfiguration {
    std::uint64_t revision = 0;
    std::vector<Queue> queues;
    std::uint64_t maxBodyBytes = 0; //!< Maximum body size of a caller's request; 0: unlimited.
};

} // namespace Ports
