#include <fleet/racksettling.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

const Utils::TimePoint start { 1000s };

} // namespace

TEST_CASE("Racks are assigned only once their workers have stopped registering one by one")
{
    Fleet::RackSettling settling;
    for (std::size_t count = 1; count <= 4; ++count) {
        settling.update(std::vector<Fleet::RackInfo> { { "s", "r1", "d", count } }, start + count * 1s);
        CHECK_FALSE(settling.isSettled("s", "d"));
    }
    settling.update(std::vector<Fleet::RackInfo> { { "s", "r1", "d", 4 } }, start + 5s);
    CHECK(settling.isSettled("s", "d"));
    CHECK_FALSE(settling.isSettled("s", "other"));
}

TEST_CASE("The same list again does not show that no more workers register")
{
    Fleet::RackSettling settling;
    const std::vector<Fleet::RackInfo> racks { { "s", "r1", "d", 4 } };
    for (int call = 0; call < 3; ++call) {
        settling.update(racks, start);
        CHECK_FALSE(settling.isSettled("s", "d"));
    }
    settling.update(racks, start + 800ms);
    CHECK(settling.isSettled("s", "d"));
}

TEST_CASE("Racks with ever more workers are assigned after a bounded time")
{
    Fleet::RackSettling settling;
    for (std::size_t second = 0; second < 6; ++second) {
        settling.update(std::vector<Fleet::RackInfo> { { "s", "r1", "d", 1 + second } }, start + second * 1s);
        CHECK_FALSE(settling.isSettled("s", "d"));
    }
    settling.update(std::vector<Fleet::RackInfo> { { "s", "r1", "d", 7 } }, start + 6s);
    CHECK(settling.isSettled("s", "d"));
}

TEST_CASE("Racks that appear later settle on their own")
{
    Fleet::RackSettling settling;
    settling.update(std::vector<Fleet::RackInfo> { { "s", "r1", "d", 8 } }, start);
    settling.update({}, start + 10s);
    settling.update(std::vector<Fleet::RackInfo> { { "s", "r2", "d", 8 } }, start + 20s);
    CHECK_FALSE(settling.isSettled("s", "d"));
    settling.update(std::vector<Fleet::RackInfo> { { "s", "r2", "d", 8 } }, start + 21s);
    CHECK(settling.isSettled("s", "d"));
}
