#pragma once

#include "message.h"

#include <optional>
#include <span>
#include <string_view>

namespace Http {

/*!
    Compares header names, which are case-insensitive.
    \param left,right the names.
    \return true if they are the same name.
*/
bool equalNames(std::string_view left, std::string_view right);

/*!
    Finds the first header of a name.
    \param headers the headers of a message.
    \param name the name, in any case.
    \return its value, or nothing.
*/
std::optional<std::string_view> findHeader(std::span<const Header> headers, std::string_view name);

/*!
    Whether a header belongs to one connection and must not be forwarded.
    \param name the header's name.
    \return true for Connection, Keep-Alive, Transfer-Encoding and their kind, and for Content-Length.
*/
bool isHopByHop(std::string_view name);

/*!
    Makes a response with a JSON object as body.
    \param status the HTTP status.
    \param body the JSON text.
    \return the response with its content type set.
*/
Response jsonResponse(unsigned status, std::string body);

} // namespace Http
