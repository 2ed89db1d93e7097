#pragma once

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
};

} // namespace Fleet
