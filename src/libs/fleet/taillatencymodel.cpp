#include "taillatencymodel.h"

#include <fleet.pb.h>

#include <algorithm>
#include <cmath>

namespace Fleet {

namespace {

// Estimates before the first sample: a task alone uses about half of what its target allows, and an unknown
// colocated image interferes moderately.
constexpr double priorOwnUtilization = 0.5;
constexpr double priorPressure = 0.5;
// Utilization limit before the first sample; a target is about four times the tail latency without load.
constexpr double priorLimit = 0.75;
// Variance of a coefficient before the first sample, in units of a sample's variance. With a known own
// utilization, a sample's standard deviation is about 0.045, and the pressure of an unknown pair may be
// several times the prior.
constexpr double priorVarianceOfMix = 10;
constexpr double priorVarianceOfPressure = 180;
// Factor by which each new sample reduces the weight of the earlier ones; about three thousand samples are
// remembered.
constexpr double forgettingFactor = 0.9997;
// Upper bound on the variance, so that coefficients without samples stay close to their value.
constexpr double maxVarianceOfMix = 50;
constexpr double maxVarianceOfPressure = 200;
// Weight from which a pressure counts as known: that of a hundred samples in which the image used a tenth of
// the processors.
constexpr double minKnownWeightOfMix = 1;
// The same with a known own utilization: a standard deviation of 0.14.
constexpr double minKnownWeightOfPressure = 0.1;
// Limits the effect of a sample that an unnoticed backlog or end of a task has spoiled.
constexpr double maxPressureDeviation = 0.3;
// Images whose pressure is higher must not meet, however much higher it is.
constexpr double maxComparablePressure = 1;
// Lower bound on the variance, which bounds the weight of one node's estimate.
constexpr double minVariance = 1e-4;
// Greatest number of colocated images that are distinguished for one latency-critical image; others keep the
// prior pressure.
constexpr std::size_t maxImages = 24;

} // namespace

double TailLatencyModel::priorVariance() const
{
    return isOwnUtilizationKnown_ ? priorVarianceOfPressure : priorVarianceOfMix;
}

double TailLatencyModel::minKnownWeight() const
{
    return isOwnUtilizationKnown_ ? minKnownWeightOfPressure : minKnownWeightOfMix;
}

std::size_t TailLatencyModel::coefficientIndex(Estimate& estimate, std::string_view image) const
{
    const auto found = estimate.indexByImage.find(image);
    if (found != estimate.indexByImage.end())
        return found->second;
    const std::size_t size = estimate.coefficients.size();
    if (size > maxImages)
        return 0;
    std::vector<double> covariance((size + 1) * (size + 1), 0);
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column < size; ++column)
            covariance[row * (size + 1) + column] = estimate.covariance[row * size + column];
    }
    covariance[size * (size + 1) + size] = priorVariance();
    estimate.covariance = std::move(covariance);
    estimate.coefficients.push_back(priorPressure);
    estimate.indexByImage.emplace(std::string(image), size);
    return size;
}

TailLatencyModel::Estimate& TailLatencyModel::estimateOf(
    const std::string& criticalImage, double tailLatencyMs)
{
    Estimate& estimate = estimates_[criticalImage];
    if (estimate.coefficients.empty()) {
        estimate.coefficients = { priorOwnUtilization };
        estimate.covariance = { priorVariance() };
        estimate.minTailLatencyMs = tailLatencyMs;
    }
    estimate.minTailLatencyMs = std::min(estimate.minTailLatencyMs, tailLatencyMs);
    return estimate;
}

void TailLatencyModel::addTailLatency(const std::string& criticalImage, double tailLatencyMs)
{
    if (tailLatencyMs > 0)
        estimateOf(criticalImage, tailLatencyMs);
}

