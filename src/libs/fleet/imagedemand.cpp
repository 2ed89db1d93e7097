#include "imagedemand.h"

namespace Fleet {

void ImageDemand::clear()
{
    milliProcessorsByImage_.clear();
    shares_.clear();
}

void ImageDemand::add(const std::string& image, std::int64_t milliProcessors)
{
    milliProcessorsByImage_[image] += milliProcessors;
}

void ImageDemand::computeShares()
{
    std::int64_t sum = 0;
    for (const auto& [image, size] : milliProcessorsByImage_)
        sum += size;
    for (const auto& [image, size] : milliProcessorsByImage_) {
        if (size > 0)
            shares_.push_back({ image, static_cast<double>(size) / static_cast<double>(sum) });
    }
}

} // namespace Fleet
