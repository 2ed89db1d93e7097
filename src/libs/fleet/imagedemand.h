#pragma once

#include "taillatencymodel.h"

#include <map>
#include <string>
#include <vector>

namespace Fleet {

/*! Shares of the images in the work for leftover processors that runs or waits. */
class ImageDemand {
public:
    /*! Begins a new count. */
    void clear();

    /*! Counts a task. \param image its image. \param milliProcessors what it asks for. */
    void add(const std::string& image, std::int64_t milliProcessors);

    /*! Ends the count. */
    void computeShares();

    /*! \return the shares of the last count, which sum up to 1; valid until the next one begins. */
    const std::vector<ImageShare>& shares() const { return shares_; }

private:
    std::map<std::string, std::int64_t> milliProcessorsByImage_;
    std::vector<ImageShare> shares_;
};

} // namespace Fleet
