#pragma once

#include "taillatencymodel.h"

#include <map>
#include <string>
#include <vector>

namespace Fleet {

/*! Computes each image's share of the processors that all running and waiting best-effort tasks request. */
class ImageDemand {
public:
    /*! Discards the counts and the shares. */
    void clear();

    /*!
        Counts a task.
        \param milliProcessors processors that the task requests.
    */
    void add(const std::string& image, std::int64_t milliProcessors);

    /*! Computes the shares from the counted tasks. */
    void computeShares();

    /*!
        \return the computed shares, which add up to 1; empty if nothing was counted. The images refer to
            this object and are valid until clear().
    */
    const std::vector<ImageShare>& shares() const { return shares_; }

private:
    std::map<std::string, std::int64_t> milliProcessorsByImage_;
    std::vector<ImageShare> shares_;
};

} // namespace Fleet
