#include <platform/json.h>

#include <catch2/catch.hpp>

#include <cmath>

using namespace UsersPlatform;

namespace {

boost::json::object parse(const std::string& text)
{
    auto object = Json::parseObject(text, "test");
    REQUIRE(Utils::isOk(object));
    return Utils::value(std::move(object));
}

} // namespace

TEST_CASE("Numbers outside the range of an integer are read as 0")
{
    for (const std::string number : { "18446744073709551615", "9223372036854775808", "1e30", "-1e30", "1e400",
             "-1e400", "0e999", "123456789012345678901234567890" }) {
        INFO(number);
        CHECK(Json::integer(parse("{\"a\":" + number + "}"), "a", 7) == 0);
    }
    CHECK(Json::integer(parse(R"({"a":9223372036854775807})"), "a") == 9223372036854775807);
    CHECK(Json::integer(parse(R"({"a":-9223372036854775808})"), "a") < -9223372036854775807);
}

TEST_CASE("Numbers that are not finite are read as the default value")
{
    for (const std::string number : { "1e400", "-1e400", "0e999" }) {
        INFO(number);
        CHECK(Json::number(parse("{\"a\":" + number + "}"), "a", 1.5) == 1.5);
    }
    CHECK(Json::number(parse(R"({"a":2.5})"), "a", 1.5) == 2.5);
}

TEST_CASE("Text that is nested too deeply is rejected")
{
    for (const std::size_t levels : { 40U, 1000U, 500'000U }) {
        INFO(levels);
        const std::string arrays = "{\"a\":" + std::string(levels, '[') + std::string(levels, ']') + "}";
        CHECK_FALSE(Utils::isOk(Json::parseObject(arrays, "test")));
        CHECK_FALSE(Utils::isOk(Json::parseObject(std::string(levels, '['), "test")));
        std::string objects;
        for (std::size_t level = 0; level < levels; ++level)
            objects += "{\"a\":";
        CHECK_FALSE(Utils::isOk(Json::parseObject(objects + "1" + std::string(levels, '}'), "test")));
    }
}

TEST_CASE("Text that is not valid UTF-8 is rejected")
{
    for (const std::string text : { "\xff", "\xc0\x80", "\xed\xa0\x80", "\\ud800", "\\udc00x" }) {
        INFO(text);
        CHECK_FALSE(Utils::isOk(Json::parseObject("{\"a\":\"" + text + "\"}", "test")));
        CHECK_FALSE(Utils::isOk(Json::parseObject("{\"" + text + "\":1}", "test")));
    }
}

TEST_CASE("Of fields with the same name the last one counts")
{
    CHECK(Json::integer(parse(R"({"a":1,"a":2})"), "a") == 2);
}
