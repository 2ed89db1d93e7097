#pragma once

#include "batch/placer.h"

#include <map>
#include <memory>
#include <string>

namespace Placement {

/*!
    Placer of a shard's owner that considers spread, deadlines and interference, and selects the batch tasks
    to throttle or evict.

    The owner accounts for declared sizes. Therefore a placed task gets at least its declared size, and more
    if its class has been observed to use more. While a worker has no recent tail
    latency, the placer derives its latency ratio from the slowdown of its service tasks.
*/
class InterferenceAwarePlacer final : public Batch::Placer {
public:
    struct Parameters {
        std::map<std::string, std::uint32_t> ranksByClass; //!< Rank by priority class; 0 is the most urgent.
        std::uint32_t defaultRank = 10; //!< Rank of classes that are not listed.
        double maxServiceSlowdown = 1.5; //!< Slowdown at which a service is assumed to be at its objective.
        std::uint32_t evictionsPerMinute = 30; //!< Maximum on all workers together.
        double batchProcessorsShare
            = 0.8; //!< Maximum share of a worker's processors for batch tasks, 0 to 1.
        double batchMemoryShare = 0.8; //!< Maximum share of a worker's memory for batch tasks, 0 to 1.
        std::uint64_t seed = 1; //!< Seed of the random source.
    };

    explicit InterferenceAwarePlacer(const Parameters& parameters);
    ~InterferenceAwarePlacer() override;

    std::vector<Batch::PlacementDecision> place(std::span<const Batch::PendingTask> tasks,
        std::span<const Batch::AvailableWorker> workers, std::span<const Batch::RunningTask> running,
        Utils::TimePoint now) override;
    std::vector<Batch::PreemptionDecision> preempt(std::span<const Batch::RunningTask> running,
        std::span<const Batch::AvailableWorker> workers, Utils::TimePoint now) override;
    void onUsageSample(
        const std::string& worker, const Schema::UsageSample& sample, Utils::TimePoint now) override;
    void onAttemptEnded(
        const Batch::RunningTask& task, Schema::AttemptState state, Utils::TimePoint now) override;

    void setPolicy(const Schema::PolicyDocument& policy) override;

    /*!
        Reports a measured tail latency of the services on a worker. It takes precedence over the slowdown in
        usage reports that were measured at the same time or earlier.
        \param ratio the highest ratio of tail latency to objective among the services.
    */
    void onTailLatency(const std::string& worker, double ratio, Utils::TimePoint measuredAt);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace Placement
