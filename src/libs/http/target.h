#pragma once

#include <map>
#include <string>
#include <string_view>

namespace Http {

/*! A request target taken apart. */
struct Target {
    std::string path; //!< Percent-decoding is not applied to the path.
    std::map<std::string, std::string, std::less<>> query; //!< Decoded names and values.

    /*!
        \param name name of a query parameter.
        \return its value; empty if it is absent.
    */
    std::string_view value(std::string_view name) const;
};

/*!
    Takes a request target apart.
    \param target path and query as they stand on the request line.
    \return path and decoded query.
*/
Target parseTarget(std::string_view target);

/*!
    Encodes a text for use in a query.
    \param text any bytes.
    \return the text with all but unreserved characters percent-encoded.
*/
std::string encodeQuery(std::string_view text);

} // namespace Http
