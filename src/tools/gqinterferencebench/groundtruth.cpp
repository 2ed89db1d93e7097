#include "groundtruth.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Bench {

namespace {

constexpr double stepsPerSecond = 2;
constexpr double maxLookAheadSeconds = 300;
constexpr double loadPeriodSeconds = 3600;
constexpr double surgeSeconds = 300;
constexpr double surgeFactor = 1.5;
constexpr double wavePeriodSeconds = 2400;
constexpr double waveSeconds = 600;
constexpr double waveFactor = 2;
constexpr double undisturbedLatencyRatio
    = 0.42; // Ratio of tail latency to objective at mean load without interference.
constexpr double serviceProcessorsShare = 0.2; // Share of a worker's processors.
constexpr double maxDeclarationFactor = 5;

double uniform(std::mt19937_64& random, double min, double max)
{
    return std::uniform_real_distribution<double>(min, max)(random);
}

} // namespace

GroundTruth::GroundTruth(const FleetSize& size, std::uint64_t seed, double seconds)
    : size_(size)
{
    std::mt19937_64 random(seed);
    drawClasses(random);
    for (double at = uniform(random, 300, 900); at < seconds; at += uniform(random, 900, 2400))
        surgeStarts_.push_back(at);
    for (double at = uniform(random, 300, 1500); at < seconds; at += uniform(random, 600, 2400))
        failures_.emplace_back(at, random() % size.workers);
    precomputeLoads(seconds);
    drawTasks(random, seconds);
}

std::size_t GroundTruth::stepAt(double time)
{
    return static_cast<std::size_t>(time * stepsPerSecond);
}

void GroundTruth::precomputeLoads(double seconds)
{
    const std::size_t steps = stepAt(seconds + maxLookAheadSeconds) + 1;
    for (std::size_t step = 0; step < steps; ++step) {
        const double time = static_cast<double>(step) / stepsPerSecond;
        serviceLoads_.push_back(serviceLoadAt(time));
        std::vector<double>& factors = waveFactors_.emplace_back();
        for (std::size_t each = 0; each < classCount; ++each)
            factors.push_back(waveFactorAt(each, time));
    }
}

void GroundTruth::drawClasses(std::mt19937_64& random)
{
    interferenceCoefficients_.assign(classCount, std::vector<double>(classCount));
    for (std::size_t victim = 0; victim < classCount; ++victim) {
        for (std::size_t other = 0; other < classCount; ++other) {
            const bool isAggressive = other == 1 || other == 2;
            interferenceCoefficients_[victim][other]
                = isAggressive ? uniform(random, 1.5, 4) : uniform(random, 0, 1);
        }
        interferenceCoefficients_[victim][0] = uniform(random, 0, 0.5);
    }
    for (std::size_t each = 0; each < classCount; ++each) {
        const double spread = std::log(maxDeclarationFactor);
        declaredSizeFactors_.push_back(std::exp(uniform(random, -spread, spread)));
        declaredRunTimeFactors_.push_back(std::exp(uniform(random, -spread, spread)));
    }
}

void GroundTruth::drawTasks(std::mt19937_64& random, double seconds)
{
    const double fleetProcessors
        = static_cast<double>(size_.workers) * static_cast<double>(size_.capacity.milliProcessors) / 1000;
    // The offered work exceeds the capacity that the services leave, so that there is always a backlog.
    const double meanWork = 4.5 * 500;
    const double tasksPerSecond = fleetProcessors * 1.1 / meanWork;
    std::exponential_distribution<double> gap(tasksPerSecond);
    for (double at = 0; at < seconds; at += gap(random)) {
        BenchTask task = drawTask(random, 1 + random() % (classCount - 1), at);
        if (random() % 10 == 0) {
            task.deadlineAt = at + 3 * task.runSeconds + 600;
            task.request.deadline = Utils::TimePoint(
                std::chrono::milliseconds(static_cast<std::int64_t>(task.deadlineAt * 1000)));
        }
        tasks_.push_back(task);
    }
    for (double at = 600; at < seconds; at += uniform(random, 20, 60)) {
        const std::size_t burst = random() % 20 == 0 ? 20 : 1;
        for (std::size_t each = 0; each < burst; ++each) {
            BenchTask task = drawTask(random, 3 + random() % 4, at);
            task.isUrgent = true;
            task.request.rank = 0;
            task.runSeconds = 60;
            tasks_.push_back(task);
        }
    }
    std::ranges::stable_sort(tasks_, {}, &BenchTask::submittedAt);
    for (std::size_t number = 0; number < tasks_.size(); ++number)
        tasks_[number].number = number;
}

