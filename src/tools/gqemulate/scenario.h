#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Emulate {

/*! A protection that is left out, to show that the judge notices. */
enum class ProtocolVariant {
    Complete,
    NoEpochFencing, //!< Workers obey former owners.
    NoLeaseWait, //!< A successor takes silent workers' tasks for ended at once.
};

/*! Kinds of fault of a day. */
enum class FaultKind {
    OwnerKill,
    WorkerCrash,
    WorkerUnreachable,
    WorkerFailing,
    WorkerSlow,
    DelayedCommands,
    StoreDown,
};

/*! A fault with its time. */
struct Fault {
    FaultKind kind = FaultKind::OwnerKill;
    std::int64_t startMs = 0;
    std::int64_t durationMs = 0;
    std::size_t worker = 0;
};

/*! What a day is made of. */
struct Scenario {
    std::uint64_t seed = 1;
    ProtocolVariant variant = ProtocolVariant::Complete;
    std::vector<Fault> faults;
    std::string traceJob; //!< Job whose events are printed; empty: none.
};

/*! How a day went. */
struct ScenarioResult {
    std::vector<std::string> violations; //!< Promises that were broken.
    std::size_t jobs = 0;
    std::size_t completed = 0;
    std::size_t starts = 0;
    std::size_t unfinished = 0; //!< Jobs that should have ended and have not.
};

/*!
    Draws a plan.
    \param seed of the random numbers.
    \param calm whether to leave out faults.
    \return the plan.
*/
Scenario randomScenario(std::uint64_t seed, bool withoutFaults);

/*! Plays a day in virtual time with the real scheduler. \param plan the plan. \return how it went. */
ScenarioResult runScenario(const Scenario& scenario);

/*!
    Leaves out faults that a failure does not need.
    \param plan a plan whose day broke a promise.
    \return a plan with as few faults as were found to suffice.
*/
Scenario minimizeScenario(Scenario scenario);

/*! \param fault a fault. \return it in words. */
std::string describe(const Fault& fault);

} // namespace Emulate
