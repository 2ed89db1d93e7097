#include "interferencemodel.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace Internal {

constexpr double minNorm = 0.02;
constexpr double aggressorLearningRate = 0.02;
constexpr double maxCoefficient = 50;

static double loadOf(std::span<const ClassShare> mix)
{
    double load = 0;
    for (const ClassShare& part : mix)
        load += part.share;
    return std::min(load, 1.0);
}

} // namespace Internal

InterferenceModel::InterferenceModel()
    : InterferenceModel(Parameters {})
{
}

InterferenceModel::InterferenceModel(const Parameters& parameters)
    : parameters_(parameters)
{
}

double InterferenceModel::predict(ClassIndex victim, std::span<const ClassShare> mix) const
{
    const double load = Internal::loadOf(mix);
    double slowdown = 1;
    for (const ClassShare& part : mix) {
        const Coefficient* coefficient = find(victim, part.taskClass);
        if (coefficient == nullptr) {
            slowdown += part.share * priorOf(part.taskClass);
            continue;
        }
        slowdown += part.share * (coefficient->atIdle * (1 - load) + coefficient->atFullLoad * load);
    }
    return std::clamp(slowdown, 1.0, parameters_.maxSlowdown);
}

void InterferenceModel::learn(
    ClassIndex victim, std::span<const ClassShare> mix, double slowdown, Utils::TimePoint measuredAt)
{
    const double load = Internal::loadOf(mix);
    const double measured = std::clamp(slowdown, 1.0, parameters_.maxSlowdown);
    double norm = Internal::minNorm;
    for (const ClassShare& part : mix) {
        prepareCoefficient(victim, part.taskClass, measuredAt);
        norm += part.share * part.share * ((1 - load) * (1 - load) + load * load);
    }
    const double error = measured - predict(victim, mix);
    const double gain = parameters_.learningRate * error / norm;
    for (const ClassShare& part : mix) {
        Coefficient& coefficient = coefficients_[victim][part.taskClass];
        coefficient.atIdle
            = std::clamp(coefficient.atIdle + gain * part.share * (1 - load), 0.0, Internal::maxCoefficient);
        coefficient.atFullLoad
            = std::clamp(coefficient.atFullLoad + gain * part.share * load, 0.0, Internal::maxCoefficient);
        const double current = coefficient.atIdle * (1 - load) + coefficient.atFullLoad * load;
        aggressorMeans_[part.taskClass]
            += Internal::aggressorLearningRate * (current - aggressorMeans_[part.taskClass]);
    }
}

double InterferenceModel::priorOf(ClassIndex aggressor) const
{
    return aggressor < aggressorMeans_.size() ? aggressorMeans_[aggressor] : parameters_.prior;
}

const InterferenceModel::Coefficient* InterferenceModel::find(ClassIndex victim, ClassIndex aggressor) const
{
    if (victim >= coefficients_.size() || aggressor >= coefficients_[victim].size())
        return nullptr;
    const Coefficient& coefficient = coefficients_[victim][aggressor];
    return coefficient.isKnown ? &coefficient : nullptr;
}

InterferenceModel::Coefficient& InterferenceModel::prepareCoefficient(
    ClassIndex victim, ClassIndex aggressor, Utils::TimePoint now)
{
    if (aggressor >= aggressorMeans_.size())
        aggressorMeans_.resize(aggressor + 1, parameters_.prior);
    if (victim >= coefficients_.size())
        coefficients_.resize(victim + 1);
    if (aggressor >= coefficients_[victim].size())
        coefficients_[victim].resize(aggressor + 1);
    Coefficient& coefficient = coefficients_[victim][aggressor];
    const double prior = priorOf(aggressor);
    if (!coefficient.isKnown) {
        coefficient = { prior, prior, now, true };
        return coefficient;
    }
    if (now <= coefficient.updatedAt)
        return coefficient;
    const double halfLives = std::chrono::duration<double>(now - coefficient.updatedAt)
        / std::chrono::duration<double>(parameters_.halfLife);
    const double retained = std::exp2(-halfLives);
    coefficient.atIdle = prior + (coefficient.atIdle - prior) * retained;
    coefficient.atFullLoad = prior + (coefficient.atFullLoad - prior) * retained;
    coefficient.updatedAt = now;
    return coefficient;
}

} // namespace Placement
