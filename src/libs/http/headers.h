#pragma once

#include "message.h"

#include <optional>
#include <span>
#include <string_view>

namespace Http {

/*! Compares header names, ignoring case. */
bool equalNames(std::string_view left, std::string_view right);

/*! Returns the value of the first header with the case-insensitive \a name, or nothing. */
std::optional<std::string_view> findHeader(std::span<const Header> headers, std::string_view name);

/*!
    Returns whether a header only applies to a single connection and must not be forwarded. This is true for
    hop-by-hop headers such as Connection, Keep-Alive and Transfer-Encoding, and for Content-Length.
*/
bool isHopByHop(std::string_view name);

/*! Creates a response with the content type application/json from the serialized \a body. */
Response jsonResponse(unsigned status, std::string body);

} // namespace Http
