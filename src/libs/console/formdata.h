#pragma once

#include <map>
#include <string>
#include <string_view>

namespace Console {

/*! Fields of a submitted form by name. */
using FormData = std::map<std::string, std::string, std::less<>>;

/*!
    Decodes a body of type application/x-www-form-urlencoded.
    \param body the body.
    \return its fields; of a name given twice the last value.
*/
FormData parseFormData(std::string_view body);

/*! \param data a form. \param name a field. \return its value; empty if it is absent. */
std::string fieldValue(const FormData& data, std::string_view name);

} // namespace Console
