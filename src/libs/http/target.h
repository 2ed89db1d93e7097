#pragma once

#include <map>
#include <string>
#include <string_view>

namespace Http {

/*! A parsed request target. */
struct Target {
    std::string path; //!< Percent-decoding is not applied to the path.
    std::map<std::string, std::string, std::less<>> query; //!< Decoded names and values.

    /*! Returns the value of the query parameter \a name, or an empty string if it is absent. */
    std::string_view value(std::string_view name) const;
};

/*! Parses a request target: the path and query of a request line. */
Target parseTarget(std::string_view target);

/*! Encodes arbitrary bytes for use in a query: percent-encodes all but unreserved characters. */
std::string encodeQuery(std::string_view text);

} // namespace Http
