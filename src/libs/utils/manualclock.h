#pragma once

#include "clock.h"

namespace Utils {

/*! A clock that moves only when told to; for tests and measurements. */
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return now_; }

    /*!
        Moves the clock forward.
        \param step how far; not negative.
    */
    void advance(Duration step) { now_ += step; }

private:
    TimePoint now_ {};
};

} // namespace Utils
