#include "emulatedday.h"

#include "emulatedshard.h"

#include <algorithm>
#include <random>

namespace Emulate {

namespace {

constexpr std::int64_t dayMs = 40'000;
constexpr std::int64_t trafficMs = 18'000;
constexpr std::int64_t tickMs = 10;
constexpr std::size_t workerCount = 6;

} // namespace

DayPlan drawPlan(std::uint64_t seed, bool calm)
{
    DayPlan plan;
    plan.seed = seed;
    if (calm)
        return plan;
    std::mt19937_64 random(seed);
    const std::size_t count = 2 + random() % 6;
    for (std::size_t number = 0; number < count; ++number) {
        Fault fault;
        fault.kind = static_cast<FaultKind>(random() % 7);
        fault.atMs = static_cast<std::int64_t>(500 + random() % 18'000);
        fault.forMs = static_cast<std::int64_t>(300 + random() % 6'000);
        fault.worker = random() % workerCount;
        plan.faults.push_back(fault);
    }
    return plan;
}

DayResult playDay(const DayPlan& plan)
{
    EmulatedShard shard(plan, workerCount, trafficMs);
    for (std::int64_t nowMs = 0; nowMs < dayMs; nowMs += tickMs)
        shard.advance(nowMs);
    return shard.result();
}

DayPlan shrinkPlan(DayPlan plan)
{
    for (std::size_t position = 0; position < plan.faults.size();) {
        DayPlan smaller = plan;
        smaller.faults.erase(smaller.faults.begin() + static_cast<std::ptrdiff_t>(position));
        if (playDay(smaller).broken.empty())
            ++position;
        else
            plan = smaller;
    }
    return plan;
}

std::string describe(const Fault& fault)
{
    static constexpr const char* names[] = { "owner killed", "worker crashes", "worker cut off",
        "worker fails everything", "worker slow", "orders carried out late", "store down" };
    return std::string(names[static_cast<std::size_t>(fault.kind)]) + " at " + std::to_string(fault.atMs)
        + " ms for " + std::to_string(fault.forMs) + " ms (worker " + std::to_string(fault.worker) + ")";
}

} // namespace Emulate
