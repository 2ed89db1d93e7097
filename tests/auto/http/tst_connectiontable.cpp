#include <http/connectiontable.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using Http::ConnectionPhase;
using Http::ConnectionTable;

namespace {

struct TableFixture {
    explicit TableFixture(std::size_t maxBytes = 100U << 20U)
        : table({ maxBytes })
    {
        table.addListener(3);
        table.addListener(1000);
    }

    ConnectionTable::Id open(std::size_t listener = 0)
    {
        now += 10ms;
        return table.add(listener, now);
    }

    /*! Lets a connection have a complete request that is answered. */
    void serve(ConnectionTable::Id id)
    {
        table.setPhase(id, ConnectionPhase::Receiving, now);
        table.setPhase(id, ConnectionPhase::Serving, now);
        table.setPhase(id, ConnectionPhase::Waiting, now);
    }

    ConnectionTable table;
    Utils::TimePoint now { 1h };
};

using Ids = std::vector<ConnectionTable::Id>;

} // namespace

TEST_CASE("The silent connection that is open for longest makes room for a new one")
{
    TableFixture fixture;
    const auto served = fixture.open();
    fixture.serve(served);
    const auto silent = fixture.open();
    fixture.open();
    CHECK(fixture.table.takeExcess(fixture.now).empty());
    fixture.now += 2s;
    fixture.open();
    CHECK(fixture.table.takeExcess(fixture.now) == Ids { silent });
    CHECK(fixture.table.count(0) == 3);
}

TEST_CASE("A caller that has just connected is not closed for connections that are idle after a request")
{
    TableFixture fixture;
    const auto idle = fixture.open();
    fixture.serve(idle);
    const auto other = fixture.open();
    fixture.serve(other);
    fixture.now += 2s;
    fixture.open();
    fixture.open();
    CHECK(fixture.table.takeExcess(fixture.now) == Ids { idle });
}

TEST_CASE("A slow sender is closed before a caller whose request is younger")
{
    TableFixture fixture;
    const auto slow = fixture.open();
    fixture.table.setPhase(slow, ConnectionPhase::Receiving, fixture.now);
    fixture.now += 5s;
    const auto ordinary = fixture.open();
    fixture.table.setPhase(ordinary, ConnectionPhase::Receiving, fixture.now);
    fixture.open();
    fixture.open();
    CHECK(fixture.table.takeExcess(fixture.now) == Ids { slow });
}

TEST_CASE("Connections that serve requests are never closed, so a new one is")
{
    TableFixture fixture;
    for (int number = 0; number < 3; ++number)
        fixture.table.setPhase(fixture.open(), ConnectionPhase::Serving, fixture.now);
    const auto added = fixture.open();
    CHECK(fixture.table.takeExcess(fixture.now) == Ids { added });
}

TEST_CASE("Unfinished bodies that are too large together are closed, the largest first")
{
    TableFixture fixture(10U << 20U);
    Ids connections;
    for (std::size_t number = 0; number < 20; ++number) {
        connections.push_back(fixture.open(1));
        fixture.table.setPhase(connections.back(), ConnectionPhase::Receiving, fixture.now);
        fixture.table.setBytes(connections.back(), number == 7 ? 2U << 20U : 450'000);
    }
    CHECK(fixture.table.takeExcess(fixture.now) == Ids { connections[7] });
    CHECK(fixture.table.totalBytes() <= 10U << 20U);
}

TEST_CASE("A complete request is refused when those being served hold too much, but never a single one")
{
    TableFixture fixture(10U << 20U);
    const auto first = fixture.open(1);
    fixture.table.setBytes(first, 4U << 20U);
    fixture.table.setPhase(first, ConnectionPhase::Serving, fixture.now);
    CHECK(fixture.table.mayServe(first));
    const auto second = fixture.open(1);
    fixture.table.setBytes(second, 1000);
    fixture.table.setPhase(second, ConnectionPhase::Serving, fixture.now);
    CHECK_FALSE(fixture.table.mayServe(second));
    fixture.table.remove(first);
    CHECK(fixture.table.mayServe(second));
    fixture.table.remove(second);
    CHECK(fixture.table.totalBytes() == 0);
}
