#include "headers.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Http {

bool equalNames(std::string_view left, std::string_view right)
{
    const auto equalIgnoringCase
        = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), equalIgnoringCase);
}

std::optional<std::string_view> findHeader(std::span<const Header> headers, std::string_view name)
{
    for (const Header& header : headers) {
        if (equalNames(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names { "Connection", "Keep-Alive", "Proxy-Connection",
        "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
        "Content-Length" };
    return std::any_of(
        names.begin(), names.end(), [name](std::string_view other) { return equalNames(name, other); });
}

Response jsonResponse(unsigned status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

} // namespace Http
