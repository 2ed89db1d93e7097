#include "scenario.h"

#include <getopt.h>

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace {

struct Options {
    std::uint64_t seed = 1;
    std::uint64_t scenarioCount = 1;
    bool withoutFaults = false;
    std::string traceJob;
};

void printUsage(std::ostream& stream)
{
    stream
        << "Usage: gqemulate [--seed N] [--days N] [--calm] [--trace JOB]\n"
        << "Plays days of a shard in virtual time with the real scheduler and judges what its workers did.\n"
        << "  --seed N     seed of the first day (1)\n"
        << "  --days N     number of days with seeds from there on (1)\n"
        << "  --calm       days without faults\n"
        << "  --trace JOB  print the orders for one job\n"
        << "Exit codes: 0 no promise was broken, 1 one was, 2 wrong command line.\n";
}

bool parseOptions(int argc, char** argv, Options& options)
{
    static const option flags[] = { { "seed", required_argument, nullptr, 's' },
        { "days", required_argument, nullptr, 'd' }, { "calm", no_argument, nullptr, 'c' },
        { "trace", required_argument, nullptr, 't' }, { nullptr, 0, nullptr, 0 } };
    for (int flag = 0; (flag = getopt_long(argc, argv, "", flags, nullptr)) != -1;) {
        switch (flag) {
        case 's':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'd':
            options.scenarioCount = std::strtoull(optarg, nullptr, 10);
            break;
        case 'c':
            options.withoutFaults = true;
            break;
        case 't':
            options.traceJob = optarg;
            break;
        default:
            return false;
        }
    }
    return optind == argc;
}

void printViolations(const Emulate::Scenario& scenario, const Emulate::ScenarioResult& result)
{
    std::cout << "seed " << scenario.seed << " broke " << result.violations.size()
              << " promises, the first: " << result.violations.front() << "\n";
    for (const Emulate::Fault& fault : Emulate::minimizeScenario(scenario).faults)
        std::cout << "  needed: " << Emulate::describe(fault) << "\n";
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
    std::size_t jobs = 0;
    std::size_t starts = 0;
    std::size_t violatedScenarios = 0;
    std::size_t unfinished = 0;
    for (std::uint64_t number = 0; number < options.scenarioCount; ++number) {
        Emulate::Scenario scenario = Emulate::randomScenario(options.seed + number, options.withoutFaults);
        scenario.traceJob = options.traceJob;
        const Emulate::ScenarioResult result = Emulate::runScenario(scenario);
        jobs += result.jobs;
        starts += result.starts;
        unfinished += result.unfinished;
        if (result.violations.empty())
            continue;
        ++violatedScenarios;
        printViolations(scenario, result);
    }
    const double seconds
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    std::cout << options.scenarioCount << " days, " << jobs << " jobs, " << starts << " starts, "
              << unfinished << " jobs unfinished, " << violatedScenarios << " days with a broken promise, "
              << seconds << " s\n";
    return violatedScenarios == 0 ? 0 : 1;
}
