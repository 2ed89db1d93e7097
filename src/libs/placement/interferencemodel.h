#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Placement {

/*! Number of a task class within one engine. */
using ClassIndex = std::uint16_t;

/*! Part of a worker's processors that one class of tasks uses. */
struct ClassShare {
    ClassIndex taskClass = 0;
    double share = 0; //!< 0 to 1, or more if the worker is overloaded.
};

/*!
    Predicts how much tasks of one class are slowed down by what runs beside them.

    The slowdown of a class is 1 plus, for each class beside it, its share of the processors times a
    coefficient of that pair; the coefficient is linear in the load of the worker. Coefficients follow the
    samples by normalized least mean squares, and return to a prior while no sample comes. The prior of
    an unseen pair is the mean of what is known of the disturbing class.
*/
class InterferenceModel {
public:
    /*! Settings of the learning. */
    struct Parameters {
        double prior = 0.5; //!< Coefficient of a pair of which nothing is known.
        double learningRate = 0.3; //!< Part of an error that one sample corrects, 0 to 1.
        Utils::Duration halfLife = std::chrono::hours(2); //!< After which half of a coefficient is the prior.
        double maxSlowdown = 20; //!< Bound on samples and predictions.
    };

    InterferenceModel();

    /*! \param parameters settings of the learning. */
    explicit InterferenceModel(const Parameters& parameters);

    /*!
        Predicts a slowdown.
        \param victim the class that is slowed down.
        \param mix all that runs on the worker, with the victim's own class; tasks of the victim's class
               disturb each other.
        \return run time divided by the run time alone, at least 1.
    */
    double predict(ClassIndex victim, std::span<const ClassShare> mix) const;

    /*!
        Learns from one sample.
        \param victim the class that was measured.
        \param mix what ran on the worker at the time of the measurement.
        \param slowdown the measured slowdown, at least 1.
        \param measuredAt time of the measurement; samples may come late.
    */
    void learn(
        ClassIndex victim, std::span<const ClassShare> mix, double slowdown, Utils::TimePoint measuredAt);

private:
    struct Coefficient {
        double atIdle = 0; //!< While the worker is idle.
        double atFullLoad = 0; //!< While all processors are in use.
        Utils::TimePoint updatedAt {};
        bool isKnown = false;
    };

    double priorOf(ClassIndex aggressor) const;
    const Coefficient* find(ClassIndex victim, ClassIndex aggressor) const;
    Coefficient& prepareCoefficient(ClassIndex victim, ClassIndex aggressor, Utils::TimePoint now);

    Parameters parameters_;
    std::vector<std::vector<Coefficient>> coefficients_; //!< By victim, then by disturbing class.
    std::vector<double> aggressorMeans_; //!< Mean coefficient by disturbing class.
};

} // namespace Placement
