#include "tailmodel.h"

#include <fleet.pb.h>

#include <algorithm>

namespace Fleet {

namespace {

// A task alone uses about half of what it can bear; an unknown neighbour is taken for a moderately disturbing
// one.
constexpr double priorOwn = 0.5;
constexpr double priorPressure = 0.5;
// A target is some four times the tail without load.
constexpr double priorLimit = 0.75;
// Variance of a coefficient before any sample, in units of the variance of a sample.
constexpr double priorVariance = 10;
// Weight that a sample keeps with each later one; about three thousand samples are remembered.
constexpr double forgetting = 0.9997;
// Bound on the variance, so that coefficients without samples stay near what they were.
constexpr double greatestVariance = 50;
// A hundred samples of a tenth of the processors.
constexpr double knownWeight = 1;
// Bounds the weight of one node's estimate.
constexpr double leastVariance = 1e-4;
// Images beside one serving image that are told apart; others have the prior pressure.
constexpr std::size_t maxImages = 24;

} // namespace

std::size_t TailModel::indexOf(Estimate& estimate, std::string_view image)
{
    const auto found = estimate.indexes.find(image);
    if (found != estimate.indexes.end())
        return found->second;
    const std::size_t former = estimate.coefficients.size();
    if (former > maxImages)
        return 0;
    std::vector<double> covariance((former + 1) * (former + 1), 0);
    for (std::size_t row = 0; row < former; ++row) {
        for (std::size_t column = 0; column < former; ++column)
            covariance[row * (former + 1) + column] = estimate.covariance[row * former + column];
    }
    covariance[former * (former + 1) + former] = priorVariance;
    estimate.covariance = std::move(covariance);
    estimate.coefficients.push_back(priorPressure);
    estimate.indexes.emplace(std::string(image), former);
    return former;
}

void TailModel::learn(const std::string& serving, std::span<const ImageShare> beside, double tailMs)
{
    if (tailMs <= 0)
        return;
    Estimate& estimate = estimates_[serving];
    if (estimate.coefficients.empty()) {
        estimate.coefficients = { priorOwn };
        estimate.covariance = { priorVariance };
        estimate.leastTailMs = tailMs;
    }
    estimate.leastTailMs = std::min(estimate.leastTailMs, tailMs);
    std::vector<std::pair<std::size_t, double>> parts;
    for (const ImageShare& part : beside)
        parts.emplace_back(indexOf(estimate, part.image), part.share);
    std::vector<double> features(estimate.coefficients.size(), 0);
    features[0] = 1;
    for (const auto& [index, share] : parts) {
        if (index > 0)
            features[index] += share;
    }
    update(estimate, features, utilization(serving, tailMs));
}

void TailModel::update(Estimate& estimate, std::span<const double> features, double measured)
{
    const std::size_t size = features.size();
    std::vector<double> gain(size, 0);
    double norm = forgetting;
    double predicted = 0;
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column < size; ++column)
            gain[row] += estimate.covariance[row * size + column] * features[column];
        norm += gain[row] * features[row];
        predicted += estimate.coefficients[row] * features[row];
    }
    for (std::size_t row = 0; row < size; ++row)
        estimate.coefficients[row] += gain[row] / norm * (measured - predicted);
    for (std::size_t row = 0; row < size; ++row) {
        for (std::size_t column = 0; column < size; ++column) {
            double& cell = estimate.covariance[row * size + column];
            cell = (cell - gain[row] * gain[column] / norm) / forgetting;
            if (row == column)
                cell = std::min(cell, greatestVariance);
        }
    }
}

std::optional<double> TailModel::leastTail(const std::string& serving) const
{
    const auto own = estimates_.find(serving);
    const auto others = others_.find(serving);
    if (own == estimates_.end() && others == others_.end())
        return std::nullopt;
    if (own == estimates_.end())
        return others->second.leastTailMs;
    if (others == others_.end())
        return own->second.leastTailMs;
    return std::min(own->second.leastTailMs, others->second.leastTailMs);
}

