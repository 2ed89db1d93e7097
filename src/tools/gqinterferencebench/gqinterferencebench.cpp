#include "firstfitstrategy.h"
#include "foresightstrategy.h"
#include "learningstrategy.h"

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

using MakeStrategy = std::function<std::unique_ptr<Strategy>()>;

MakeStrategy firstFit(const char* title, double share, bool evicts)
{
    return [=] { return std::make_unique<FirstFitStrategy>(title, share, evicts); };
}

std::vector<MakeStrategy> strategies()
{
    return {
        [] { return std::make_unique<ForesightStrategy>(); },
        firstFit("first fit by declared size", 1.0, false),
        firstFit("static cap 10%", 0.1, false),
        firstFit("static cap 20%", 0.2, false),
        firstFit("static cap 30%", 0.3, false),
        firstFit("static cap 40%", 0.4, false),
        firstFit("static cap 60%", 0.6, false),
        firstFit("threshold only", 1.0, true),
        [] { return std::make_unique<LearningStrategy>(false); },
        [] { return std::make_unique<LearningStrategy>(true); },
    };
}

/*! Share of the deadlines met with foresight that were met, in percent. */
double deadlinesMet(const GroundTruth& truth, const Outcome& foresight, const Outcome& outcome)
{
    std::size_t possible = 0;
    std::size_t met = 0;
    for (std::size_t task = 0; task < truth.tasks().size(); ++task) {
        const double deadlineAt = truth.tasks()[task].deadlineAt;
        if (deadlineAt <= 0 || deadlineAt > runSeconds || !foresight.metDeadlines[task])
            continue;
        ++possible;
        met += outcome.metDeadlines[task] ? 1 : 0;
    }
    return possible == 0 ? 100 : 100.0 * static_cast<double>(met) / static_cast<double>(possible);
}

void printRows(const FleetSize& size, std::uint64_t seed, const std::string& part)
{
    const GroundTruth truth(size, seed, runSeconds);
    Outcome foresight;
    for (const MakeStrategy& make : strategies()) {
        const std::unique_ptr<Strategy> strategy = make();
        if (!foresight.metDeadlines.empty() && strategy->name().find(part) == std::string::npos)
            continue;
        FakeFleet fleet(truth, *strategy);
        const Outcome outcome = fleet.run(runSeconds);
        if (foresight.metDeadlines.empty())
            foresight = outcome;
        std::printf("| %llu | %s | %.2f | %.0f | %zu | %zu | %.1f | %.1f |\n",
            static_cast<unsigned long long>(seed), strategy->name().c_str(), outcome.overObjectivePercent,
            outcome.processorHours, outcome.evictions, outcome.memoryKills,
            deadlinesMet(truth, foresight, outcome), outcome.urgentStartP99);
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::string part = argc > 1 ? argv[1] : "";
    const std::size_t workers = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 0;
    const std::uint64_t onlySeed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 0;
    if (argc > 4 || part == "--help") {
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
                printRows(size, seed, part);
        }
    }
    return EXIT_SUCCESS;
}
