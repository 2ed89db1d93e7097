#pragma once

#include "ownerprocessor.h"
#include "scenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Emulate {

enum class FleetFaultKind {
    NodeKill,
    NodeFreeze,
    ShardRelease, //!< The owner releases the shard to another node.
    StoreOutage, //!< One node cannot reach the store.
    CallLoss, //!< Many calls between nodes, or their answers, are lost.
    Replacement, //!< Several workers of a shard drain and leave; new ones start.
    ShardLoss, //!< All workers of a shard drain and leave; new ones start there at the end of the fault.
    EntryLapse, //!< A worker's entry is missing from the list although the worker runs.
    WorkerCrash,
    WorkerUnreachable,
    WorkerFailing,
    StoreDown, //!< No node can reach the store.
    WorkerCrashes, //!< Several workers of a shard crash at the same moment.
    CapacityShrink, //!< Workers of a shard offer a share of their capacity only.
    WorkersCutOff, //!< Workers of a shard run on, while calls to them are refused and their entries lapse.
    WorkersFailing, //!< Some workers of all shards fail what they start, with a probability.
    Departure, //!< Some workers of all shards drain and leave, and no others start.
    Evacuation, //!< The operator evacuates the failure domain of a shard.
    WorkersRestart, //!< Workers of a shard start again under their identifiers and are cut off soon after.
    WorkersLost, //!< Workers of a shard lose power for good and silently; lasts until their entries expire.
    OwnerLost, //!< The node of a shard's owner is lost for good; lasts until its shards are served again.
};

/*! A fault injected into a fleet scenario. */
struct FleetFault {
    FleetFaultKind kind = FleetFaultKind::NodeKill;
    std::int64_t startMs = 0;
    std::int64_t durationMs = 0;
    std::size_t target = 0; //!< Node, shard or worker, modulo their number.
    std::size_t count = 1; //!< Number of workers, for faults that affect several.
    int capacityPercent = 100; //!< For a capacity that shrinks.
    int workerPercent = 100; //!< Share of the workers, for faults that affect all shards.
    int failurePercent = 100; //!< Probability with which a failing worker fails what it starts.
    bool losesAnswersOnly = false; //!< Workers that are cut off carry out calls, and their answers are lost.
    std::int64_t downMs = 0; //!< Time for which workers that restart are down.
    std::int64_t cutDelayMs = 0; //!< Time from a restart to the cut, which lasts until the end of the fault.
};

/*! Protocol variants of a fleet that lack a protection, to show that the checkers detect the lack. */
enum class FleetVariant {
    Complete,
    NoEpochFencing, //!< Workers obey former owners, which successors do not ask to give up.
    NoLeaseWait, //!< A successor treats tasks of unresponsive workers as ended at once.
    NoDelegationOfEndingTasks, //!< Only long-running tasks are delegated.
    RestartOfDelegatedTasks, //!< A successor starts the tasks that its predecessor delegated.
    LeaseWaitFromTakeover, //!< A successor does not know when and what the former owner last wrote.
    IgnoredLeaseStatement, //!< An owner renews leases beyond the ends that it has stated.
    NoProbesByFailedTasks, //!< Tasks that have failed do not start on quarantined workers.
    UnboundedSearches, //!< No number of steps ends a search.
    IgnoredEvacuations, //!< Owners start tasks in evacuated failure domains.
    CallsToAnyIncarnation, //!< A restarted worker takes calls for its former incarnation, which no owner
                           //!< expects.
    NoStartCheck, //!< Starts of long-running tasks follow no check of their workers.
};

/*! How connections to workers end, and what becomes of calls that come while a worker is down. */
enum class ConnectionKind {
    EndWithProcess,
    EndWithAnswer, //!< They are closed after each answer.
    Outlive, //!< They go on over a restart; calls in between are lost.
    Held, //!< The same, but such calls are carried out when the worker is back.
    Late, //!< The same, but half of such calls are carried out up to 4 s later.
};

//! Longest time for which an owner that cannot store anything renews leases on most days.
inline constexpr std::int64_t usualRenewalMs = 12'000;

//! Time after which no more jobs are handed in.
inline constexpr std::int64_t fleetSubmissionEndMs = 66'000;

