#pragma once

#include "simulatedworker.h"
#include "virtualtime.h"

#include <fleet.pb.h>

#include <map>
#include <string>

namespace Emulate {

/*! Creates random jobs and knows how their tasks behave on workers. */
class FleetWorkload {
public:
    /*!
        \param hasDeadlyTasks whether some jobs have a task that crashes each worker that starts it.
        \param hasHopelessTasks whether more tasks fail always, and more failures are allowed.
    */
    FleetWorkload(VirtualTime& time, bool hasDeadlyTasks, bool hasHopelessTasks)
        : time_(time)
        , hasDeadlyTasks_(hasDeadlyTasks)
        , hasHopelessTasks_(hasHopelessTasks)
        , longRunningShare_(1 + time.random(4))
        , bestEffortShare_(2 + time.random(6))
    {
    }

    /*! \return a new job of a random kind. */
    FleetSchema::JobSpec makeJob();

    /*! \return a new job of long-running tasks of a random size. */
    FleetSchema::JobSpec makeLongRunningJob();

    /*! \return the job with this identifier, which must exist. */
    const FleetSchema::JobSpec& spec(const std::string& job) const { return specs_.at(job); }

    /*! \return how a task behaves on a healthy worker. */
    TaskBehavior behavior(const Ports::TaskKey& task) const;

private:
    FleetSchema::JobSpec makeEmptyJob();
    void addLongRunningStep(FleetSchema::JobSpec& spec);
    void addBestEffortStep(FleetSchema::JobSpec& spec);
    void addSteps(FleetSchema::JobSpec& spec);

    VirtualTime& time_;
    bool hasDeadlyTasks_;
    bool hasHopelessTasks_;
    std::int64_t longRunningShare_; //!< Share of long-running jobs, in 1/20.
    std::int64_t bestEffortShare_; //!< Share of best-effort jobs, in 1/20.
    std::uint64_t nextNumber_ = 1;
    std::map<std::string, FleetSchema::JobSpec> specs_;
};

} // namespace Emulate
