#include "interferencemodel.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace Internal {

constexpr double leastNorm = 0.02;
constexpr double columnStep = 0.02;
constexpr double greatestCoefficient = 50;

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
        const Coefficient* pair = find(victim, part.taskClass);
        if (pair == nullptr) {
            slowdown += part.share * priorOf(part.taskClass);
            continue;
        }
        slowdown += part.share * (pair->atRest * (1 - load) + pair->atLoad * load);
    }
    return std::clamp(slowdown, 1.0, parameters_.greatestSlowdown);
}

void InterferenceModel::learn(
    ClassIndex victim, std::span<const ClassShare> mix, double slowdown, Utils::TimePoint measuredAt)
{
    const double load = Internal::loadOf(mix);
    const double measured = std::clamp(slowdown, 1.0, parameters_.greatestSlowdown);
    double norm = Internal::leastNorm;
    for (const ClassShare& part : mix) {
        touch(victim, part.taskClass, measuredAt);
        norm += part.share * part.share * ((1 - load) * (1 - load) + load * load);
    }
    const double error = measured - predict(victim, mix);
    const double gain = parameters_.step * error / norm;
    for (const ClassShare& part : mix) {
        Coefficient& pair = rows_[victim][part.taskClass];
        pair.atRest
            = std::clamp(pair.atRest + gain * part.share * (1 - load), 0.0, Internal::greatestCoefficient);
        pair.atLoad = std::clamp(pair.atLoad + gain * part.share * load, 0.0, Internal::greatestCoefficient);
        const double current = pair.atRest * (1 - load) + pair.atLoad * load;
        columnMeans_[part.taskClass] += Internal::columnStep * (current - columnMeans_[part.taskClass]);
    }
}

double InterferenceModel::priorOf(ClassIndex disturbing) const
{
    return disturbing < columnMeans_.size() ? columnMeans_[disturbing] : parameters_.prior;
}

const InterferenceModel::Coefficient* InterferenceModel::find(ClassIndex victim, ClassIndex disturbing) const
{
    if (victim >= rows_.size() || disturbing >= rows_[victim].size())
        return nullptr;
    const Coefficient& pair = rows_[victim][disturbing];
    return pair.isKnown ? &pair : nullptr;
}

InterferenceModel::Coefficient& InterferenceModel::touch(
    ClassIndex victim, ClassIndex disturbing, Utils::TimePoint now)
{
    if (disturbing >= columnMeans_.size())
        columnMeans_.resize(disturbing + 1, parameters_.prior);
    if (victim >= rows_.size())
        rows_.resize(victim + 1);
    if (disturbing >= rows_[victim].size())
        rows_[victim].resize(disturbing + 1);
    Coefficient& pair = rows_[victim][disturbing];
    const double prior = priorOf(disturbing);
    if (!pair.isKnown) {
        pair = { prior, prior, now, true };
        return pair;
    }
    if (now <= pair.updatedAt)
        return pair;
    const double halfLives = std::chrono::duration<double>(now - pair.updatedAt)
        / std::chrono::duration<double>(parameters_.halfLife);
    const double kept = std::exp2(-halfLives);
    pair.atRest = prior + (pair.atRest - prior) * kept;
    pair.atLoad = prior + (pair.atLoad - prior) * kept;
    pair.updatedAt = now;
    return pair;
}

} // namespace Placement
