#pragma once

#include "loadreport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Load {

/*! What load to make. */
struct LoadOptions {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string target = "/";
    std::string priorityClass; //!< Geraniumquay-Class; empty: none.
    std::string deadlineMs = "5000";
    std::size_t bodyBytes = 0;
    std::uint32_t connections = 16;
    std::uint32_t requestsPerSecond
        = 0; //!< Arrivals in all, evenly spaced; 0: each connection sends as soon as it is answered.
    Utils::Duration duration = std::chrono::seconds(5);
};

/*!
    Makes load over kept connections.

    With a rate, latency counts from the planned arrival, so that a stall is seen by all requests it delays.
    \param options the load.
    \return what was seen.
*/
LoadReport runLoad(const LoadOptions& options);

} // namespace Load
