#include "endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace Http {

namespace {

// make_address() ignores what follows a NUL byte and accepts any text after "%", so that the address could be
// of any length and contain line breaks.
constexpr char addressCharacters[] = "0123456789abcdefABCDEF.:";

} // namespace

std::string Endpoint::toString() const
{
    return address + ":" + std::to_string(port);
}

Utils::Result<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    Endpoint endpoint;
    if (colon != std::string_view::npos && colon > 0) {
        const std::string_view digits = text.substr(colon + 1);
        const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
        boost::system::error_code addressError;
        endpoint.address = text.substr(0, colon);
        boost::asio::ip::make_address(endpoint.address, addressError);
        if (code == std::errc() && end == digits.data() + digits.size() && !addressError
            && endpoint.address.find_first_not_of(addressCharacters) == std::string::npos)
            return endpoint;
    }
    return Utils::Error { Utils::ErrorCode::InvalidArgument, "endpoint.parse", std::string(text),
        "not of the form ADDRESS:PORT" };
}

} // namespace Http
