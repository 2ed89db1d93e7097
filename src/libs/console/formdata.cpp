#include "formdata.h"

#include "http/target.h"

#include <algorithm>

namespace Console {

// The body of a form has the syntax of a query. Browsers send line breaks in values as CR LF, so CR is
// removed.
FormData parseFormData(std::string_view body)
{
    FormData data = Http::parseTarget("/?" + std::string(body)).query;
    for (auto& [name, value] : data)
        std::erase(value, '\r');
    return data;
}

std::string fieldValue(const FormData& data, std::string_view name)
{
    const auto found = data.find(name);
    return found == data.end() ? std::string() : found->second;
}

} // namespace Console
