#pragma once

#include "utils/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Http {

/*! Address of a server. */
struct Endpoint {
    std::string address; //!< IP address.
    std::uint16_t port = 0;

    /*! Returns "address:port". */
    std::string toString() const;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/*! Parses "address:port" without a scope of the address; fails with ErrorCode::InvalidArgument. */
Utils::Result<Endpoint> parseEndpoint(std::string_view text);

} // namespace Http
