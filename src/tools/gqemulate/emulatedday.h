#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Emulate {

/*! A protection that is left out, to show that the judge notices. */
enum class Variant {
    Complete,
    NoEpochs, //!< Workers obey former owners.
    NoLeaseWait, //!< A successor takes silent workers' tasks for ended at once.
};

/*! Kinds of fault of a day. */
enum class FaultKind {
    OwnerKill,
    WorkerCrash,
    WorkerCut,
    WorkerGrey,
    WorkerSlow,
    LateOrders,
    StoreDown,
};

/*! A fault with its time. */
struct Fault {
    FaultKind kind = FaultKind::OwnerKill;
    std::int64_t atMs = 0;
    std::int64_t forMs = 0;
    std::size_t worker = 0;
};

/*! What a day is made of. */
struct DayPlan {
    std::uint64_t seed = 1;
    Variant variant = Variant::Complete;
    std::vector<Fault> faults;
    std::string traceJob; //!< Job whose events are printed; empty: none.
};

/*! How a day went. */
struct DayResult {
    std::vector<std::string> broken; //!< Promises that were broken.
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
DayPlan drawPlan(std::uint64_t seed, bool calm);

/*! Plays a day in virtual time with the real scheduler. \param plan the plan. \return how it went. */
DayResult playDay(const DayPlan& plan);

/*!
    Leaves out faults that a failure does not need.
    \param plan a plan whose day broke a promise.
    \return a plan with as few faults as were found to suffice.
*/
DayPlan shrinkPlan(DayPlan plan);

/*! \param fault a fault. \return it in words. */
std::string describe(const Fault& fault);

} // namespace Emulate
