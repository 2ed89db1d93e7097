#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Load {

/*! What a load run saw. */
struct LoadReport {
    std::vector<Utils::Duration> latencies; //!< Of whole answers.
    std::map<std::string, std::uint64_t>
        outcomes; //!< Answers by Geraniumquay-Outcome, or by status if absent.
    std::uint64_t brokenExchanges = 0; //!< Exchanges without a whole answer.
    Utils::Duration elapsed {};

    /*! Adds the counts of another connection. \param other its report. */
    void add(const LoadReport& other);

    /*! \return rate, quantiles in microseconds and outcomes as a JSON object. */
    std::string toJson();
};

} // namespace Load
