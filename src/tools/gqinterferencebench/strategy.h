#pragma once

#include <placement/placementengine.h>

#include <string>

namespace Bench {

class SimulatedFleet;

/*! Strategy for placement and preemption that is compared with others. */
class Strategy {
public:
    virtual ~Strategy() = default;

    /*! \return the name of the strategy in the table. */
    virtual std::string name() const = 0;

    /*! Prepares the strategy; called once before the first round. */
    virtual void initialize(SimulatedFleet& fleet) = 0;

    /*! Makes one round of decisions. */
    virtual void runRound(SimulatedFleet& fleet) = 0;

    /*! Handles a measurement of a worker, which arrives with a delay. */
    virtual void onUsage(SimulatedFleet& fleet, std::size_t worker, const Placement::WorkerUsage& usage)
    {
        (void)fleet;
        (void)worker;
        (void)usage;
    }

    /*! Handles the end of a task on its worker. */
    virtual void onEnded(SimulatedFleet& fleet, std::size_t task, Placement::AttemptOutcome outcome)
    {
        (void)fleet;
        (void)task;
        (void)outcome;
    }

    /*! Handles the failure or the return of a VM. */
    virtual void onWorkerStateChanged(SimulatedFleet& fleet, std::size_t worker, bool isLive)
    {
        (void)fleet;
        (void)worker;
        (void)isLive;
    }
};

} // namespace Bench
