#include "burncounter.h"

#include "latencyhistogram.h"
#include "utils/sharded.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Telemetry {

namespace {

constexpr std::size_t shardCount = 16;
constexpr Utils::Duration sliceDuration = std::chrono::seconds(10);
constexpr std::array<std::uint32_t, 3> windowLengthsS { 300, 3600, 21600 };
constexpr std::int64_t retainedSliceCount = std::chrono::seconds(windowLengthsS.back()) / sliceDuration;
constexpr std::size_t maxCauses = 16; // Per slice; any further causes are counted as "other".
constexpr std::string_view slowCause = "slow";
constexpr std::string_view otherCause = "other";

using CauseCounts = std::map<std::string, std::uint64_t, std::less<>>;

struct Slice {
    std::int64_t number = 0;
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    CauseCounts causes;
    LatencyHistogram latencies;
};

std::int64_t sliceNumber(Utils::TimePoint now)
{
    return now.time_since_epoch() / sliceDuration;
}

// An objective with the counts of its recent slices.
struct Objective {
    std::string name; // Empty for the objective of the service itself.
    std::string priorityClass; // Empty for the objective of the service itself.
    std::uint32_t latencyMs = 0;
    double percent = 0;
    std::deque<Slice> slices;

    bool hasSameTarget(const Objective& other) const
    {
        return name == other.name && priorityClass == other.priorityClass && latencyMs == other.latencyMs
            && percent == other.percent;
    }

    Slice& sliceAt(std::int64_t number)
    {
        if (slices.empty() || slices.back().number < number) {
            slices.emplace_back();
            slices.back().number = number;
        }
        while (slices.front().number <= number - retainedSliceCount)
            slices.pop_front();
        return slices.back();
    }

    void add(const RequestOutcome& outcome, std::int64_t number)
    {
        Slice& slice = sliceAt(number);
        slice.latencies.add(outcome.latencyMs);
        if (outcome.succeeded && outcome.latencyMs <= latencyMs) {
            ++slice.good;
            return;
        }
        ++slice.bad;
        const std::string_view cause = outcome.cause.empty() ? slowCause : outcome.cause;
        const bool isFull = slice.causes.size() >= maxCauses && !slice.causes.contains(cause);
        ++slice.causes[std::string(isFull ? otherCause : cause)];
    }

    void writeWindow(std::int64_t number, std::uint32_t windowS, Schema::BurnWindow& window) const
    {
        const std::int64_t firstNumber = number - std::chrono::seconds(windowS) / sliceDuration + 1;
        window.set_window_s(windowS);
        CauseCounts causes;
        for (const Slice& slice : slices) {
            if (slice.number < firstNumber)
                continue;
            window.set_good(window.good() + slice.good);
            window.set_bad(window.bad() + slice.bad);
            for (const auto& [cause, count] : slice.causes)
                causes[cause] += count;
        }
        for (const auto& [cause, count] : causes) {
            Schema::BurnCause* burnCause = window.add_causes();
            burnCause->set_cause(cause);
            burnCause->set_count(count);
        }
    }

    void write(std::int64_t number, Schema::BurnSample& sample) const
    {
        sample.set_objective(name);
        sample.set_latency_ms(latencyMs);
        sample.set_percent(percent);
        for (const std::uint32_t windowS : windowLengthsS)
            writeWindow(number, windowS, *sample.add_windows());
        LatencyHistogram latencies;
        for (const Slice& slice : slices) {
            if (slice.number > number - retainedSliceCount)
                latencies.merge(slice.latencies.counts());
        }
        sample.mutable_latency_buckets()->Add(latencies.counts().begin(), latencies.counts().end());
    }
};

// The objectives of one service; the objective of the service itself comes first.
using Objectives = std::vector<Objective>;
using ServiceMap = std::map<std::string, Objectives, std::less<>>;

Objectives makeObjectives(const Schema::PolicyDocument& policy, const Schema::ServicePolicy& service)
{
    Objectives objectives { { {}, {}, service.objective_ms(), service.objective_percent(), {} } };
    for (const Schema::ObjectivePolicy& objectivePolicy : policy.objective()) {
        if (objectivePolicy.service() == service.name())
            objectives.push_back({ objectivePolicy.name(), objectivePolicy.priority_class(),
                objectivePolicy.latency_ms(), objectivePolicy.percent(), {} });
    }
    return objectives;
}

void transferCounts(Objectives& newObjectives, Objectives& oldObjectives)
{
    for (Objective& objective : newObjectives) {
        const auto matching = std::find_if(oldObjectives.begin(), oldObjectives.end(),
            [&](const Objective& candidate) { return candidate.hasSameTarget(objective); });
        if (matching != oldObjectives.end())
            objective.slices = std::move(matching->slices);
    }
}

} // namespace

struct BurnCounter::Private {
    Utils::Sharded<ServiceMap> shards { shardCount };
};

BurnCounter::BurnCounter()
    : d_(std::make_unique<Private>())
{
}

BurnCounter::~BurnCounter() = default;

void BurnCounter::setObjectives(const Schema::PolicyDocument& policy)
{
    d_->shards.forEachShard([&](ServiceMap& services) {
        std::erase_if(services, [&](const auto& entry) {
            return std::none_of(policy.service().begin(), policy.service().end(),
                [&](const auto& service) { return service.name() == entry.first; });
        });
    });
    for (const Schema::ServicePolicy& service : policy.service()) {
        Objectives newObjectives = makeObjectives(policy, service);
        d_->shards.withShard(service.name(), [&](ServiceMap& services) {
            Objectives& currentObjectives = services[service.name()];
            transferCounts(newObjectives, currentObjectives);
            currentObjectives = std::move(newObjectives);
        });
    }
}

void BurnCounter::add(const RequestOutcome& outcome, Utils::TimePoint now)
{
    d_->shards.withShard(outcome.service, [&](ServiceMap& services) {
        const auto service = services.find(outcome.service);
        if (service == services.end())
            return;
        Objectives& objectives = service->second;
        const auto found = std::find_if(objectives.begin(), objectives.end(),
            [&](const Objective& objective) { return objective.priorityClass == outcome.priorityClass; });
        Objective& objective = found == objectives.end() ? objectives.front() : *found;
        objective.add(outcome, sliceNumber(now));
    });
}

Schema::BurnSamples BurnCounter::samples(Utils::TimePoint now) const
{
    Schema::BurnSamples samples;
    d_->shards.forEachShard([&](const ServiceMap& services) {
        for (const auto& [name, objectives] : services) {
            for (const Objective& objective : objectives) {
                Schema::BurnSample* sample = samples.add_samples();
                sample->set_service(name);
                objective.write(sliceNumber(now), *sample);
            }
        }
    });
    return samples;
}

} // namespace Telemetry
