#include "workerscore.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace Internal {

static double throughput(
    const InterferenceModel& model, std::span<const ClassShare> parts, std::span<const ClassShare> mix)
{
    double sum = 0;
    for (const ClassShare& part : parts)
        sum += part.share / model.predict(part.taskClass, mix);
    return sum;
}

static double imbalance(const Resources& remaining, const Resources& capacity)
{
    if (capacity.milliProcessors == 0 || capacity.memoryMb == 0)
        return 0;
    const double processors
        = static_cast<double>(remaining.milliProcessors) / static_cast<double>(capacity.milliProcessors);
    const double memory = static_cast<double>(remaining.memoryMb) / static_cast<double>(capacity.memoryMb);
    return std::abs(processors - memory);
}

} // namespace Internal

void currentMix(const WorkerLoad& load, const Resources& capacity, std::span<const double> meanUsageRatios,
    std::vector<ClassShare>& mix)
{
    mix.clear();
    const double total = std::max<double>(static_cast<double>(capacity.milliProcessors), 1);
    for (const ClassLoad& part : load.classes) {
        const double ratio = part.taskClass < meanUsageRatios.size() ? meanUsageRatios[part.taskClass] : 1;
        const double throttle = part.kind == TaskKind::Batch ? load.throttleShare : 1;
        const double used = static_cast<double>(part.declaredSize.milliProcessors) * ratio * throttle;
        mix.push_back({ part.taskClass, used / total });
    }
}

double serviceSlowdown(
    const InterferenceModel& model, const WorkerLoad& load, std::span<const ClassShare> mix)
{
    double slowdown = 1;
    for (const ClassLoad& part : load.classes) {
        if (part.kind == TaskKind::Service)
            slowdown = std::max(slowdown, model.predict(part.taskClass, mix));
    }
    return slowdown;
}

std::optional<double> scoreWorker(const InterferenceModel& model, const ScoreInput& input,
    std::span<const double> meanUsageRatios, const ScoreParameters& parameters)
{
    static thread_local std::vector<ClassShare> mix;
    currentMix(input.load, input.capacity, meanUsageRatios, mix);
    const double total = std::max<double>(static_cast<double>(input.capacity.milliProcessors), 1);
    const double throughputBefore = Internal::throughput(model, mix, mix);
    mix.push_back({ input.taskClass, input.expectedMilliProcessors / total });
    const double throughputAfter = Internal::throughput(model, mix, mix);
    const double latencyRatioAfter = input.load.latencyRatio * serviceSlowdown(model, input.load, mix)
        / std::max(input.load.slowdownAtMeasurement, 1.0);
    const double target
        = input.isDeadlineTight ? parameters.tightDeadlineLatencyRatio : parameters.targetLatencyRatio;
    if (input.mustProtectServices && latencyRatioAfter > target)
        return std::nullopt;
    const double expectedShare = std::max(input.expectedMilliProcessors / total, 1e-6);
    double score = (throughputAfter - throughputBefore) / expectedShare;
    score -= parameters.latencyWeight * latencyRatioAfter;
    score
        -= parameters.latencyExcessWeight * std::max(latencyRatioAfter - parameters.targetLatencyRatio, 0.0);
    score -= parameters.imbalanceWeight * Internal::imbalance(input.available - input.size, input.capacity);
    if (input.isDeadlineTight)
        score -= parameters.ownSlowdownWeight * (model.predict(input.taskClass, mix) - 1);
    return score;
}

} // namespace Placement
