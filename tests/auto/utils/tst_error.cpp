#include <utils/error.h>
#include <utils/identifiers.h>

#include <catch2/catch.hpp>

TEST_CASE("The text of an error contains its step and peer")
{
    const Utils::Error error { Utils::ErrorCode::Timeout, "table.commit", "10.0.0.7:8200",
        "no answer in 2000 ms" };
    CHECK(error.toString() == "timeout at table.commit with 10.0.0.7:8200: no answer in 2000 ms");
}

TEST_CASE("Unique ids differ and have 32 digits")
{
    const std::string first = Utils::makeUniqueId();
    CHECK(first.size() == 32);
    CHECK(first != Utils::makeUniqueId());
}
