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
        : rate_(bytesPerSecond)
        , limit_(bytesPerSecond * burstSeconds)
        , tokens_(limit_)
    {
    }

    /*!
        Whether an amount could be taken now.
        \param bytes the amount.
        \param now the current time.
        \return true if the stock suffices.
    */
    bool has(double bytes, Utils::TimePoint now)
    {
        const double elapsed = std::chrono::duration<double>(now - filledAt_).count();
        filledAt_ = now;
        tokens_ = std::min(limit_, tokens_ + elapsed * rate_);
        return tokens_ >= std::min(bytes, limit_) && limit_ > 0;
    }

    /*! Takes an amount; the stock may become negative. \param bytes the amount. */
    void take(double bytes) { tokens_ -= bytes; }

private:
    double rate_;
    double limit_;
    double tokens_;
    Utils::TimePoint filledAt_ {};
};

} // namespace Requests
