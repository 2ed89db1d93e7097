#include <fleet/stalllimit.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

TEST_CASE("A store that was sound is taken for down soon")
{
    Fleet::StallLimit limit;
    CHECK(limit.value() == 700ms);
    for (int transaction = 0; transaction < 20; ++transaction)
        limit.note(12ms);
    CHECK(limit.value() == 700ms);
}

TEST_CASE("Work is not refused while a slow store carries its transactions out one after the other")
{
    Fleet::StallLimit limit;
    limit.note(900ms);
    int refused = 0;
    // Transactions of a store that is sixty times slower than usual, with submissions coming all the time.
    for (const Utils::Duration took : { 950ms, 1100ms, 700ms, 1300ms, 480ms, 990ms }) {
        for (Utils::Duration age = 0ms; age < took; age += 50ms)
            refused += age > limit.value() ? 1 : 0;
        limit.note(took);
    }
    CHECK(refused == 0);
    CHECK(limit.value() <= 2000ms);
}

TEST_CASE("A store that is sound again is not given more time than before for long")
{
    Fleet::StallLimit limit;
    limit.note(1500ms);
    for (int transaction = 0; transaction < 4; ++transaction)
        limit.note(10ms);
    CHECK(limit.value() == 700ms);
}
