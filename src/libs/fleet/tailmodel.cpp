#include "tailmodel.h"

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

double TailModel::utilization(const std::string& serving, double tailMs) const
{
    const auto found = estimates_.find(serving);
    if (found == estimates_.end() || tailMs <= 0)
        return priorOwn;
    return std::clamp(1 - found->second.leastTailMs / tailMs, 0.0, 1.0);
}

double TailModel::limit(const std::string& serving, double targetMs) const
{
    return estimates_.contains(serving) ? utilization(serving, targetMs) : priorLimit;
}

double TailModel::pressure(const std::string& serving, std::string_view beside) const
{
    const auto found = estimates_.find(serving);
    if (found == estimates_.end())
        return priorPressure;
    const auto index = found->second.indexes.find(beside);
    if (index == found->second.indexes.end())
        return priorPressure;
    return std::max(0.0, found->second.coefficients[index->second]);
}

double TailModel::pressureOf(const std::string& serving, std::span<const ImageShare> beside) const
{
    double sum = 0;
    for (const ImageShare& part : beside)
        sum += part.share * pressure(serving, part.image);
    return sum;
}

} // namespace Fleet
