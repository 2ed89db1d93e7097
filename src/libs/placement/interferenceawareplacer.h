#pragma once

#include "batch/placer.h"

#include <map>
#include <memory>
#include <string>

namespace Placement {

/*!
    Placer of a shard's owner that weighs spread, deadlines and interference, and decides what gives way.

    The owner counts declared sizes, so tasks are given at least these here, and more where their class was
    seen to use more. Without a measured tail latency the slowdown of service tasks stands for it.
*/
class InterferenceAwarePlacer final : public Batch::Placer {
public:
    /*! Settings. */
    struct Parameters {
        std::map<std::string, std::uint32_t> ranks; //!< Order of urgency by priority class, 0 is most urgent.
        std::uint32_t otherRank = 10; //!< Of classes that are not named.
        double greatestServiceSlowdown = 1.5; //!< At which a service is taken to be at its objective.
        std::uint32_t evictionsPerMinute = 30; //!< Bound of the policy.
        double batchProcessorsShare = 0.8; //!< Share of a worker's processors for batch work.
        double batchMemoryShare = 0.8; //!< Share of a worker's memory for batch work.
        std::uint64_t seed = 1; //!< Of the random source.
    };

    /*! \param parameters settings. */
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
        Takes a measured tail latency of the services on a worker; it goes before their slowdown.
        \param worker the worker.
        \param ratio the worst tail latency over objective.
        \param measuredAt time of the measurement.
    */
    void onTailLatency(const std::string& worker, double ratio, Utils::TimePoint measuredAt);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace Placement
