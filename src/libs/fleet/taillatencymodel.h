#pragma once

#include "tailaccount.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace FleetSchema {
class TailKnowledge;
}

namespace Fleet {

/*! Share of one image's tasks in a worker's processors or in the best-effort demand. */
struct ImageShare {
    std::string_view image;
    double share = 0; //!< 0 to 1.
};

/*!
    Learns, for each pair of images, how much best-effort tasks interfere with latency-critical tasks.

    A latency-critical task is modeled as a queue: its tail latency is the tail latency without load
    divided by 1 minus the utilization. The utilization is the task's own one plus, for each colocated
    image, the share of the processors that the image uses times the pressure of the pair. Pressures are
    estimated by recursive least squares with forgetting.

    Estimates of other nodes are weighted by their inverse variance. After a takeover or a restart, and
    for rare pairs, a node with few samples of a pair thus relies on nodes with more.
*/
class TailLatencyModel {
public:
    /*!
        Updates the estimates with a sample.

        \param criticalImage image of the measured task.
        \param colocated shares of the images that ran on the same worker.
    */
    void addSample(
        const std::string& criticalImage, std::span<const ImageShare> colocated, double tailLatencyMs);

    /*!
        Updates the pressures with a sample of a task whose own utilization is known, so that one sample tells
        much more. Only if the own utilization is stated to be known.

        \param addedUtilization what the colocated images added.
        \param weight weight of the sample, 0 to 1.
    */
    void addColocationSample(const std::string& criticalImage, std::span<const ImageShare> colocated,
        double addedUtilization, double weight);

    /*! Takes note of a tail latency without learning anything about pressures. */
    void addTailLatency(const std::string& criticalImage, double tailLatencyMs);

    /*!
        States that pressures are learned by addColocationSample() from now on. All shards of a node share the
        model, so it holds for all of them, and is not taken back while the node runs.
    */
    void setOwnUtilizationKnown() { isOwnUtilizationKnown_ = true; }

    /*! \return whether setOwnUtilizationKnown() was called. */
    bool isOwnUtilizationKnown() const { return isOwnUtilizationKnown_; }

    /*! \return a pressure limited such that pairs of images that must not meet all compare alike. */
    double comparablePressure(double pressure) const;

    /*! \return the total utilization, 0 to 1, that corresponds to a tail latency. */
    double utilization(const std::string& criticalImage, double tailLatencyMs) const;

    /*! \return the utilization at which the tail latency equals the target. */
    double utilizationLimit(const std::string& criticalImage, double targetMs) const;

    /*! \return the pressure of a colocated image, at least 0. */
    double pressure(const std::string& criticalImage, std::string_view colocated) const;

    /*! \return whether there are enough samples of the pair for a reliable pressure. */
    bool isPressureKnown(const std::string& criticalImage, std::string_view colocated) const;

    /*! \return the utilization that the colocated images add. */
    double addedUtilization(const std::string& criticalImage, std::span<const ImageShare> colocated) const;

    /*! Counts a reported tail latency, with the cause if the target is missed. */
    void count(std::optional<OverTargetCause> cause);

    /*! \return what was counted since the last call. */
    TailAccount takeAccount() { return std::exchange(account_, {}); }

    /*! \return this node's own estimates, for other nodes and for its next incarnation. */
    FleetSchema::TailKnowledge knowledge() const;

    /*! Replaces this node's own estimates with those of its former incarnation. */
    void resume(const FleetSchema::TailKnowledge& former);

    /*! Replaces the estimates of other nodes. */
    void setPeerKnowledge(std::span<const FleetSchema::TailKnowledge> others);

private:
    /*! Sum of several estimates of the pressure of one pair. */
    struct WeightedPressure {
        double weightedSum = 0; //!< Sum of pressure times weight.
        double weight = 0; //!< Sum of weights.
    };

    /*! Estimates of other nodes for one latency-critical image. */
    struct PeerEstimate {
        std::map<std::string, WeightedPressure, std::less<>> pairs;
        double minTailLatencyMs = 0;
    };

    /*! Estimate for one latency-critical image; the first coefficient is the task's own utilization. */
    struct Estimate {
        //! Index of each colocated image's coefficient.
        std::map<std::string, std::size_t, std::less<>> indexByImage;
        std::vector<double> coefficients;
        std::vector<double> covariance; //!< Square matrix in row-major order.
        double minTailLatencyMs = 0; //!< Lowest tail latency so far, taken as the one without load.
    };

    WeightedPressure combinedPressure(const std::string& criticalImage, std::string_view colocated) const;
    std::optional<double> minTailLatency(const std::string& criticalImage) const;
    Estimate& estimateOf(const std::string& criticalImage, double tailLatencyMs);
    std::size_t coefficientIndex(Estimate& estimate, std::string_view image) const;
    static double coefficientWeight(const Estimate& estimate, std::size_t index);
    double priorVariance() const;
    double minKnownWeight() const;
    void update(Estimate& estimate, std::span<const double> features, double measured) const;

    std::map<std::string, Estimate, std::less<>> estimates_;
    std::map<std::string, PeerEstimate, std::less<>> peerEstimates_;
    bool isOwnUtilizationKnown_ = false;
    TailAccount account_;
};

} // namespace Fleet
