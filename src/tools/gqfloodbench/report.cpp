#include "report.h"

#include <algorithm>
#include <cstdio>

namespace FloodBench {

namespace {

std::string formatted(const char* format, double value)
{
    char buffer[64];
    std::snprintf(buffer, sizeof(buffer), format, value);
    return buffer;
}

double ratio(double numerator, double denominator)
{
    return denominator > 0 ? numerator / denominator : 0;
}

// Slot time of a class over what it is guaranteed, or over what its callers offer if that is less.
double shareOfRight(const Scenario& scenario, const Measurement& measurement, std::size_t classIndex)
{
    const auto flood = static_cast<std::size_t>(Part::Flood);
    const ClassLoad& load = scenario.classes[classIndex];
    const double available = measurement.availableSlotSeconds[flood];
    const double right = std::min(load.guaranteed, load.baseLoad + load.floodLoad) * available;
    return ratio(measurement.classes[flood][classIndex].usefulSlotSeconds, right);
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
    const auto flood = static_cast<std::size_t>(Part::Flood);
    ClassResult& urgent = measurement.classes[flood][0];
    const double goodput
        = ratio(static_cast<double>(urgent.baseGood), static_cast<double>(urgent.baseOffered));
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
    const double failing
        = ratio(static_cast<double>(measurement.failingSends), static_cast<double>(measurement.lateSends));
    std::string line = "| " + scenario.name;
    line += formatted(" | %.2f%%", 100 * goodput);
    line += formatted(" | %.1f%%", 100 * ratio(goodput, referenceGoodput_));
    line += formatted(" | %.0f", 1000 * p99);
    line += formatted(" | %.2f", ratio(p99, referenceP99_));
    line += formatted(" | %.0f%%", 100 * shareOfRight(scenario, measurement, 1));
    line += formatted(" | %.0f%%", 100 * shareOfRight(scenario, measurement, 2));
    line += formatted(" | %.1f%%", 100 * ratio(useful, measurement.availableSlotSeconds[flood]));
    line += formatted(" | %.2f%%", 100 * ratio(sends - first, first));
    line += formatted(" | %.0f", recoverySeconds(measurement, *reference_));
    line += scenario.failingBackend ? formatted(" | %.2f%%", 100 * failing) : " | ";
    line += formatted(" | %.0f |\n", measurement.greatestBackendUse);
    return line;
}

} // namespace FloodBench