BenchTask GroundTruth::drawTask(std::mt19937_64& random, std::size_t taskClass, double submittedAt)
{
    BenchTask task;
    task.taskClass = taskClass;
    task.processors = uniform(random, 1, 8);
    task.memoryMb = task.processors * uniform(random, 1000, 3000);
    task.runSeconds = uniform(random, 120, 880);
    task.submittedAt = submittedAt;
    const double jitter = uniform(random, 0.9, 1.1);
    const double factor = declaredSizeFactors_[taskClass] * jitter;
    const auto maxMilliProcessors = static_cast<double>(size_.capacity.milliProcessors) * 0.75;
    const auto maxMemoryMb = static_cast<double>(size_.capacity.memoryMb) * 0.75;
    Placement::TaskRequest& request = task.request;
    request.declaredSize.milliProcessors
        = static_cast<std::int64_t>(std::min(task.processors * 1000 * factor, maxMilliProcessors));
    request.declaredSize.memoryMb = static_cast<std::int64_t>(std::min(task.memoryMb * factor, maxMemoryMb));
    request.declaredRunTime = std::chrono::milliseconds(
        static_cast<std::int64_t>(task.runSeconds * 1000 * declaredRunTimeFactors_[taskClass] * jitter));
    request.taskClass = "class" + std::to_string(taskClass);
    request.job = request.taskClass;
    request.rank = 5;
    request.isCheckpointable = taskClass % 3 != 0;
    return task;
}

double GroundTruth::serviceLoadAt(double time) const
{
    double level = 1 + 0.25 * std::sin(2 * std::numbers::pi * time / loadPeriodSeconds);
    for (const double surge : surgeStarts_) {
        if (time >= surge && time < surge + surgeSeconds)
            level *= surgeFactor;
    }
    return std::min(level, 1.7);
}

double GroundTruth::waveFactorAt(std::size_t taskClass, double time) const
{
    const bool isAggressive = taskClass == 1 || taskClass == 2;
    const double phase = std::fmod(time + static_cast<double>(taskClass) * 700, wavePeriodSeconds);
    return isAggressive && phase < waveSeconds ? waveFactor : 1;
}

double GroundTruth::slowdown(
    std::size_t victim, const ProcessorUsage& usage, double processors, double time) const
{
    double total = 0;
    for (const double used : usage)
        total += used;
    const double load = total / processors;
    const std::vector<double>& waves = waveFactors_[stepAt(time)];
    double slowdown = 1;
    for (std::size_t other = 0; other < usage.size(); ++other) {
        const double strength = interferenceCoefficients_[victim][other] * waves[other];
        slowdown += usage[other] / processors * strength * (0.6 + 0.6 * std::min(load, 1.0));
    }
    return slowdown * std::max(load, 1.0);
}

double GroundTruth::latencyRatio(double slowdown, double time) const
{
    return undisturbedLatencyRatio * serviceLoads_[stepAt(time)] * slowdown;
}

double GroundTruth::serviceProcessors(double time) const
{
    return static_cast<double>(size_.capacity.milliProcessors) / 1000 * serviceProcessorsShare * 0.6
        * serviceLoads_[stepAt(time)];
}

Placement::Resources GroundTruth::serviceSize() const
{
    return { static_cast<std::int64_t>(
                 static_cast<double>(size_.capacity.milliProcessors) * serviceProcessorsShare),
        size_.capacity.memoryMb / 8, 0 };
}

} // namespace Bench
