#pragma once

#include "clock.h"

namespace Utils {

/*! A manually advanced clock for tests and benchmarks. */
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return now_; }

    /*! Moves the clock forward by \a step, which must not be negative. */
    void advance(Duration step) { now_ += step; }

private:
    TimePoint now_ {};
};

} // namespace Utils
