#include "workerscore.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace Internal {

static double workRate(
    const InterferenceModel& model, std::span<const ClassShare> parts, std::span<const ClassShare> mix)
{
    double rate = 0;
    for (const ClassShare& part : parts)
        rate += part.share / model.predict(part.taskClass, mix);
    return rate;
}

static double imbalance(const Resources& rest, const Resources& capacity)
{
    if (capacity.milliProcessors == 0 || capacity.memoryMb == 0)
        return 0;
    const double processors
        = static_cast<double>(rest.milliProcessors) / static_cast<double>(capacity.milliProcessors);
    const double memory = static_cast<double>(rest.memoryMb) / static_cast<double>(capacity.memoryMb);
    return std::abs(processors - memory);
}

} // namespace Internal

void currentMix(const WorkerLoad& load, const Resources& capacity, std::span<const double> meanRatios,
    std::vector<ClassShare>& mix)
{
    mix.clear();
    const double total = std::max<double>(static_cast<double>(capacity.milliProcessors), 1);
    for (const ClassLoad& part : load.classes) {
        const double ratio = part.taskClass < meanRatios.size() ? meanRatios[part.taskClass] : 1;
        const double throttle = part.kind == TaskKind::Batch ? load.batchShare : 1;
        const double used = static_cast<double>(part.declared.milliProcessors) * ratio * throttle;
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
    std::span<const double> meanRatios, const ScoreParameters& parameters)
{
    static thread_local std::vector<ClassShare> mix;
    currentMix(input.load, input.capacity, meanRatios, mix);
    const double total = std::max<double>(static_cast<double>(input.capacity.milliProcessors), 1);
    const double rateBefore = Internal::workRate(model, mix, mix);
    mix.push_back({ input.taskClass, input.milliProcessors / total });
    const double rateAfter = Internal::workRate(model, mix, mix);
    const double ratioAfter = input.load.serviceRatio * serviceSlowdown(model, input.load, mix)
        / std::max(input.load.slowdownThen, 1.0);
    const double target = input.isTight ? parameters.tightTargetRatio : parameters.targetRatio;
    if (input.givesWay && ratioAfter > target)
        return std::nullopt;
    const double expected = std::max(input.milliProcessors / total, 1e-6);
    double score = (rateAfter - rateBefore) / expected;
    score -= parameters.serviceWeight * ratioAfter;
    score -= parameters.excessWeight * std::max(ratioAfter - parameters.targetRatio, 0.0);
    score -= parameters.balanceWeight * Internal::imbalance(input.available - input.size, input.capacity);
    if (input.isTight)
        score -= parameters.urgencyWeight * (model.predict(input.taskClass, mix) - 1);
    return score;
}

} // namespace Placement
