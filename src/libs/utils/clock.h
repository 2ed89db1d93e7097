#pragma once

#include <chrono>

namespace Utils {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/*! Source of monotonic time, passed to decision logic so that tests and models can set it. */
class Clock {
public:
    virtual ~Clock() = default;

    /*! \return the current monotonic time. */
    virtual TimePoint now() const = 0;
};

} // namespace Utils
