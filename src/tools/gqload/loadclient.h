#pragma once

#include "loadreport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Load {

/*! Settings of a load run. */
struct LoadOptions {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string method = "GET";
    std::string target = "/";
    std::string priorityClass; //!< Value of Geraniumquay-Class; not sent if empty.
    std::string deadlineMs = "5000";
    std::size_t bodyBytes = 0;
    std::uint32_t connections = 16;
    std::uint32_t requestsPerSecond
        = 0; //!< Evenly spaced over all connections; 0: each connection sends as soon as it is answered.
    Utils::Duration duration = std::chrono::seconds(5);
};

/*!
    Generates load over persistent connections.

    If a rate is set, the latency counts from the planned time of sending, so that a stall is visible in all
    requests that it delays.
*/
LoadReport runLoad(const LoadOptions& options);

} // namespace Load
