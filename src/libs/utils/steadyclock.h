#pragma once

#include "clock.h"

namespace Utils {

/*! The monotonic system clock. */
class SteadyClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace Utils
