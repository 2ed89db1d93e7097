#pragma once

#include <span>

namespace Fleet {

struct ImageShare;
class TailModel;

/*! What decisions about placement go by: what is known of interference, and the work that there is. */
struct InterferenceView {
    /*! \param tailModel pressures. \param imageDemand shares of the images of work for leftover processors,
     * which sum up to 1; empty if there is none. Both must outlive the view. */
    InterferenceView(const TailModel& tailModel, std::span<const ImageShare> imageDemand = {})
        : model(tailModel)
        , demand(imageDemand)
    {
    }

    const TailModel& model;
    std::span<const ImageShare> demand;
};

} // namespace Fleet
