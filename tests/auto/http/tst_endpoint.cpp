#include <http/endpoint.h>

#include <catch2/catch.hpp>

using namespace std::string_literals;

TEST_CASE("An endpoint consists of an IP address and a port")
{
    for (const std::string text :
        { "10.0.0.1:80", "::1:80", "0.0.0.0:0", "127.0.0.1:65535", "2001:DB8::5:443" }) {
        INFO(text);
        const auto endpoint = Http::parseEndpoint(text);
        REQUIRE(Utils::isOk(endpoint));
        const auto again = Http::parseEndpoint(Utils::value(endpoint).toString());
        REQUIRE(Utils::isOk(again));
        CHECK(Utils::value(again) == Utils::value(endpoint));
    }
}

TEST_CASE("Endpoints without a valid port are rejected")
{
    for (const std::string text :
        { "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:+80",
            "10.0.0.1: 80", "10.0.0.1:80 ", "10.0.0.1:8e1", "10.0.0.1:0x50", ":80", "" }) {
        INFO(text);
        CHECK_FALSE(Utils::isOk(Http::parseEndpoint(text)));
    }
}

TEST_CASE("Endpoints whose address has other characters than an IP address are rejected")
{
    const std::string longText(70'000, 'a');
    for (const std::string& text :
        { "host:80"s, "[::1]:80"s, "10.0.0.1\0x:80"s, "10.0.0.1\0"s + longText + ":80", "::1%1:80"s,
            "::1%\r\nname: value:80"s, "::1%"s + longText + ":80", "fe80::1%"s + longText + ":80",
            longText + ":80", std::string(70'000, '1') + ":80" }) {
        INFO(text.substr(0, 20));
        CHECK_FALSE(Utils::isOk(Http::parseEndpoint(text)));
    }
}
