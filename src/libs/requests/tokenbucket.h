#pragma once

#include "utils/clock.h"

#include <algorithm>

namespace Requests {

/*! A token bucket that limits bytes per second. */
class TokenBucket {
public:
    /*!
        \param bytesPerSecond refill rate.
        \param burstSeconds capacity in seconds of the refill rate.
    */
    TokenBucket(double bytesPerSecond, double burstSeconds)
        : refillRate_(bytesPerSecond)
        , capacity_(bytesPerSecond * burstSeconds)
        , tokens_(capacity_)
    {
    }

    /*! Refills the bucket. \return true if it holds enough tokens for \p bytes or is full. */
    bool hasTokens(double bytes, Utils::TimePoint now)
    {
        const double elapsed = std::chrono::duration<double>(now - refilledAt_).count();
        refilledAt_ = now;
        tokens_ = std::min(capacity_, tokens_ + elapsed * refillRate_);
        return tokens_ >= std::min(bytes, capacity_) && capacity_ > 0;
    }

    /*! Consumes tokens; their number may become negative. */
    void consume(double bytes) { tokens_ -= bytes; }

private:
    double refillRate_;
    double capacity_;
    double tokens_;
    Utils::TimePoint refilledAt_ {};
};

} // namespace Requests
