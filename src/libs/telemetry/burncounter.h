#pragma once

#include "utils/clock.h"

#include <peer.pb.h>
#include <policy.pb.h>

#include <memory>
#include <string_view>

namespace Telemetry {

/*! Outcome of a finished request, for the burn report. */
struct RequestOutcome {
    std::string_view service;
    std::string_view priorityClass;
    double latencyMs = 0;
    bool succeeded = true; //!< False without a complete response from the service, or with status 5xx.
    std::string_view cause; //!< Why it failed or was slow, for example "queue-timeout"; may be empty.
};

/*!
    Counts the requests that met or missed their objectives in windows of 5 minutes, 1 hour and 6 hours.

    Time is divided into slices of 10 seconds; a window is the sum of whole slices and ends with the current
    one. Thread-safe: services are distributed over shards, each with its own lock.
*/
class BurnCounter {
public:
    BurnCounter();
    ~BurnCounter();

    /*!
        Replaces the objectives by those of \a policy. The counts of unchanged objectives are retained.
    */
    void setObjectives(const Schema::PolicyDocument& policy);

    /*!
        Counts a request for the objective of its priority class, or for that of its service if the class has
        none. Requests of unknown services are ignored.
    */
    void add(const RequestOutcome& outcome, Utils::TimePoint now);

    /*! Returns the counts of each objective, to be summed with those of other processes. */
    Schema::BurnSamples samples(Utils::TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Telemetry
