#include "emulatedday.h"

#include <getopt.h>

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace {

struct Options {
    std::uint64_t seed = 1;
    std::uint64_t days = 1;
    bool isCalm = false;
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
            options.days = std::strtoull(optarg, nullptr, 10);
            break;
        case 'c':
            options.isCalm = true;
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

void printFailure(const Emulate::DayPlan& plan, const Emulate::DayResult& result)
{
    std::cout << "seed " << plan.seed << " broke " << result.broken.size()
              << " promises, the first: " << result.broken.front() << "\n";
    for (const Emulate::Fault& fault : Emulate::shrinkPlan(plan).faults)
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
    std::size_t brokenDays = 0;
    std::size_t unfinished = 0;
    for (std::uint64_t day = 0; day < options.days; ++day) {
        Emulate::DayPlan plan = Emulate::drawPlan(options.seed + day, options.isCalm);
        plan.traceJob = options.traceJob;
        const Emulate::DayResult result = Emulate::playDay(plan);
        jobs += result.jobs;
        starts += result.starts;
        unfinished += result.unfinished;
        if (result.broken.empty())
            continue;
        ++brokenDays;
        printFailure(plan, result);
    }
    const double seconds
        = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    std::cout << options.days << " days, " << jobs << " jobs, " << starts << " starts, " << unfinished
              << " jobs unfinished, " << brokenDays << " days with a broken promise, " << seconds << " s\n";
    return brokenDays == 0 ? 0 : 1;
}
