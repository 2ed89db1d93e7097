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
};

/*! A fault injected into a scenario. */
struct Fault {
    FaultKind kind = FaultKind::OwnerKill;
    std::int64_t startMs = 0;
    std::int64_t durationMs = 0;
    std::size_t worker = 0;
};

/*! Input of an emulation run. */
struct Scenario {
    std::uint64_t seed = 1;
    ProtocolVariant variant = ProtocolVariant::Complete;
    std::vector<Fault> faults;
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
