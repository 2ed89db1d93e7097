#pragma once

#include <span>

namespace Fleet {

struct ImageShare;
class TailLatencyModel;

/*! What decisions about placement go by: what is known of interference, and the work that there is. Must not
   outlive what it refers to. */
struct InterferenceView {
    const TailLatencyModel& model; //!< Pressures.
    //! Shares of the images of work for leftover processors, which sum up to 1; empty if there is none.
    std::span<const ImageShare> demand {};
};

} // namespace Fleet
