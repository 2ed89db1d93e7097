#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>

namespace Emulate {

/*! Virtual time with its pending events and its source of random numbers. */
class VirtualTime {
public:
    using Event = std::function<void()>;

    explicit VirtualTime(std::uint64_t seed)
        : random_(seed)
    {
    }

    /*! Runs \p event after \p delayMs. */
    void schedule(std::int64_t delayMs, Event event) { events_.emplace(nowMs_ + delayMs, std::move(event)); }

    /*! Advances to \p nowMs and runs the events that are due. */
    void advance(std::int64_t nowMs)
    {
        nowMs_ = nowMs;
        while (!events_.empty() && events_.begin()->first <= nowMs_) {
            const Event event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
    }

    std::int64_t nowMs() const { return nowMs_; }

    Utils::TimePoint now() const
    {
        return Utils::TimePoint(std::chrono::milliseconds(nowMs_ + clockOriginMs));
    }

    /*! \return a random number from 0 to \p limit - 1. */
    std::int64_t random(std::int64_t limit)
    {
        return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit));
    }

    /*! \return whether an event of this probability happens. */
    bool happens(int percent) { return random(100) < percent; }

    /*! \return a random latency of a call. */
    std::int64_t latencyMs() { return 2 + random(25); }

private:
    // Virtual time must not start at the clock's epoch, which stands for "never".
    static constexpr std::int64_t clockOriginMs = 1'000'000;

    std::int64_t nowMs_ = 0;
    std::mt19937_64 random_;
    std::multimap<std::int64_t, Event> events_;
};

} // namespace Emulate
