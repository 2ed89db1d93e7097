#pragma once

#include "utils/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Http {

/*! Address of a server. */
struct Endpoint {
    std::string address; //!< IP number.
    std::uint16_t port = 0;

    /*! \return "address:port". */
    std::string toString() const;

    friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/*!
    Parses "address:port".
    \param text the text.
    \return the endpoint, or InvalidArgument.
*/
Utils::Result<Endpoint> parseEndpoint(std::string_view text);

} // namespace Http
