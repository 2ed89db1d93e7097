#pragma once

#include "utils/clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace Requests {

/*! Limits retries to a share of the successful requests, and spreads them over time. */
class RetryBudget {
public:
    /*!
        \param tokensPerSuccess retries allowed per success.
        \param maxTokens number of tokens at the start, and their maximum.
    */
    explicit RetryBudget(double tokensPerSuccess = 0.08, double maxTokens = 20)
        : tokensPerSuccess_(tokensPerSuccess)
        , maxTokens_(maxTokens)
        , tokens_(maxTokens)
    {
    }

    void recordSuccess() { tokens_ = std::min(maxTokens_, tokens_ + tokensPerSuccess_); }

    /*! Consumes a token. \return false if the budget is used up. */
    bool tryConsume()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

    /*!
        Computes an exponential backoff with jitter: the delay doubles with each retry and varies by half in
        either direction.
        \param retry 1 for the first retry.
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