void TailLatencyModel::addSample(
    const std::string& criticalImage, std::span<const ImageShare> colocated, double tailLatencyMs)
{
    if (tailLatencyMs <= 0)
        return;
    Estimate& estimate = estimateOf(criticalImage, tailLatencyMs);
    std::vector<std::pair<std::size_t, double>> parts;
    for (const ImageShare& part : colocated)
        parts.emplace_back(coefficientIndex(estimate, part.image), part.share);
    std::vector<double> features(estimate.coefficients.size(), 0);
    features[0] = 1;
    for (const auto& [index, share] : parts) {
        if (index > 0)
            features[index] += share;
    }
    update(estimate, features, utilization(criticalImage, tailLatencyMs));
}

void TailLatencyModel::addColocationSample(const std::string& criticalImage,
    std::span<const ImageShare> colocated, double addedUtilization, double weight)
{
    const auto found = estimates_.find(criticalImage);
    if (found == estimates_.end())
        return;
    Estimate& estimate = found->second;
    std::vector<std::pair<std::size_t, double>> shares;
    for (const ImageShare& part : colocated)
        shares.emplace_back(coefficientIndex(estimate, part.image), part.share);
    // The first coefficient, which is not learned here, also stands for images beyond the greatest number.
    const double scale = std::sqrt(weight);
    std::vector<double> features(estimate.coefficients.size(), 0);
    for (const auto& [index, share] : shares) {
        if (index > 0)
            features[index] += scale * share;
    }
    update(estimate, features, scale * addedUtilization);
}

void TailLatencyModel::update(Estimate& estimate, std::span<const double> features, double measured) const
{
    const std::size_t size = features.size();
    const double maxVariance = isOwnUtilizationKnown_ ? maxVarianceOfPressure : maxVarianceOfMix;
    std::vector<double> gain(size, 0);
    double norm = forgettingFactor;
    double predicted = 0;
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column < size; ++column)
            gain[row] += estimate.covariance[row * size + column] * features[column];
        norm += gain[row] * features[row];
        predicted += estimate.coefficients[row] * features[row];
    }
    double deviation = measured - predicted;
    if (isOwnUtilizationKnown_)
        deviation = std::clamp(deviation, -maxPressureDeviation, maxPressureDeviation);
    for (std::size_t row = 0; row < size; ++row)
        estimate.coefficients[row] += gain[row] / norm * deviation;
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column < size; ++column) {
            double& cell = estimate.covariance[row * size + column];
            cell = (cell - gain[row] * gain[column] / norm) / forgettingFactor;
            if (row == column)
                cell = std::min(cell, maxVariance);
        }
    }
}

std::optional<double> TailLatencyModel::minTailLatency(const std::string& criticalImage) const
{
    const auto own = estimates_.find(criticalImage);
    const auto others = peerEstimates_.find(criticalImage);
    if (own == estimates_.end() && others == peerEstimates_.end())
        return std::nullopt;
    if (own == estimates_.end())
        return others->second.minTailLatencyMs;
    if (others == peerEstimates_.end())
        return own->second.minTailLatencyMs;
    return std::min(own->second.minTailLatencyMs, others->second.minTailLatencyMs);
}

double TailLatencyModel::utilization(const std::string& criticalImage, double tailLatencyMs) const
{
    const std::optional<double> minLatencyMs = minTailLatency(criticalImage);
    if (!minLatencyMs || tailLatencyMs <= 0)
        return priorOwnUtilization;
    return std::clamp(1 - *minLatencyMs / tailLatencyMs, 0.0, 1.0);
}

double TailLatencyModel::utilizationLimit(const std::string& criticalImage, double targetMs) const
{
    return minTailLatency(criticalImage) ? utilization(criticalImage, targetMs) : priorLimit;
}

TailLatencyModel::WeightedPressure TailLatencyModel::combinedPressure(
    const std::string& criticalImage, std::string_view colocated) const
{
    WeightedPressure sum;
    if (const auto others = peerEstimates_.find(criticalImage); others != peerEstimates_.end()) {
        if (const auto pair = others->second.pairs.find(colocated); pair != others->second.pairs.end())
            sum = pair->second;
    }
    if (const auto own = estimates_.find(criticalImage); own != estimates_.end()) {
        if (const auto index = own->second.indexByImage.find(colocated);
            index != own->second.indexByImage.end()) {
            const double weight = coefficientWeight(own->second, index->second);
            sum.weightedSum += weight * own->second.coefficients[index->second];
            sum.weight += weight;
        }
    }
    return sum;
}

