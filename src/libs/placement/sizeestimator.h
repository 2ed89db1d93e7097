#pragma once

#include "resources.h"
#include "slidingquantile.h"

#include "utils/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Placement {

/*!
    Estimates sizes and run times of a task class from their observed use.

    Each class keeps quantiles of the ratio of used to declared amounts. The declared amounts are used until a
    class has enough samples.
*/
class SizeEstimator {
public:
    /*!
        Adds a sample of what tasks of a class used.
        \param declared the sum of the sizes that the measured tasks declared.
    */
    void learnSize(std::string_view taskClass, const Resources& declared, double usedMilliProcessors,
        double usedMemoryMb);

    /*!
        Adds the run time of a task that succeeded without interruption. The call is ignored if the task
        declared no run time.
    */
    void learnRunTime(std::string_view taskClass, Utils::Duration declared, Utils::Duration observed);

    /*! \return the size that a task is expected to need at most; accelerators are as declared. */
    Resources expectedSize(std::string_view taskClass, const Resources& declared) const;

    /*! \return the moving average of the ratio of used to declared processors; 1 if there are no samples. */
    double meanProcessorsRatio(std::string_view taskClass) const;

    /*! \return the run time that a task is expected to need at most. */
    Utils::Duration expectedRunTime(std::string_view taskClass, Utils::Duration declared) const;

private:
    struct ClassRatios {
        ClassRatios();

        SlidingQuantile processors;
        SlidingQuantile memory;
        SlidingQuantile runTime;
        double meanProcessors = 1;
        bool hasMean = false;
    };

    ClassRatios& ratiosOf(std::string_view taskClass);

    std::map<std::string, ClassRatios, std::less<>> classes_;
};

} // namespace Placement
