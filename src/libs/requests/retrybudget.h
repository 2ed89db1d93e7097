#pragma once

#include "utils/clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace Requests {

/*! Bounds repeated sends to a share of the successes, and spreads them in time. */
class RetryBudget {
public:
    /*!
        \param share sends allowed again per success.
        \param reserve tokens held at the start and at most.
    */
    explicit RetryBudget(double tokensPerSuccess = 0.08, double maxTokens = 20)
        : tokensPerSuccess_(tokensPerSuccess)
        , maxTokens_(maxTokens)
        , tokens_(maxTokens)
    {
    }

    /*! Counts a success. */
    void recordSuccess() { tokens_ = std::min(maxTokens_, tokens_ + tokensPerSuccess_); }

    /*! Takes a token. \return false if the budget is spent. */
    bool tryConsume()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

    /*!
        Delay before a repeated send, doubled with each one and spread by half to either side.
        \param retry 1 for the first repeated send.
        \param random source for the spread.
        \return the delay.
    */
    static Utils::Duration retryDelay(std::uint32_t retry, std::mt19937_64& random)
    {
        constexpr Utils::Duration baseDelay = std::chrono::milliseconds(20);
        const double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(random);
        const double factor = static_cast<double>(1U << std::min(retry - 1, 6U));
        return Utils::Duration(
            static_cast<Utils::Duration::rep>(static_cast<double>(baseDelay.count()) * jitter * factor));
    }

private:
    double tokensPerSuccess_;
    double maxTokens_;
    double tokens_;
};

} // namespace Requests
