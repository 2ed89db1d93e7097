#include <fleet/stalllimit.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

TEST_CASE("A store that was healthy is soon considered down")
{
    Fleet::StallLimit limit;
    CHECK(limit.value() == 700ms);
    for (int transaction = 0; transaction < 20; ++transaction)
        limit.addDuration(12ms);
    CHECK(limit.value() == 700ms);
}

TEST_CASE("Submissions are not rejected while a slow store completes its transactions one after the other")
{
    Fleet::StallLimit limit;
    limit.addDuration(900ms);
    int refused = 0;
    // Transactions of a store that is sixty times slower than usual, with steady submissions.
    for (const Utils::Duration duration : { 950ms, 1100ms, 700ms, 1300ms, 480ms, 990ms }) {
        for (Utils::Duration age = 0ms; age < duration; age += 50ms)
            refused += age > limit.value() ? 1 : 0;
        limit.addDuration(duration);
    }
    CHECK(refused == 0);
    CHECK(limit.value() <= 2000ms);
}

TEST_CASE("The limit returns to its minimum soon after the store has recovered")
{
    Fleet::StallLimit limit;
    limit.addDuration(1500ms);
    for (int transaction = 0; transaction < 4; ++transaction)
        limit.addDuration(10ms);
    CHECK(limit.value() == 700ms);
}
