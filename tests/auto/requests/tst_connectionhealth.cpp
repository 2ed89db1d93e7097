#include <requests/connectionhealth.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Requests::ConnectionHealth;

TEST_CASE("A connection times out by missing progress alone")
{
    const Utils::TimePoint start {};
    ConnectionHealth connection({}, start);
    connection.onConnected(start);
    REQUIRE(connection.beginExchange(start));
    connection.onProgress(start + 2s);
    CHECK_FALSE(connection.isTimedOut(start + 4900ms));
    CHECK(connection.isTimedOut(start + 5s));
}

TEST_CASE("A connection serves one exchange at a time and none after an unfinished one")
{
    const Utils::TimePoint start {};
    ConnectionHealth connection({}, start);
    CHECK_FALSE(connection.beginExchange(start));
    connection.onConnected(start);
    REQUIRE(connection.beginExchange(start));
    CHECK_FALSE(connection.beginExchange(start));
    connection.endExchange(true, start);
    REQUIRE(connection.beginExchange(start));
    connection.endExchange(false, start);
    connection.onConnected(start);
    CHECK_FALSE(connection.beginExchange(start));
}

TEST_CASE("A connection that was idle too long is not used")
{
    const Utils::TimePoint start {};
    ConnectionHealth connection({}, start);
    connection.onConnected(start);
    CHECK_FALSE(connection.beginExchange(start + 5s));
    CHECK(connection.state() == ConnectionHealth::State::Closed);
}
