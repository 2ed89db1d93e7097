#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Placement {

/*! Index of a task class within one engine. */
using ClassIndex = std::uint16_t;

/*! Share of a worker's processors that is used by one task class. */
struct ClassShare {
    ClassIndex taskClass = 0;
    double share = 0; //!< 0 to 1, or more if the worker is overloaded.
};

/*!
    Predicts how much tasks of one class are slowed down by colocated tasks.

    The slowdown of a class is 1 plus, for each class on the worker, that class's share of the processors
    times a coefficient of the pair. The coefficient is linear in the load of the worker. Coefficients follow
    the samples by normalized least mean squares and decay to a prior while there are no samples. The prior of
    an unseen pair is the mean of the known coefficients of the aggressor class.
*/
class InterferenceModel {
public:
    struct Parameters {
        double prior = 0.5; //!< Coefficient of a pair without any samples.
        double learningRate = 0.3; //!< Share of an error that one sample corrects, 0 to 1.
        Utils::Duration halfLife
            = std::chrono::hours(2); //!< Time in which a coefficient decays halfway to its prior.
        double maxSlowdown = 20; //!< Larger samples and predictions are reduced to this value.
    };

    InterferenceModel();

    explicit InterferenceModel(const Parameters& parameters);

    /*!
        Predicts the slowdown of a class.
        \param victim the class that is slowed down.
        \param mix everything that runs on the worker, including the victim's own class, because tasks of the
               same class also interfere with each other.
        \return run time divided by the run time without colocated tasks, at least 1.
    */
    double predict(ClassIndex victim, std::span<const ClassShare> mix) const;

    /*!
        Updates the coefficients from one sample.
        \param victim the class that was measured.
        \param mix what ran on the worker at the time of the measurement.
        \param slowdown the measured slowdown, at least 1.
        \param measuredAt time of the measurement; samples may arrive late.
    */
    void learn(
        ClassIndex victim, std::span<const ClassShare> mix, double slowdown, Utils::TimePoint measuredAt);

private:
    struct Coefficient {
        double atIdle = 0; //!< Coefficient of an idle worker.
        double atFullLoad = 0; //!< Coefficient while all processors are in use.
        Utils::TimePoint updatedAt {};
        bool isKnown = false;
    };

    double priorOf(ClassIndex aggressor) const;
    const Coefficient* find(ClassIndex victim, ClassIndex aggressor) const;
    Coefficient& prepareCoefficient(ClassIndex victim, ClassIndex aggressor, Utils::TimePoint now);

    Parameters parameters_;
    std::vector<std::vector<Coefficient>> coefficients_; //!< By victim class, then by aggressor class.
    std::vector<double> aggressorMeans_; //!< Mean coefficient by aggressor class.
};

} // namespace Placement
