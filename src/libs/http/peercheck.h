#pragma once

#include "message.h"

#include <cstdint>
#include <functional>

namespace Http {

/*! Exchange that shows which process of a server a connection leads to. */
struct PeerCheck {
    /*! Returns the request that is sent first. */
    std::function<Request()> makeRequest;
    /*! Returns the process that sent a response to it; 0 if the response does not tell. */
    std::function<std::int64_t(const Response&)> identify;
};

} // namespace Http
