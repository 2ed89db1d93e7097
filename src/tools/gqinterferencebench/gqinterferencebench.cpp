#include "clairvoyantstrategy.h"
#include "enginestrategy.h"
#include "firstfitstrategy.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>

using namespace Bench;

namespace {

constexpr FleetSize fleets[] = {
    { "Ọjà Lunch, 50 workers of 32 processors, 8 to a rack", 50, 8, { 32000, 125000, 0 } },
    { "Litoral, 65 workers of 64 processors, 11 to a rack", 65, 11, { 64000, 250000, 0 } },
};
constexpr double runSeconds = 3 * 3600;
constexpr std::uint64_t seeds[] = { 1, 2, 3 };

using StrategyFactory = std::function<std::unique_ptr<Strategy>()>;

StrategyFactory makeFirstFit(const char* title, double share, bool evicts)
{
    return [=] { return std::make_unique<FirstFitStrategy>(title, share, evicts); };
}

std::vector<StrategyFactory> strategies()
{
    return {
        [] { return std::make_unique<ClairvoyantStrategy>(); },
        makeFirstFit("first fit by declared size", 1.0, false),
        makeFirstFit("static cap 10%", 0.1, false),
        makeFirstFit("static cap 20%", 0.2, false),
        makeFirstFit("static cap 30%", 0.3, false),
        makeFirstFit("static cap 40%", 0.4, false),
        makeFirstFit("static cap 60%", 0.6, false),
        makeFirstFit("threshold only", 1.0, true),
        [] { return std::make_unique<EngineStrategy>(false); },
        [] { return std::make_unique<EngineStrategy>(true); },
    };
}

/*! Percentage of the deadlines met by the clairvoyant strategy that another result also met. */
double reachableDeadlinesMetPercent(
    const GroundTruth& truth, const RunResult& clairvoyant, const RunResult& result)
{
    std::size_t reachableCount = 0;
    std::size_t metCount = 0;
    for (std::size_t task = 0; task < truth.tasks().size(); ++task) {
        const double deadlineAt = truth.tasks()[task].deadlineAt;
        if (deadlineAt <= 0 || deadlineAt > runSeconds || !clairvoyant.metDeadlines[task])
            continue;
        ++reachableCount;
        metCount += result.metDeadlines[task] ? 1 : 0;
    }
    return reachableCount == 0 ? 100
                               : 100.0 * static_cast<double>(metCount) / static_cast<double>(reachableCount);
}

void printRows(const FleetSize& size, std::uint64_t seed, const std::string& nameFilter)
{
    const GroundTruth truth(size, seed, runSeconds);
    RunResult clairvoyant;
    for (const StrategyFactory& makeStrategy : strategies()) {
        const std::unique_ptr<Strategy> strategy = makeStrategy();
        if (!clairvoyant.metDeadlines.empty() && strategy->name().find(nameFilter) == std::string::npos)
            continue;
        SimulatedFleet fleet(truth, *strategy);
        const RunResult result = fleet.run(runSeconds);
        if (clairvoyant.metDeadlines.empty())
            clairvoyant = result;
        std::printf("| %llu | %s | %.2f | %.0f | %zu | %zu | %.1f | %.1f |\n",
            static_cast<unsigned long long>(seed), strategy->name().c_str(), result.overObjectivePercent,
            result.completedProcessorHours, result.evictions, result.memoryKills,
            reachableDeadlinesMetPercent(truth, clairvoyant, result), result.urgentStartP99Seconds);
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::string nameFilter = argc > 1 ? argv[1] : "";
    const std::size_t workers = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 0;
    const std::uint64_t onlySeed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 0;
    if (argc > 4 || nameFilter == "--help") {
        std::fprintf(stderr,
            "usage: gqinterferencebench [part of a placement's name [workers [seed]]]\n"
            "0 workers: both fleets; seed 0: all seeds\n");
        return EXIT_FAILURE;
    }
    for (const FleetSize& size : fleets) {
        if (workers != 0 && workers != size.workers)
            continue;
        std::printf("\n%s, 3 h\n\n", size.name);
        std::printf(
            "| seed | placement | over objective, %% of time | batch work, processor hours | evictions | "
            "memory kills | deadlines met, %% | urgent start p99, s |\n");
        std::printf("|---|---|---|---|---|---|---|---|\n");
        for (const std::uint64_t seed : seeds) {
            if (onlySeed == 0 || onlySeed == seed)
                printRows(size, seed, nameFilter);
        }
    }
    return EXIT_SUCCESS;
}
