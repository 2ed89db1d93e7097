#include "target.h"

#include <cctype>

namespace Http {

namespace {

constexpr char hexDigits[] = "0123456789ABCDEF";

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    const int lower = std::tolower(static_cast<unsigned char>(digit));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string decodeQuery(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+') {
            decoded += ' ';
            continue;
        }
        const bool isEscaped = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0
            && hexValue(text[i + 2]) >= 0;
        if (!isEscaped) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
        i += 2;
    }
    return decoded;
}

// Splits a text at its first separator; without a separator, the second part is empty.
std::pair<std::string_view, std::string_view> splitAt(std::string_view text, char separator)
{
    const std::size_t position = text.find(separator);
    if (position == std::string_view::npos)
        return { text, {} };
    return { text.substr(0, position), text.substr(position + 1) };
}

} // namespace

std::string_view Target::value(std::string_view name) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::string_view() : std::string_view(found->second);
}

Target parseTarget(std::string_view target)
{
    Target result;
    const auto [path, query] = splitAt(target, '?');
    result.path = path;
    std::string_view remaining = query;
    while (!remaining.empty()) {
        const auto [parameter, afterPair] = splitAt(remaining, '&');
        const auto [name, value] = splitAt(parameter, '=');
        result.query[decodeQuery(name)] = decodeQuery(value);
        remaining = afterPair;
    }
    return result;
}

std::string encodeQuery(std::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) || character == '-' || character == '_' || character == '.'
            || character == '~') {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += hexDigits[byte >> 4U];
        encoded += hexDigits[byte & 0xFU];
    }
    return encoded;
}

} // namespace Http
