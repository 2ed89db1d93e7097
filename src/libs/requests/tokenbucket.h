#pragma once

#include "utils/clock.h"

#include <algorithm>

namespace Requests {

/*! A budget of bytes per second with a bounded stock. */
class TokenBucket {
public:
    /*!
        \param bytesPerSecond rate of refill.
        \param burstSeconds stock at most, in seconds of refill.
    */
    TokenBucket(double bytesPerSecond, double burstSeconds)
        : refillRate_(bytesPerSecond)
        , capacity_(bytesPerSecond * burstSeconds)
        , tokens_(capacity_)
    {
    }

    /*!
        Whether an amount could be taken now.
        \param bytes the amount.
        \param now the current time.
        \return true if the stock suffices.
    */
    bool hasTokens(double bytes, Utils::TimePoint now)
    {
        const double elapsed = std::chrono::duration<double>(now - refilledAt_).count();
        refilledAt_ = now;
        tokens_ = std::min(capacity_, tokens_ + elapsed * refillRate_);
        return tokens_ >= std::min(bytes, capacity_) && capacity_ > 0;
    }

    /*! Takes an amount; the stock may become negative. \param bytes the amount. */
    void consume(double bytes) { tokens_ -= bytes; }

private:
    double refillRate_;
    double capacity_;
    double tokens_;
    Utils::TimePoint refilledAt_ {};
};

} // namespace Requests
