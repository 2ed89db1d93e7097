#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Load {

/*! Results of a load run. */
struct LoadReport {
    std::vector<Utils::Duration> latencies; //!< Of exchanges with a whole answer.
    std::map<std::string, std::uint64_t>
        outcomes; //!< Number of answers by Geraniumquay-Outcome, or by status if that is absent.
    std::uint64_t brokenExchanges = 0; //!< Exchanges without a whole answer.
    Utils::Duration elapsed {};

    /*! Adds the results of another connection. */
    void add(const LoadReport& other);

    /*! \return rate, latency quantiles in microseconds and outcomes as a JSON object. */
    std::string toJson();
};

} // namespace Load
