#include "fleetscenario.h"
#include "fullshardscenario.h"
#include "lossscenario.h"
#include "scenario.h"

#include <getopt.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <utility>

namespace {

struct Options {
    std::uint64_t seed = 1;
    std::uint64_t scenarioCount = 1;
    bool withoutFaults = false;
    bool hasWaves = false;
    bool isFleet = false;
    bool hasOwnerLoss = false;
    bool hasStatedLease = false;
    bool hasWorkerDisturbances = true;
    bool hasDeadlyTasks = true;
    bool crashesBeforeAnswer = false;
    bool hasCuts = false;
    bool hasFailures = false;
    bool hasRestarts = false;
    bool hasConnections = false;
    bool hasEvacuations = false;
    bool hasFullShards = false;
    bool hasLosses = false;
    std::int64_t renewalMs = 0; //!< 0: as usual on such days.
    std::int64_t stepNs = Emulate::OwnerProcessor::defaultStepNs;
    double processorShare = 0; //!< 0: as drawn for the day.
    std::size_t shardCount = 0; //!< 0: as usual.
    std::size_t workersPerShard = 0; //!< 0: as drawn for the day.
    int loadPercent = 0; //!< 0: as drawn for the day.
    Emulate::FleetVariant variant = Emulate::FleetVariant::Complete;
    std::string traceJob;
};

constexpr std::pair<const char*, Emulate::FleetVariant> fleetVariants[] = {
    { "complete", Emulate::FleetVariant::Complete },
    { "no-fencing", Emulate::FleetVariant::NoEpochFencing },
    { "no-lease-wait", Emulate::FleetVariant::NoLeaseWait },
    { "no-delegation", Emulate::FleetVariant::NoDelegationOfEndingTasks },
    { "restart-delegated", Emulate::FleetVariant::RestartOfDelegatedTasks },
    { "wait-from-takeover", Emulate::FleetVariant::LeaseWaitFromTakeover },
    { "ignored-statement", Emulate::FleetVariant::IgnoredLeaseStatement },
    { "no-failed-probes", Emulate::FleetVariant::NoProbesByFailedTasks },
    { "unbounded-searches", Emulate::FleetVariant::UnboundedSearches },
    { "ignored-evacuations", Emulate::FleetVariant::IgnoredEvacuations },
    { "any-incarnation", Emulate::FleetVariant::CallsToAnyIncarnation },
    { "no-start-check", Emulate::FleetVariant::NoStartCheck },
};

/*! Sums over several days. */
struct Totals {
    std::size_t jobs = 0;
    std::size_t starts = 0;
    std::size_t unfinished = 0;
    std::size_t delegations = 0;
    std::size_t excusedWaits = 0;
    Emulate::ExcusedWait longestExcused;
    std::uint64_t longestExcusedSeed = 0;
    std::size_t longestPassSteps = 0;
    std::int64_t mostWaiting = 0;
    std::size_t violatedScenarios = 0;
};

void printUsage(std::ostream& stream)
{
    stream
        << "Usage: gqemulate [--fleet] [--waves] [--owner-loss] [--stated-lease]\n"
        << "                 [--variant NAME] [--seed N] [--days N] [--calm]\n"
        << "                 [--no-deadly] [--unanswered] [--no-crashes] [--cuts] [--failures] [--restarts]\n"
        << "                 [--connections] [--evacuations] [--losses]\n"
        << "                 [--full-shards] [--step-ns N] [--share S] [--shards N]\n"
        << "                 [--workers N] [--load P] [--renewal-ms N]\n"
        << "                 [--trace JOB]\n"
        << "Plays days of a shard in virtual time with the real scheduler and judges what its workers did.\n"
        << "  --fleet      days of several shards with worker replacement, instead of one shard\n"
        << "  --waves      fleet days with no faults but many replaced workers\n"
        << "  --owner-loss fleet days with a node lost while the store is away and workers leave\n"
        << "  --stated-lease  fleet days with an owner lost that has stated the end of a lease\n"
        << "  --variant V  fleet that lacks a protection: no-fencing, no-lease-wait, no-delegation,\n"
        << "               restart-delegated, wait-from-takeover,\n"
        << "               ignored-statement, no-failed-probes, unbounded-searches,\n"
        << "               any-incarnation, no-start-check\n"
        << "  --seed N     seed of the first day (1)\n"
        << "  --days N     number of days with seeds from there on (1)\n"
        << "  --calm       days without faults\n"
        << "  --no-deadly  days without tasks that crash workers\n"
        << "  --unanswered workers that a task crashes have not answered its start by then\n"
        << "  --no-crashes days without tasks that crash workers, workers that crash together, and\n"
        << "               capacities that shrink\n"
        << "  --cuts       fleet days on which workers run on while they are cut off\n"
        << "  --evacuations  fleet days on which the operator evacuates failure domains and takes them back\n"
        << "  --connections  fleet days on which connections to workers end after each answer, or go on\n"
        << "               over a restart; by seed\n"
        << "  --restarts   fleet days on which workers restart under their identifiers and are cut off soon\n"
        << "               after\n"
        << "  --failures   fleet days on which workers of all shards fail what they start, and more tasks "
           "fail\n"
        << "               always\n"
        << "  --full-shards  fleet days of long-running tasks that fill the shards, while workers leave;\n"
        << "               passes take processor time, of which nodes have a share of 0.07 to 0.5\n"
        << "  --losses     fleet days on which workers lose power for good, some with their shard's owner\n"
        << "  --renewal-ms N  time for which owners on such days renew leases without the store (5000)\n"
        << "  --step-ns N  time of a step of a pass on a whole processor on such days, in ns (10)\n"
        << "  --share S    share of a processor that nodes have on such days, instead of a random one\n"
        << "  --shards N   number of shards on such days (3)\n"
        << "  --workers N  number of workers of a shard on such days, instead of a random one\n"
        << "  --load P     long-running tasks handed in on such days, in percent of the capacity\n"
        << "  --trace JOB  print the orders for one job; in a fleet, all: for every job\n"
        << "Exit codes: 0 no promise was broken, 1 one was, 2 wrong command line.\n";
}

bool parseVariant(std::string_view name, Emulate::FleetVariant& variant)
{
    for (const auto& [known, value] : fleetVariants) {
        if (name == known) {
            variant = value;
            return true;
        }
    }
    return false;
}

/*! Option without a value. */
struct Switch {
    int flag = 0;
    bool Options::*member = nullptr;
    bool value = true;
};

constexpr Switch switches[] = { { 'c', &Options::withoutFaults }, { 'f', &Options::isFleet },
    { 'w', &Options::hasWaves }, { 'o', &Options::hasOwnerLoss }, { 'l', &Options::hasStatedLease },
    { 'n', &Options::hasWorkerDisturbances, false }, { 'D', &Options::hasDeadlyTasks, false },
    { 'U', &Options::crashesBeforeAnswer }, { 'C', &Options::hasCuts }, { 'F', &Options::hasFailures },
    { 'S', &Options::hasFullShards }, { 'R', &Options::hasRestarts }, { 'N', &Options::hasConnections },
    { 'E', &Options::hasEvacuations }, { 'O', &Options::hasLosses } };

// Returns whether the option has no value.
bool applySwitch(int flag, Options& options)
{
    for (const Switch& known : switches) {
        if (known.flag == flag) {
            options.*known.member = known.value;
            return true;
        }
    }
    return false;
}

// Returns whether the option has a value and this one is allowed.
bool applyValue(int flag, const char* value, Options& options)
{
    switch (flag) {
    case 's':
        options.seed = std::strtoull(value, nullptr, 10);
        return true;
    case 'd':
        options.scenarioCount = std::strtoull(value, nullptr, 10);
        return true;
    case 't':
        options.traceJob = value;
        return true;
    case 'p':
        options.stepNs = std::strtoll(value, nullptr, 10);
        return true;
    case 'P':
        options.processorShare = std::strtod(value, nullptr);
        return true;
    case 'W':
        options.workersPerShard = std::strtoull(value, nullptr, 10);
        return true;
    case 'e':
        options.renewalMs = std::strtoll(value, nullptr, 10);
        return true;
    case 'L':
        options.loadPercent = std::atoi(value);
        return true;
    case 'H':
        options.shardCount = std::strtoull(value, nullptr, 10);
        return true;
    case 'v':
        return parseVariant(value, options.variant);
    default:
        return false;
    }
}

bool parseOptions(int argc, char** argv, Options& options)
{
    static const option flags[]
        = { { "seed", required_argument, nullptr, 's' }, { "days", required_argument, nullptr, 'd' },
              { "calm", no_argument, nullptr, 'c' }, { "trace", required_argument, nullptr, 't' },
              { "fleet", no_argument, nullptr, 'f' }, { "waves", no_argument, nullptr, 'w' },
              { "owner-loss", no_argument, nullptr, 'o' }, { "stated-lease", no_argument, nullptr, 'l' },
              { "variant", required_argument, nullptr, 'v' }, { "no-crashes", no_argument, nullptr, 'n' },
              { "no-deadly", no_argument, nullptr, 'D' }, { "unanswered", no_argument, nullptr, 'U' },
              { "cuts", no_argument, nullptr, 'C' }, { "failures", no_argument, nullptr, 'F' },
              { "restarts", no_argument, nullptr, 'R' }, { "connections", no_argument, nullptr, 'N' },
              { "full-shards", no_argument, nullptr, 'S' }, { "step-ns", required_argument, nullptr, 'p' },
              { "share", required_argument, nullptr, 'P' }, { "workers", required_argument, nullptr, 'W' },
              { "load", required_argument, nullptr, 'L' }, { "shards", required_argument, nullptr, 'H' },
              { "evacuations", no_argument, nullptr, 'E' }, { "losses", no_argument, nullptr, 'O' },
              { "renewal-ms", required_argument, nullptr, 'e' }, { nullptr, 0, nullptr, 0 } };
    for (int flag = 0; (flag = getopt_long(argc, argv, "", flags, nullptr)) != -1;) {
        if (!applySwitch(flag, options) && !applyValue(flag, optarg, options))
            return false;
    }
    return optind == argc;
}

template <typename Scenario, typename Result>
void printViolations(const Scenario& minimized, const Result& result)
{
    std::cout << "seed " << minimized.seed << " broke " << result.violations.size()
              << " promises, the first: " << result.violations.front() << "\n";
    for (const auto& fault : minimized.faults)
        std::cout << "  needed: " << Emulate::describe(fault) << "\n";
}

void playShard(const Options& options, std::uint64_t seed, Totals& totals)
{
    Emulate::Scenario scenario = Emulate::randomScenario(seed, options.withoutFaults);
    if (options.hasWorkerDisturbances && !options.withoutFaults)
        Emulate::addWorkerDisturbances(scenario);
    scenario.hasDeadlyTasks = scenario.hasDeadlyTasks && options.hasDeadlyTasks;
    scenario.crashesBeforeAnswer = options.crashesBeforeAnswer;
    scenario.traceJob = options.traceJob;
    const Emulate::ScenarioResult result = Emulate::runScenario(scenario);
    totals.jobs += result.jobs;
    totals.starts += result.starts;
    totals.unfinished += result.unfinished;
    if (result.violations.empty())
        return;
    ++totals.violatedScenarios;
    for (const std::string& violation : result.violations)
        std::cout << "seed " << seed << ": " << violation << "\n";
    if (options.traceJob.empty() && options.scenarioCount == 1)
        printViolations(Emulate::minimizeScenario(scenario), result);
}

Emulate::FaultMix faultMix(const Options& options)
{
    if (options.withoutFaults)
        return Emulate::FaultMix::None;
    return options.hasWaves ? Emulate::FaultMix::Waves : Emulate::FaultMix::All;
}

Emulate::FleetScenario fleetScenario(const Options& options, std::uint64_t seed)
{
    if (options.hasOwnerLoss)
        return Emulate::ownerLossScenario(seed);
    if (options.hasStatedLease)
        return Emulate::statedLeaseScenario(seed);
    if (options.hasLosses) {
        Emulate::FleetScenario scenario = Emulate::lossScenario(seed);
        if (options.renewalMs > 0)
            scenario.renewalMs = options.renewalMs;
        return scenario;
    }
    if (options.hasFullShards) {
        Emulate::FleetScenario scenario = Emulate::fullShardScenario(seed);
        scenario.processor.stepNs = options.stepNs;
        if (options.processorShare > 0)
            scenario.processor.share = options.processorShare;
        if (options.shardCount > 0)
            scenario.shardCount = options.shardCount;
        if (options.workersPerShard > 0)
            scenario.workersPerShard = options.workersPerShard;
        if (options.loadPercent > 0)
            scenario.longRunningLoadPercent = options.loadPercent;
        return scenario;
    }
    Emulate::FleetScenario scenario = Emulate::randomFleetScenario(seed, faultMix(options));
    if (options.hasWorkerDisturbances && faultMix(options) == Emulate::FaultMix::All)
        Emulate::addWorkerDisturbances(scenario);
    if (options.hasCuts)
        Emulate::addWorkerCuts(scenario);
    if (options.hasFailures)
        Emulate::addWorkerFailures(scenario);
    if (options.hasRestarts)
        Emulate::addWorkerRestarts(scenario);
    if (options.hasConnections)
        Emulate::drawConnections(scenario);
    if (options.hasEvacuations)
        Emulate::addEvacuations(scenario);
    return scenario;
}

void playFleet(const Options& options, std::uint64_t seed, Totals& totals)
{
    Emulate::FleetScenario scenario = fleetScenario(options, seed);
    scenario.hasDeadlyTasks = scenario.hasDeadlyTasks && options.hasDeadlyTasks;
    scenario.crashesBeforeAnswer = options.crashesBeforeAnswer;
    scenario.variant = options.variant;
    scenario.traceJob = options.traceJob;
    if (!scenario.traceJob.empty()) {
        for (const Emulate::FleetFault& fault : scenario.faults)
            std::cout << "fault: " << Emulate::describe(fault) << "\n";
    }
    const Emulate::FleetResult result = Emulate::runFleetScenario(scenario);
    totals.jobs += result.jobs;
    totals.starts += result.starts;
    totals.unfinished += result.unfinished;
    totals.delegations += result.delegations;
    totals.excusedWaits += result.excusedWaits;
    totals.mostWaiting = std::max(totals.mostWaiting, result.mostWaiting);
    totals.longestPassSteps = std::max(totals.longestPassSteps, result.longestPassSteps);
    if (result.longestExcused.idleMs > totals.longestExcused.idleMs) {
        totals.longestExcused = result.longestExcused;
        totals.longestExcusedSeed = seed;
    }
    if (result.violations.empty())
        return;
    ++totals.violatedScenarios;
    for (const std::string& violation : result.violations)
        std::cout << "seed " << seed << ": " << violation << "\n";
    if (options.traceJob.empty() && options.scenarioCount == 1)
        printViolations(Emulate::minimizeFleetScenario(scenario), result);
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    if (!parseOptions(argc, argv, options)) {
        printUsage(std::cerr);
        return 2;
    }
    const auto startedAt = std::chrono::steady_clock::now();
    Totals totals;
    for (std::uint64_t number = 0; number < options.scenarioCount; ++number) {
        if (options.isFleet)
            playFleet(options, options.seed + number, totals);
        else
            playShard(options, options.seed + number, totals);
    }
    const double seconds
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    std::cout << options.scenarioCount << " days, " << totals.jobs << " jobs, " << totals.starts
              << " starts, ";
    if (options.isFleet)
        std::cout << totals.delegations << " delegations, " << totals.excusedWaits
                  << " excused waits (longest " << totals.longestExcused.idleMs << " ms, seed "
                  << totals.longestExcusedSeed << ", job " << totals.longestExcused.job << "), longest pass "
                  << totals.longestPassSteps << " steps, at most " << totals.mostWaiting
                  << " long-running tasks waiting, ";
    std::cout << totals.unfinished << " jobs unfinished, " << totals.violatedScenarios
              << " days with a broken promise, " << seconds << " s\n";
    return totals.violatedScenarios == 0 ? 0 : 1;
}
