#pragma once

#include "benchtask.h"

#include <random>
#include <vector>

namespace Bench {

/*! Size of one user's fleet. */
struct FleetSize {
    const char* name = "";
    std::size_t workers = 0;
    std::size_t workersPerRack = 0;
    Placement::Resources capacity;
};

/*! What runs on a worker at one moment: processors really used by class; class 0 is the service. */
using ProcessorUsage = std::vector<double>;

/*!
    How tasks really disturb each other, what they really need, and how the services' load moves.

    Known to the measurement and to the placement with foresight only.
*/
class GroundTruth {
public:
    static constexpr std::size_t classCount = 7; //!< Class 0 is the service, the others are batch classes.

    /*! \param size the fleet. \param seed seed of all that is drawn. \param seconds length of a run. */
    GroundTruth(const FleetSize& size, std::uint64_t seed, double seconds);

    /*! \return slowdown of \p victim beside \p usage at \p time on a worker of \p processors. */
    double slowdown(std::size_t victim, const ProcessorUsage& usage, double processors, double time) const;

    /*! \return tail latency over objective of the service at \p time if slowed down by \p slowdown. */
    double latencyRatio(double slowdown, double time) const;

    /*! \return processors that one replica uses at \p time. */
    double serviceProcessors(double time) const;

    /*! \return all tasks in the order of their submission. */
    const std::vector<BenchTask>& tasks() const { return tasks_; }

    /*! \return seconds at which a VM fails, with its worker. */
    const std::vector<std::pair<double, std::size_t>>& failures() const { return failures_; }

    /*! \return the fleet. */
    const FleetSize& size() const { return size_; }

    /*! \return the declared size of a replica of the service. */
    Placement::Resources serviceSize() const;

private:
    static std::size_t stepAt(double time);
    double serviceLoadAt(double time) const;
    double waveFactorAt(std::size_t taskClass, double time) const;
    void precomputeLoads(double seconds);
    void drawClasses(std::mt19937_64& random);
    void drawTasks(std::mt19937_64& random, double seconds);
    BenchTask drawTask(std::mt19937_64& random, std::size_t taskClass, double submittedAt);

    FleetSize size_;
    std::vector<std::vector<double>>
        interferenceCoefficients_; //!< Coefficient by victim and disturbing class.
    std::vector<double> declaredSizeFactors_; //!< Declared over real size by class.
    std::vector<double> declaredRunTimeFactors_; //!< Declared over real run time by class.
    std::vector<double> serviceLoads_; //!< Load of the service by step.
    std::vector<std::vector<double>> waveFactors_; //!< Strength of each class by step.
    std::vector<double> surgeStarts_; //!< Beginnings of surges of the service.
    std::vector<BenchTask> tasks_;
    std::vector<std::pair<double, std::size_t>> failures_;
};

} // namespace Bench
