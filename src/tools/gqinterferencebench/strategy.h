#pragma once

#include <placement/placementengine.h>

#include <string>

namespace Bench {

class SimulatedFleet;

/*! A way of placing and giving way that is measured. */
class Strategy {
public:
    virtual ~Strategy() = default;

    /*! \return its name in the table. */
    virtual std::string name() const = 0;

    /*! Called once, before the first round. */
    virtual void initialize(SimulatedFleet& fleet) = 0;

    /*! One round of decisions. */
    virtual void runRound(SimulatedFleet& fleet) = 0;

    /*! A lagging measurement of a worker. */
    virtual void onUsage(SimulatedFleet& fleet, std::size_t worker, const Placement::WorkerUsage& usage)
    {
        (void)fleet;
        (void)worker;
        (void)usage;
    }

    /*! A task is known to have left its worker. */
    virtual void onEnded(SimulatedFleet& fleet, std::size_t task, Placement::AttemptOutcome outcome)
    {
        (void)fleet;
        (void)task;
        (void)outcome;
    }

    /*! A VM failed or came back. */
    virtual void onWorkerStateChanged(SimulatedFleet& fleet, std::size_t worker, bool isLive)
    {
        (void)fleet;
        (void)worker;
        (void)isLive;
    }
};

} // namespace Bench
