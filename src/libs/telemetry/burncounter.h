#pragma once

#include "utils/clock.h"

#include <peer.pb.h>
#include <policy.pb.h>

#include <memory>
#include <string_view>

namespace Telemetry {

/*! One finished request as the burn report sees it. */
struct RequestOutcome {
    std::string_view service;
    std::string_view priorityClass;
    double latencyMs = 0;
    bool succeeded = true; //!< False if the caller got no complete answer of the service.
    std::string_view cause; //!< Why it failed or was slow, for example "queue-timeout"; may be empty.
};

/*!
    Counts requests that met or missed their objectives, over windows of 5 minutes, 1 hour and 6 hours.

    Time is cut into slices of 10 seconds; a window sums whole slices and ends with the current one.
    Safe for threads: services are split into shards, each under its own lock.
*/
class BurnCounter {
public:
    BurnCounter();
    ~BurnCounter();

    /*!
        Takes the objectives of a policy document; counts of objectives that did not change are kept.
        \param policy the configuration in force.
    */
    void setObjectives(const Schema::PolicyDocument& policy);

    /*!
        Counts one request for the objective of its class, if it has one, else for its service's.
        \param outcome the request; services without an objective are ignored.
        \param now the current time.
    */
    void add(const RequestOutcome& outcome, Utils::TimePoint now);

    /*!
        The counts, to be summed with those of other processes.
        \param now the current time.
        \return a sample for each objective.
    */
    Schema::BurnSamples samples(Utils::TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace Telemetry
