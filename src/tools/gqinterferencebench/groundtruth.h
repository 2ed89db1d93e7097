#pragma once

#include "benchtask.h"

#include <random>
#include <vector>

namespace Bench {

/*! Size of one customer's fleet. */
struct FleetSize {
    const char* name = "";
    std::size_t workers = 0;
    std::size_t workersPerRack = 0;
    Placement::Resources capacity;
};

/*! Processors actually used on a worker at one moment, by class; class 0 is the service. */
using ProcessorUsage = std::vector<double>;

/*!
    True interference between classes, true needs of the tasks, and load of the services over time.

    Known only to the simulation and to the clairvoyant strategy.
*/
class GroundTruth {
public:
    static constexpr std::size_t classCount = 7; //!< Class 0 is the service, the others are batch classes.

    /*!
        \param seed seed of the random source.
        \param seconds length of a run.
    */
    GroundTruth(const FleetSize& size, std::uint64_t seed, double seconds);

    /*! \return the slowdown of class \p victim at \p time on a worker with \p processors. */
    double slowdown(std::size_t victim, const ProcessorUsage& usage, double processors, double time) const;

    /*! \return the service's ratio of tail latency to objective at \p time for a \p slowdown. */
    double latencyRatio(double slowdown, double time) const;

    /*! \return the processors that one replica uses at \p time. */
    double serviceProcessors(double time) const;

    /*! \return all tasks in the order of their submission. */
    const std::vector<BenchTask>& tasks() const { return tasks_; }

    /*! \return the times in seconds at which VMs fail, with the index of the worker. */
    const std::vector<std::pair<double, std::size_t>>& failures() const { return failures_; }

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
        interferenceCoefficients_; //!< Coefficient by victim class, then by aggressor class.
    std::vector<double> declaredSizeFactors_; //!< Ratio of declared to true size by class.
    std::vector<double> declaredRunTimeFactors_; //!< Ratio of declared to true run time by class.
    std::vector<double> serviceLoads_; //!< Load of the services relative to its mean, by step.
    std::vector<std::vector<double>>
        waveFactors_; //!< Factor of the interference caused by each class, by step, then by class.
    std::vector<double> surgeStarts_; //!< Seconds since the beginning.
    std::vector<BenchTask> tasks_;
    std::vector<std::pair<double, std::size_t>> failures_;
};

} // namespace Bench
