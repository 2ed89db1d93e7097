#include "sizeestimator.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace Internal {

constexpr double processorsQuantile = 0.9;
constexpr double memoryQuantile = 0.98;
constexpr double runTimeQuantile = 0.9;
constexpr std::size_t sizeWindow = 400;
constexpr std::size_t runTimeWindow = 100;
constexpr std::size_t minSamples = 20;
constexpr double memoryMargin = 1.1;
constexpr double meanLearningRate = 0.02;
constexpr double minRatio = 0.1;
constexpr double maxRatio = 10;

static std::int64_t scaled(std::int64_t declared, double ratio)
{
    return static_cast<std::int64_t>(
        std::ceil(static_cast<double>(declared) * std::clamp(ratio, minRatio, maxRatio)));
}

} // namespace Internal

SizeEstimator::ClassRatios::ClassRatios()
    : processors(Internal::processorsQuantile, Internal::sizeWindow, Internal::minSamples)
    , memory(Internal::memoryQuantile, Internal::sizeWindow, Internal::minSamples)
    , runTime(Internal::runTimeQuantile, Internal::runTimeWindow, Internal::minSamples)
{
}

SizeEstimator::ClassRatios& SizeEstimator::ratiosOf(std::string_view taskClass)
{
    const auto found = classes_.find(taskClass);
    if (found != classes_.end())
        return found->second;
    return classes_.try_emplace(std::string(taskClass)).first->second;
}

void SizeEstimator::learnSize(
    std::string_view taskClass, const Resources& declared, double usedMilliProcessors, double usedMemoryMb)
{
    ClassRatios& ratios = ratiosOf(taskClass);
    if (declared.milliProcessors > 0) {
        const double ratio = usedMilliProcessors / static_cast<double>(declared.milliProcessors);
        ratios.processors.add(ratio);
        const double learningRate = ratios.hasMean ? Internal::meanLearningRate : 1;
        ratios.meanProcessors += learningRate * (ratio - ratios.meanProcessors);
        ratios.hasMean = true;
    }
    if (declared.memoryMb > 0)
        ratios.memory.add(usedMemoryMb / static_cast<double>(declared.memoryMb));
}

void SizeEstimator::learnRunTime(
    std::string_view taskClass, Utils::Duration declared, Utils::Duration observed)
{
    if (declared <= Utils::Duration::zero())
        return;
    ratiosOf(taskClass).runTime.add(
        std::chrono::duration<double>(observed) / std::chrono::duration<double>(declared));
}

Resources SizeEstimator::expectedSize(std::string_view taskClass, const Resources& declared) const
{
    const auto found = classes_.find(taskClass);
    if (found == classes_.end())
        return declared;
    const ClassRatios& ratios = found->second;
    const double memoryRatio = ratios.memory.estimate(1 / Internal::memoryMargin) * Internal::memoryMargin;
    return { Internal::scaled(declared.milliProcessors, ratios.processors.estimate(1)),
        Internal::scaled(declared.memoryMb, memoryRatio), declared.accelerators };
}

double SizeEstimator::meanProcessorsRatio(std::string_view taskClass) const
{
    const auto found = classes_.find(taskClass);
    return found == classes_.end() ? 1 : found->second.meanProcessors;
}

Utils::Duration SizeEstimator::expectedRunTime(std::string_view taskClass, Utils::Duration declared) const
{
    const auto found = classes_.find(taskClass);
    if (found == classes_.end())
        return declared;
    const double ratio = found->second.runTime.estimate(1);
    return std::chrono::duration_cast<Utils::Duration>(std::chrono::duration<double>(declared) * ratio);
}

} // namespace Placement
