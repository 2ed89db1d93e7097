#pragma once

#include "bytebudget.h"

#include <cstdint>
#include <memory>

namespace Http {

/*! Bounds on what a server's responses may take. A larger one fails its exchange with an unknown outcome. */
struct ClientLimits {
    std::uint64_t maxResponseBytes = 16U << 20U; //!< Greatest body of a response.
    std::shared_ptr<ByteBudget> total; //!< Of all responses that are being received; null: no bound.
};

} // namespace Http
