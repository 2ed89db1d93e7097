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
    explicit RetryBudget(double share = 0.08, double reserve = 20)
        : share_(share)
        , reserve_(reserve)
        , tokens_(reserve)
    {
    }

    /*! Counts a success. */
    void recordSuccess() { tokens_ = std::min(reserve_, tokens_ + share_); }

    /*! Takes a token. \return false if the budget is spent. */
    bool tryTake()
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
    static Utils::Duration delay(std::uint32_t retry, std::mt19937_64& random)
    {
        constexpr Utils::Duration base = std::chrono::milliseconds(20);
        const double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random);
        const double factor = static_cast<double>(1U << std::min(retry - 1, 6U));
        return Utils::Duration(
            static_cast<Utils::Duration::rep>(static_cast<double>(base.count()) * spread * factor));
    }

private:
    double share_;
    double reserve_;
    double tokens_;
};

} // namespace Requests
