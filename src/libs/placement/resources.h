#pragma once

#include <cstdint>
#include <tuple>

namespace Placement {

/*! Capacity of a worker or size of a task, in integers so that sums are exact. */
struct Resources {
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    /*! \return true if each amount is at most the available one. */
    bool fitsIn(const Resources& available) const;

    /*! \return true if no amount is negative. */
    bool isValid() const;

    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
    friend bool operator==(const Resources&, const Resources&) = default;
    friend bool operator<(const Resources& left, const Resources& right)
    {
        return std::tie(left.milliProcessors, left.memoryMb, left.accelerators)
            < std::tie(right.milliProcessors, right.memoryMb, right.accelerators);
    }
};

} // namespace Placement
