#pragma once

#include "resources.h"
#include "slidingquantile.h"

#include "utils/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Placement {

/*!
    Corrects declared sizes and run times of a task class by what its tasks were seen to use.

    Each class keeps quantiles of the ratio of used to declared amounts. Until a class has enough samples
    its declared amounts stand.
*/
class SizeEstimator {
public:
    /*!
        Learns what tasks of a class used.
        \param taskClass the class.
        \param declared what the measured tasks had declared together.
        \param usedMilliProcessors processors they used.
        \param usedMemoryMb memory they used.
    */
    void learnSize(std::string_view taskClass, const Resources& declared, double usedMilliProcessors,
        double usedMemoryMb);

    /*!
        Learns how long a task ran until it succeeded, without interruption.
        \param taskClass the class.
        \param declared run time as submitted.
        \param observed run time as it was.
    */
    void learnRunTime(std::string_view taskClass, Utils::Duration declared, Utils::Duration observed);

    /*!
        What a task is expected to need at most; accelerators are taken as declared.
        \param taskClass the class.
        \param declared the size as submitted.
        \return the corrected size.
    */
    Resources expectedSize(std::string_view taskClass, const Resources& declared) const;

    /*!
        Mean of the ratio of used to declared processors.
        \param taskClass the class.
        \return the mean of recent samples; 1 if there are none.
    */
    double meanProcessorsRatio(std::string_view taskClass) const;

    /*!
        How long a task is expected to run at most.
        \param taskClass the class.
        \param declared run time as submitted.
        \return the corrected run time.
    */
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
