#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace FleetSchema {
class TailKnowledge;
}

namespace Fleet {

/*! Part of a worker's processors that work of one image uses. */
struct ImageShare {
    std::string_view image;
    double share = 0; //!< 0 to 1.
};

/*!
    Learns how much work for leftover processors disturbs tasks with a latency target, by pair of images.

    A serving task is taken for a queue: its tail latency is the tail without load divided by what is left of
   its utilization. The utilization is the task's own plus, for each image beside it, the share of the
   processors that the image uses times the pressure of that pair. Pressures are estimated by recursive least
   squares with forgetting.

    Answers takeovers, restarts and rare pairs: what other nodes have learnt counts by the inverse of its
   variance, so that a node that has seen little of a pair goes by those that have seen more.
*/
class TailLatencyModel {
public:
    /*!
        Learns from one sample.
        \param serving image of the task that was measured.
        \param beside what ran beside it.
        \param tailLatencyMs its tail latency in milliseconds.
    */
    void addSample(
        const std::string& criticalImage, std::span<const ImageShare> colocated, double tailLatencyMs);

    /*! \param serving image of a task. \param tailLatencyMs its tail latency. \return its utilization, 0 to
     * below 1.
     */
    double utilization(const std::string& criticalImage, double tailLatencyMs) const;

    /*! \param serving image of a task. \param targetMs its latency target. \return the utilization at which
       it is met just so. */
    double utilizationLimit(const std::string& criticalImage, double targetMs) const;

    /*! \param serving image of a task. \param beside another image. \return the pressure of the pair, at
     * least 0. */
    double pressure(const std::string& criticalImage, std::string_view colocated) const;

    /*! \return whether enough was seen of the pair to tell its pressure from that of others. */
    bool isPressureKnown(const std::string& criticalImage, std::string_view colocated) const;

    /*! \param serving image of a task. \param beside what runs beside it. \return the utilization that it
     * adds. */
    double addedUtilization(const std::string& criticalImage, std::span<const ImageShare> colocated) const;

    /*! \return what was learnt here, for other nodes and for a later incarnation of this one. */
    FleetSchema::TailKnowledge knowledge() const;

    /*! Goes on from what a former incarnation had learnt; what was learnt since is dropped. \param former its
     * knowledge. */
    void resume(const FleetSchema::TailKnowledge& former);

    /*! Replaces what other nodes have learnt. \param others their knowledge. */
    void setPeerKnowledge(std::span<const FleetSchema::TailKnowledge> others);

private:
    /*! Estimates of a pair by other nodes. */
    struct WeightedPressure {
        double weightedSum = 0; //!< Sum of pressure times weight.
        double weight = 0; //!< Sum of weights.
    };

    /*! What other nodes know of one serving image. */
    struct PeerEstimate {
        std::map<std::string, WeightedPressure, std::less<>> pairs;
        double minTailLatencyMs = 0;
    };

    /*! Estimate for one serving image; the first coefficient is the task's own utilization. */
    struct Estimate {
        std::map<std::string, std::size_t, std::less<>> indexByImage; //!< Coefficient of each image beside.
        std::vector<double> coefficients;
        std::vector<double> covariance; //!< Square matrix by rows.
        double minTailLatencyMs = 0; //!< Least tail seen: that without load.
    };

    WeightedPressure combinedPressure(const std::string& criticalImage, std::string_view colocated) const;
    std::optional<double> minTailLatency(const std::string& criticalImage) const;
    static std::size_t coefficientIndex(Estimate& estimate, std::string_view image);
    static double coefficientWeight(const Estimate& estimate, std::size_t index);
    static void update(Estimate& estimate, std::span<const double> features, double measured);

    std::map<std::string, Estimate, std::less<>> estimates_;
    std::map<std::string, PeerEstimate, std::less<>> peerEstimates_;
};

} // namespace Fleet
