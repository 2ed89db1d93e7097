#include "groundtruth.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Bench {

namespace {

constexpr double stepsPerSecond = 2;
constexpr double greatestLookAhead = 300;
constexpr double dayPeriod = 3600;
constexpr double surgeSeconds = 300;
constexpr double surgeFactor = 1.5;
constexpr double wavePeriod = 2400;
constexpr double waveSeconds = 600;
constexpr double waveStrength = 2;
constexpr double idleRatio = 0.42; // Tail latency over objective at mean load, undisturbed.
constexpr double serviceShare = 0.2; // Of a worker's processors.
constexpr double greatestError = 5;

double uniform(std::mt19937_64& random, double least, double greatest)
{
    return std::uniform_real_distribution<double>(least, greatest)(random);
}

} // namespace

GroundTruth::GroundTruth(const FleetSize& size, std::uint64_t seed, double seconds)
    : size_(size)
{
    std::mt19937_64 random(seed);
    makeClasses(random);
    for (double at = uniform(random, 300, 900); at < seconds; at += uniform(random, 900, 2400))
        surges_.push_back(at);
    for (double at = uniform(random, 300, 1500); at < seconds; at += uniform(random, 600, 2400))
        failures_.emplace_back(at, random() % size.workers);
    makeTables(seconds);
    makeTasks(random, seconds);
}

std::size_t GroundTruth::stepOf(double time)
{
    return static_cast<std::size_t>(time * stepsPerSecond);
}

void GroundTruth::makeTables(double seconds)
{
    const std::size_t steps = stepOf(seconds + greatestLookAhead) + 1;
    for (std::size_t step = 0; step < steps; ++step) {
        const double time = static_cast<double>(step) / stepsPerSecond;
        demands_.push_back(demandAt(time));
        std::vector<double>& factors = waveFactors_.emplace_back();
        for (std::size_t each = 0; each < classCount; ++each)
            factors.push_back(waveFactorAt(each, time));
    }
}

void GroundTruth::makeClasses(std::mt19937_64& random)
{
    pairs_.assign(classCount, std::vector<double>(classCount));
    for (std::size_t victim = 0; victim < classCount; ++victim) {
        for (std::size_t other = 0; other < classCount; ++other) {
            const bool isNoisy = other == 1 || other == 2;
            pairs_[victim][other] = isNoisy ? uniform(random, 1.5, 4) : uniform(random, 0, 1);
        }
        pairs_[victim][0] = uniform(random, 0, 0.5);
    }
    for (std::size_t each = 0; each < classCount; ++each) {
        const double spread = std::log(greatestError);
        declaredFactors_.push_back(std::exp(uniform(random, -spread, spread)));
        runFactors_.push_back(std::exp(uniform(random, -spread, spread)));
    }
}

void GroundTruth::makeTasks(std::mt19937_64& random, double seconds)
{
    const double fleetProcessors
        = static_cast<double>(size_.workers) * static_cast<double>(size_.capacity.milliProcessors) / 1000;
    // Offered work exceeds what is left beside the services, so that a backlog remains.
    const double meanWork = 4.5 * 500;
    const double tasksPerSecond = fleetProcessors * 1.1 / meanWork;
    std::exponential_distribution<double> gap(tasksPerSecond);
    for (double at = 0; at < seconds; at += gap(random)) {
        WorkTask task = makeTask(random, 1 + random() % (classCount - 1), at);
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
            WorkTask task = makeTask(random, 3 + random() % 4, at);
            task.isUrgent = true;
            task.request.rank = 0;
            task.runSeconds = 60;
            tasks_.push_back(task);
        }
    }
    std::ranges::stable_sort(tasks_, {}, &WorkTask::submittedAt);
    for (std::size_t number = 0; number < tasks_.size(); ++number)
        tasks_[number].number = number;
}

WorkTask GroundTruth::makeTask(std::mt19937_64& random, std::size_t taskClass, double submittedAt)
{
    WorkTask task;
    task.taskClass = taskClass;
    task.processors = uniform(random, 1, 8);
    task.memoryMb = task.processors * uniform(random, 1000, 3000);
    task.runSeconds = uniform(random, 120, 880);
    task.submittedAt = submittedAt;
    const double jitter = uniform(random, 0.9, 1.1);
    const double factor = declaredFactors_[taskClass] * jitter;
    const auto greatest = static_cast<double>(size_.capacity.milliProcessors) * 0.75;
    const auto greatestMemory = static_cast<double>(size_.capacity.memoryMb) * 0.75;
    Placement::TaskRequest& request = task.request;
    request.declaredSize.milliProcessors
        = static_cast<std::int64_t>(std::min(task.processors * 1000 * factor, greatest));
    request.declaredSize.memoryMb
        = static_cast<std::int64_t>(std::min(task.memoryMb * factor, greatestMemory));
    request.declaredRunTime = std::chrono::milliseconds(
        static_cast<std::int64_t>(task.runSeconds * 1000 * runFactors_[taskClass] * jitter));
    request.taskClass = "class" + std::to_string(taskClass);
    request.job = request.taskClass;
    request.rank = 5;
    request.isCheckpointable = taskClass % 3 != 0;
    return task;
}

double GroundTruth::demandAt(double time) const
{
    double level = 1 + 0.25 * std::sin(2 * std::numbers::pi * time / dayPeriod);
    for (const double surge : surges_) {
        if (time >= surge && time < surge + surgeSeconds)
            level *= surgeFactor;
    }
    return std::min(level, 1.7);
}

double GroundTruth::waveFactorAt(std::size_t taskClass, double time) const
{
    const bool isNoisy = taskClass == 1 || taskClass == 2;
    const double phase = std::fmod(time + static_cast<double>(taskClass) * 700, wavePeriod);
    return isNoisy && phase < waveSeconds ? waveStrength : 1;
}

double GroundTruth::slowdown(std::size_t victim, const Usage& usage, double processors, double time) const
{
    double total = 0;
    for (const double used : usage)
        total += used;
    const double load = total / processors;
    const std::vector<double>& waves = waveFactors_[stepOf(time)];
    double slowdown = 1;
    for (std::size_t other = 0; other < usage.size(); ++other) {
        const double strength = pairs_[victim][other] * waves[other];
        slowdown += usage[other] / processors * strength * (0.6 + 0.6 * std::min(load, 1.0));
    }
    return slowdown * std::max(load, 1.0);
}

double GroundTruth::latencyRatio(double slowdown, double time) const
{
    return idleRatio * demands_[stepOf(time)] * slowdown;
}

double GroundTruth::serviceProcessors(double time) const
{
    return static_cast<double>(size_.capacity.milliProcessors) / 1000 * serviceShare * 0.6
        * demands_[stepOf(time)];
}

Placement::Resources GroundTruth::serviceSize() const
{
    return { static_cast<std::int64_t>(static_cast<double>(size_.capacity.milliProcessors) * serviceShare),
        size_.capacity.memoryMb / 8, 0 };
}

} // namespace Bench
