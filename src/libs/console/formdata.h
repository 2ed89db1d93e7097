#pragma once

#include <map>
#include <string>
#include <string_view>

namespace Console {

/*! Values of a submitted form by field name. */
using FormData = std::map<std::string, std::string, std::less<>>;

/*!
    Decodes a body of type application/x-www-form-urlencoded. If a field occurs several times, its last value
    is used.
*/
FormData parseFormData(std::string_view body);

/*! Returns the value of the field \a name, or an empty string if it is absent. */
std::string fieldValue(const FormData& data, std::string_view name);

} // namespace Console
