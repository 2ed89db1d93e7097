#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Emulate {

/*! Protocol variants that lack a protection, to show that the invariant checker detects the lack. */
enum class ProtocolVariant {
    Complete,
    NoEpochFencing, //!< Workers obey former owners.
    NoLeaseWait, //!< A successor treats tasks of unresponsive workers as ended at once.
};

enum class FaultKind {
    OwnerKill,
    WorkerCrash,
    WorkerUnreachable,
    WorkerFailing,
    WorkerSlow,
    DelayedCommands,
    StoreDown,
    WorkerCrashes, //!< Several workers crash at the same moment.
    CapacityShrink, //!< Workers offer a share of their capacity only.
};

/*! A fault injected into a scenario. */
struct Fault {
    FaultKind kind = FaultKind::OwnerKill;
    std::int64_t startMs = 0;
    std::int64_t durationMs = 0;
    std::size_t worker = 0;
    std::size_t count = 1; //!< Number of workers, for faults that affect several.
    int capacityPercent = 100; //!< For a capacity that shrinks.
};

/*! Input of an emulation run. */
struct Scenario {
    std::uint64_t seed = 1;
    ProtocolVariant variant = ProtocolVariant::Complete;
    std::vector<Fault> faults;
    bool hasWorkerDisturbances = false; //!< Stops take time, and the list of workers is read less often.
    bool hasDeadlyTasks = false; //!< Some jobs have a task that crashes each worker that starts it.
    bool crashesBeforeAnswer = false; //!< The worker has not answered the start of such a task by then.
    std::string traceJob; //!< Job whose events are printed; empty: none.
};

/*! Result of a scenario. */
struct ScenarioResult {
    std::vector<std::string> violations; //!< Violated invariants.
    std::size_t jobs = 0;
    std::size_t completed = 0;
    std::size_t starts = 0;
    std::size_t unfinished = 0; //!< Jobs that should have ended but have not.
};

/*! Creates a scenario whose random faults depend only on the seed. */
Scenario randomScenario(std::uint64_t seed, bool withoutFaults);

/*!
    Adds crashes of several workers, capacities that shrink and tasks that crash workers.

    The draws depend on the seed only, and not on those of randomScenario().
*/
void addWorkerDisturbances(Scenario& scenario);

/*! Runs a scenario in virtual time with the real scheduler. */
ScenarioResult runScenario(const Scenario& scenario);

/*!
    Removes faults that are not needed to violate an invariant.

    \param scenario a scenario that violates an invariant.
    \return a scenario that still violates one, and in which each fault was needed when its removal was tried.
*/
Scenario minimizeScenario(Scenario scenario);

/*! \return a description of the fault for the output. */
std::string describe(const Fault& fault);

} // namespace Emulate
