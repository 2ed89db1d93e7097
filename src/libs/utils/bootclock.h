#pragma once

#include "clock.h"

#include <ctime>

namespace Utils {

/*! Monotonic clock that includes the time while the machine is suspended, so that leases expire during it. */
class BootClock final : public Clock {
public:
    TimePoint now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace Utils
