#include "baselinepolicy.h"
#include "corepolicy.h"
#include "report.h"
#include "simulation.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>

using namespace FloodBench;
using namespace std::chrono_literals;

namespace {

std::vector<ClassLoad> baseClasses()
{
    return { { .name = "urgent",
                 .guaranteedShare = 0.4,
                 .ceilingShare = 1,
                 .maxQueueTime = 250ms,
                 .deadline = 1s,
                 .baseLoad = 0.3 },
        { .name = "normal",
            .guaranteedShare = 0.3,
            .ceilingShare = 1,
            .maxQueueTime = 500ms,
            .deadline = 2s,
            .baseLoad = 0.25 },
        { .name = "low",
            .guaranteedShare = 0.1,
            .ceilingShare = 1,
            .maxQueueTime = 1s,
            .deadline = 3s,
            .baseLoad = 0.15 } };
}

std::vector<Scenario> scenarios(std::uint64_t seed)
{
    Scenario base { .name = "no flood", .classes = baseClasses(), .seed = seed };
    Scenario low = base;
    low.name = "least urgent at 10 times capacity";
    low.classes[2].floodLoad = 10;
    Scenario urgent = base;
    urgent.name = "most urgent at 10 times capacity";
    urgent.classes[0].floodLoad = 10;
    Scenario both = low;
    both.name = "both at 10 times capacity";
    both.classes[0].floodLoad = 10;
    Scenario lost = both;
    lost.name = "both, one domain lost";
    lost.losesDomain = true;
    Scenario failing = base;
    failing.name = "no flood, one backend server fails quickly";
    failing.hasFailingBackend = true;
    Scenario flaky = low;
    flaky.name = "least urgent at 10 times, every fifth backend server fails half";
    flaky.hasFlakyBackends = true;
    return { base, low, urgent, both, lost, flaky, failing };
}

Measurement measure(const FleetSize& fleet, const Scenario& scenario, bool baseline)
{
    const PolicyFactory makePolicy = [&scenario, baseline](const std::string& domain, std::uint32_t index,
                                         std::uint32_t members, std::span<const Requests::Backend> backends) {
        if (baseline)
            return std::unique_ptr<EntryPolicy>(std::make_unique<BaselinePolicy>(backends));
        return std::unique_ptr<EntryPolicy>(
            std::make_unique<CorePolicy>(scenario, domain, index, members, backends));
    };
    return Simulation(fleet, scenario, makePolicy).run();
}

void printHelp()
{
    std::puts("Usage: gqfloodbench [--seed N] [--without-baseline | --baseline-only]\n"
              "Simulates floods against the request policy and prints a table in Markdown.");
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seed = 1;
    bool withBaseline = true;
    bool withPolicy = true;
    static const option options[]
        = { { "seed", required_argument, nullptr, 's' }, { "without-baseline", no_argument, nullptr, 'w' },
              { "baseline-only", no_argument, nullptr, 'b' }, { "help", no_argument, nullptr, 'h' }, {} };
    for (int choice = 0; (choice = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (choice == 's')
            seed = std::strtoull(optarg, nullptr, 10);
        else if (choice == 'w')
            withBaseline = false;
        else if (choice == 'b')
            withPolicy = false;
        else {
            printHelp();
            return choice == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }
    const FleetSize fleets[] = { { .name = "50 x 8 slots", .backends = 50, .entryVms = 8 },
        { .name = "65 x 8 slots", .backends = 65, .entryVms = 8 } };
    for (const FleetSize& fleet : fleets) {
        for (const bool baseline : { true, false }) {
            if (baseline ? !withBaseline : !withPolicy)
                continue;
            Report report(fleet, baseline ? "baseline" : "geraniumquay");
            for (const Scenario& scenario : scenarios(seed))
                report.add(scenario, measure(fleet, scenario, baseline));
            report.print();
        }
    }
    return EXIT_SUCCESS;
}