double TailLatencyModel::pressure(const std::string& criticalImage, std::string_view colocated) const
{
    const WeightedPressure sum = combinedPressure(criticalImage, colocated);
    return sum.weight > 0 ? std::max(0.0, sum.weightedSum / sum.weight) : priorPressure;
}

bool TailLatencyModel::isPressureKnown(const std::string& criticalImage, std::string_view colocated) const
{
    return combinedPressure(criticalImage, colocated).weight >= minKnownWeight();
}

void TailLatencyModel::count(std::optional<OverTargetCause> cause)
{
    ++account_.measurements;
    if (cause)
        ++account_.overTarget[static_cast<std::size_t>(*cause)];
}

double TailLatencyModel::comparablePressure(double pressure) const
{
    return isOwnUtilizationKnown_ ? std::min(pressure, maxComparablePressure) : pressure;
}

double TailLatencyModel::addedUtilization(
    const std::string& criticalImage, std::span<const ImageShare> colocated) const
{
    double sum = 0;
    for (const ImageShare& part : colocated)
        sum += part.share * pressure(criticalImage, part.image);
    return sum;
}

double TailLatencyModel::coefficientWeight(const Estimate& estimate, std::size_t index)
{
    return 1 / std::max(minVariance, estimate.covariance[index * estimate.coefficients.size() + index]);
}

FleetSchema::TailKnowledge TailLatencyModel::knowledge() const
{
    FleetSchema::TailKnowledge knowledge;
    for (const auto& [criticalImage, estimate] : estimates_) {
        FleetSchema::TailEstimate& written = *knowledge.add_estimates();
        written.set_image(criticalImage);
        written.set_least_tail_ms(estimate.minTailLatencyMs);
        for (const auto& [image, index] : estimate.indexByImage) {
            FleetSchema::TailEstimate::Pressure& pair = *written.add_pressures();
            pair.set_image(image);
            pair.set_pressure(estimate.coefficients[index]);
            pair.set_weight(coefficientWeight(estimate, index));
        }
    }
    return knowledge;
}

void TailLatencyModel::resume(const FleetSchema::TailKnowledge& former)
{
    estimates_.clear();
    for (const FleetSchema::TailEstimate& known : former.estimates()) {
        if (known.least_tail_ms() <= 0)
            continue;
        Estimate& estimate = estimates_[known.image()];
        estimate.coefficients = { priorOwnUtilization };
        estimate.covariance = { priorVariance() };
        estimate.minTailLatencyMs = known.least_tail_ms();
        for (const FleetSchema::TailEstimate::Pressure& pair : known.pressures()) {
            const std::size_t index = coefficientIndex(estimate, pair.image());
            if (index == 0 || pair.weight() <= 0)
                continue;
            estimate.coefficients[index] = pair.pressure();
            estimate.covariance[index * estimate.coefficients.size() + index]
                = std::min(priorVariance(), 1 / pair.weight());
        }
    }
}

void TailLatencyModel::setPeerKnowledge(std::span<const FleetSchema::TailKnowledge> others)
{
    peerEstimates_.clear();
    for (const FleetSchema::TailKnowledge& knowledge : others) {
        for (const FleetSchema::TailEstimate& known : knowledge.estimates()) {
            if (known.least_tail_ms() <= 0)
                continue;
            PeerEstimate& estimate = peerEstimates_[known.image()];
            estimate.minTailLatencyMs = estimate.minTailLatencyMs > 0
                ? std::min(estimate.minTailLatencyMs, known.least_tail_ms())
                : known.least_tail_ms();
            for (const FleetSchema::TailEstimate::Pressure& pair : known.pressures()) {
                WeightedPressure& sum = estimate.pairs[pair.image()];
                sum.weightedSum += pair.weight() * pair.pressure();
                sum.weight += pair.weight();
            }
        }
    }
}

} // namespace Fleet
