#include "report.h"

#include <algorithm>
#include <cstdio>

namespace FloodBench {

namespace {

std::string format(const char* printfFormat, double value)
{
    char buffer[64];
    std::snprintf(buffer, sizeof(buffer), printfFormat, value);
    return buffer;
}

double ratio(double numerator, double denominator)
{
    return denominator > 0 ? numerator / denominator : 0;
}

// Useful slot time of a class relative to its guarantee, or to the load its callers offer if that is lower.
double shareOfEntitlement(const Scenario& scenario, const Measurement& measurement, std::size_t classIndex)
{
    const auto flood = static_cast<std::size_t>(RunPhase::Flood);
    const ClassLoad& load = scenario.classes[classIndex];
    const double available = measurement.availableSlotSeconds[flood];
    const double entitlement = std::min(load.guaranteedShare, load.baseLoad + load.floodLoad) * available;
    return ratio(measurement.classes[flood][classIndex].usefulSlotSeconds, entitlement);
}

} // namespace

Report::Report(const FleetSize& fleet, std::string policy)
    : title_("### " + fleet.name + ", " + std::move(policy))
{
}

void Report::add(const Scenario& scenario, Measurement measurement)
{
    rows_ += row(scenario, measurement);
}

void Report::print() const
{
    std::printf("%s\n\n", title_.c_str());
    std::puts("| scenario | urgent goodput | of reference | urgent p99 ms | times reference | normal, of its "
              "right |"
              " low, of its right | useful slot time | repeated sends | recovery s | failing server |"
              " greatest use |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|---|---|");
    std::printf("%s\n", rows_.c_str());
    std::fflush(stdout);
}

std::string Report::row(const Scenario& scenario, Measurement& measurement)
{
    const auto flood = static_cast<std::size_t>(RunPhase::Flood);
    ClassResult& urgent = measurement.classes[flood][0];
    const double goodput
        = ratio(static_cast<double>(urgent.baseCompletedInTime), static_cast<double>(urgent.baseOffered));
    const double p99 = quantile(urgent.latencies, 0.99);
    if (!reference_) {
        reference_ = measurement;
        referenceGoodput_ = goodput;
        referenceP99_ = p99;
    }
    double useful = 0;
    for (const ClassResult& result : measurement.classes[flood])
        useful += result.usefulSlotSeconds;
    const double sends = static_cast<double>(measurement.sends[flood]);
    const double first = static_cast<double>(measurement.firstSends[flood]);
    const double failing = ratio(static_cast<double>(measurement.sendsToFailingBackend),
        static_cast<double>(measurement.sendsToAnyBackend));
    std::string line = "| " + scenario.name;
    line += format(" | %.2f%%", 100 * goodput);
    line += format(" | %.1f%%", 100 * ratio(goodput, referenceGoodput_));
    line += format(" | %.0f", 1000 * p99);
    line += format(" | %.2f", ratio(p99, referenceP99_));
    line += format(" | %.0f%%", 100 * shareOfEntitlement(scenario, measurement, 1));
    line += format(" | %.0f%%", 100 * shareOfEntitlement(scenario, measurement, 2));
    line += format(" | %.1f%%", 100 * ratio(useful, measurement.availableSlotSeconds[flood]));
    line += format(" | %.2f%%", 100 * ratio(sends - first, first));
    line += format(" | %.0f", recoverySeconds(measurement, *reference_));
    line += scenario.hasFailingBackend ? format(" | %.2f%%", 100 * failing) : " | ";
    line += format(" | %.0f |\n", measurement.maxBackendRequests);
    return line;
}

} // namespace FloodBench