/*! Input of the emulation of a fleet of several shards. */
struct FleetScenario {
    std::uint64_t seed = 1;
    FleetVariant variant = FleetVariant::Complete;
    std::vector<FleetFault> faults;
    bool hasWorkerDisturbances = false; //!< Stops take time, and the list of workers is read less often.
    bool hasEvacuations = false; //!< Nodes read the operator's evacuations.
    bool hasDeadlyTasks = false; //!< Some jobs have a task that crashes each worker that starts it.
    bool crashesBeforeAnswer = false; //!< The worker has not answered the start of such a task by then.
    bool hasHopelessTasks = false; //!< More tasks fail always, and more failures are allowed.
    bool hasLosses = false; //!< Long-running tasks must run again in the time that the design grants.
    std::int64_t renewalMs = usualRenewalMs; //!< Time of renewal of an owner that cannot store anything.
    bool hasSilentDepartures = false; //!< Calls to workers that have left are not refused.
    ConnectionKind connections = ConnectionKind::EndWithProcess;
    OwnerProcessor processor; //!< Processor time of the passes of owners.
    std::size_t shardCount = 3;
    std::size_t workersPerShard = 8;
    //! Long-running tasks that are handed in at the start, in percent of the capacity; 0: none.
    int longRunningLoadPercent = 0;
    std::int64_t submissionEndMs = fleetSubmissionEndMs;
    std::int64_t dayMs = 100'000;
    std::string traceJob; //!< Job whose events are printed; empty: none.
};

/*! A wait beyond the bound that the rules allow. */
struct ExcusedWait {
    std::string job; //!< Empty if there is no such wait.
    std::int64_t endMs = 0; //!< Time until which it lasted at least.
    std::int64_t idleMs = 0;
};

/*! Result of a fleet scenario. */
struct FleetResult {
    std::vector<std::string> violations;
    std::size_t jobs = 0; //!< Accepted jobs.
    std::size_t completed = 0;
    std::size_t starts = 0;
    std::size_t delegations = 0; //!< Calls that delegate a task, with repeated ones.
    std::size_t unfinished = 0;
    std::size_t longestPassSteps = 0; //!< Steps of the longest pass or tick of an owner.
    std::int64_t mostWaiting = 0; //!< Greatest number of long-running tasks that waited at one moment.
    std::size_t excusedWaits = 0; //!< Waits beyond the bound that the rules allow.
    ExcusedWait longestExcused;
};

enum class FaultMix {
    None,
    All,
    Waves, //!< Many workers are replaced and shards lose their workers; there are no other faults.
};

/*! Creates a scenario whose random faults depend only on the seed. */
FleetScenario randomFleetScenario(std::uint64_t seed, FaultMix mix);

/*!
    Adds crashes of several workers, capacities that shrink and tasks that crash workers.

    The draws depend on the seed only, and not on those of randomFleetScenario().
*/
void addWorkerDisturbances(FleetScenario& scenario);

/*!
    Adds cuts after which workers run on under their leases.

    The draws depend on the seed only, and not on those of the other functions.
*/
void addWorkerCuts(FleetScenario& scenario);

/*!
    Adds restarts of workers that are cut off soon after, at times before the first report of the new
    incarnation, and kills of the owner's node beside them.

    The draws depend on the seed only, and not on those of the other functions.
*/
void addWorkerRestarts(FleetScenario& scenario);

/*!
    Adds evacuations of one or two failure domains, beside some of which the owner's node is killed, frozen or
    cut off from the store, or the evacuation is withdrawn at once.

    The draws depend on the seed only, and not on those of the other functions.
*/
void addEvacuations(FleetScenario& scenario);

/*!
    Draws how connections to workers end.

    The draw depends on the seed only.
*/
void drawConnections(FleetScenario& scenario);

/*!
    Adds times in which workers of all shards fail what they start, one of them when no more jobs are handed
   in, and tasks that fail always.

    The draws depend on the seed only, and not on those of the other functions.
*/
void addWorkerFailures(FleetScenario& scenario);

/*!
    Creates a scenario in which the store is away for 8 to 13 s while workers of a shard drain and leave, and
    the node of the shard's owner is killed or, if the seed is odd, cut off from the store for longer than the
    other nodes. Calls to workers that have left are not refused.
*/
FleetScenario ownerLossScenario(std::uint64_t seed);

/*!
    Creates a scenario in which an owner states the end of a lease, because a worker is neither listed nor
    answers, and is replaced while it cannot store that the worker answers again.
*/
FleetScenario statedLeaseScenario(std::uint64_t seed);

/*! Runs a scenario in virtual time with the real schedulers. */
FleetResult runFleetScenario(const FleetScenario& scenario);

/*! \return as for minimizeScenario(). */
FleetScenario minimizeFleetScenario(FleetScenario scenario);

/*! \return a description of the fault for the output. */
std::string describe(const FleetFault& fault);

} // namespace Emulate