double TailModel::utilization(const std::string& serving, double tailMs) const
{
    const std::optional<double> least = leastTail(serving);
    if (!least || tailMs <= 0)
        return priorOwn;
    return std::clamp(1 - *least / tailMs, 0.0, 1.0);
}

double TailModel::limit(const std::string& serving, double targetMs) const
{
    return leastTail(serving) ? utilization(serving, targetMs) : priorLimit;
}

TailModel::PairSum TailModel::sumOf(const std::string& serving, std::string_view beside) const
{
    PairSum sum;
    if (const auto others = others_.find(serving); others != others_.end()) {
        if (const auto pair = others->second.pairs.find(beside); pair != others->second.pairs.end())
            sum = pair->second;
    }
    if (const auto own = estimates_.find(serving); own != estimates_.end()) {
        if (const auto index = own->second.indexes.find(beside); index != own->second.indexes.end()) {
            const double weight = weightOf(own->second, index->second);
            sum.weighted += weight * own->second.coefficients[index->second];
            sum.weight += weight;
        }
    }
    return sum;
}

double TailModel::pressure(const std::string& serving, std::string_view beside) const
{
    const PairSum sum = sumOf(serving, beside);
    return sum.weight > 0 ? std::max(0.0, sum.weighted / sum.weight) : priorPressure;
}

bool TailModel::isKnown(const std::string& serving, std::string_view beside) const
{
    return sumOf(serving, beside).weight >= knownWeight;
}

double TailModel::pressureOf(const std::string& serving, std::span<const ImageShare> beside) const
{
    double sum = 0;
    for (const ImageShare& part : beside)
        sum += part.share * pressure(serving, part.image);
    return sum;
}

double TailModel::weightOf(const Estimate& estimate, std::size_t index)
{
    return 1 / std::max(leastVariance, estimate.covariance[index * estimate.coefficients.size() + index]);
}

FleetSchema::TailKnowledge TailModel::knowledge() const
{
    FleetSchema::TailKnowledge knowledge;
    for (const auto& [serving, estimate] : estimates_) {
        FleetSchema::TailEstimate& written = *knowledge.add_estimates();
        written.set_image(serving);
        written.set_least_tail_ms(estimate.leastTailMs);
        for (const auto& [image, index] : estimate.indexes) {
            FleetSchema::TailEstimate::Pressure& pair = *written.add_pressures();
            pair.set_image(image);
            pair.set_pressure(estimate.coefficients[index]);
            pair.set_weight(weightOf(estimate, index));
        }
    }
    return knowledge;
}

void TailModel::resume(const FleetSchema::TailKnowledge& former)
{
    estimates_.clear();
    for (const FleetSchema::TailEstimate& known : former.estimates()) {
        if (known.least_tail_ms() <= 0)
            continue;
        Estimate& estimate = estimates_[known.image()];
        estimate.coefficients = { priorOwn };
        estimate.covariance = { priorVariance };
        estimate.leastTailMs = known.least_tail_ms();
        for (const FleetSchema::TailEstimate::Pressure& pair : known.pressures()) {
            const std::size_t index = indexOf(estimate, pair.image());
            if (index == 0 || pair.weight() <= 0)
                continue;
            estimate.coefficients[index] = pair.pressure();
            estimate.covariance[index * estimate.coefficients.size() + index]
                = std::min(priorVariance, 1 / pair.weight());
        }
    }
}

void TailModel::setOthers(std::span<const FleetSchema::TailKnowledge> others)
{
    others_.clear();
    for (const FleetSchema::TailKnowledge& knowledge : others) {
        for (const FleetSchema::TailEstimate& known : knowledge.estimates()) {
            if (known.least_tail_ms() <= 0)
                continue;
            OthersEstimate& estimate = others_[known.image()];
            estimate.leastTailMs = estimate.leastTailMs > 0
                ? std::min(estimate.leastTailMs, known.least_tail_ms())
                : known.least_tail_ms();
            for (const FleetSchema::TailEstimate::Pressure& pair : known.pressures()) {
                PairSum& sum = estimate.pairs[pair.image()];
                sum.weighted += pair.weight() * pair.pressure();
                sum.weight += pair.weight();
            }
        }
    }
}

} // namespace Fleet
