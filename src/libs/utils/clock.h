#pragma once

#include <chrono>

namespace Utils {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/*! Source of monotonic time, passed to decision logic so that tests and models can control the time. */
class Clock {
public:
    virtual ~Clock() = default;

    virtual TimePoint now() const = 0;
};

} // namespace Utils
