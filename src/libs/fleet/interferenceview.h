#pragma once

#include "stepbudget.h"

#include <cstddef>
#include <span>

namespace Fleet {

class InterferenceCache;
struct ImageShare;
class TailLatencyModel;

/*!
    Interference estimates and best-effort demand on which placement decisions are based. Must not
    outlive the objects that it refers to.
*/
struct InterferenceView {
    const TailLatencyModel& model;
    //! Shares of the images in the best-effort demand, which add up to 1; empty if there is none.
    std::span<const ImageShare> demand {};
    InterferenceCache* cache = nullptr; //!< Estimates of the model; may be null.
    StepBudget* steps = nullptr; //!< Counts what is examined; may be null.
    StepKind stepKind = StepKind::Search; //!< What it is examined for.

    void spend(std::size_t count) const
    {
        if (steps)
            steps->spend(stepKind, count);
    }

    /*! \return whether the search is to be left. */
    bool isSpent() const { return steps && steps->isSpent(); }
};

} // namespace Fleet
