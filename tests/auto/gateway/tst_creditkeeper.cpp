#include <gateway/creditkeeper.h>
#include <platform/memorytable.h>

#include <platform.pb.h>
#include <policy.pb.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <deque>

namespace {

constexpr std::uint32_t slotCount = 8;

// An entry VM's gateway and credits.
struct Entry {
    Entry(boost::asio::io_context& context, const std::string& name, std::uint64_t incarnation)
        : gateway(context, { name, "a", "r" }, limits(), std::chrono::seconds(10))
        , keeper(gateway, { name, "a", "r" }, incarnation)
    {
        Schema::PolicyDocument policy;
        policy.add_priority_class()->set_name("normal");
        policy.add_service()->set_name("rounds");
        gateway.setPolicy(policy);
        Schema::VmEntry vm;
        vm.set_name("backend-1");
        vm.set_role(Schema::VM_ROLE_BACKEND);
        vm.set_domain("a");
        vm.set_service("rounds");
        vm.set_slots(slotCount);
        const Schema::VmEntry* const vms[] = { &vm };
        gateway.setVms(vms);
    }

    static Gateway::GatewayLimits limits()
    {
        Gateway::GatewayLimits result;
        result.requireCredits = true;
        return result;
    }

    std::uint32_t credits() const { return gateway.counters("rounds").backends.at("backend-1").credits; }

    Gateway::ServiceGateway gateway;
    Gateway::CreditKeeper keeper;
};

// Lets each entry VM read the table and hear all others.
void runRound(std::deque<Entry>& entries, Platform::TableService& table)
{
    for (Entry& entry : entries)
        entry.keeper.readTable(table);
    for (Entry& entry : entries) {
        for (const Entry& other : entries)
            entry.keeper.take(other.keeper.reports(), std::chrono::steady_clock::now());
        entry.keeper.apply();
    }
}

} // namespace

TEST_CASE("Nothing is sent before slots are divided; then the shares add up to the slots")
{
    boost::asio::io_context context;
    Platform::MemoryTable table;
    std::deque<Entry> entries;
    entries.emplace_back(context, "entry-1", 1);
    CHECK(entries[0].credits() == 0);
    CHECK_FALSE(entries[0].keeper.apply());
    runRound(entries, table);
    runRound(entries, table);
    CHECK(entries[0].keeper.apply());
    CHECK(entries[0].credits() == slotCount);
    entries.emplace_back(context, "entry-2", 1);
    entries.emplace_back(context, "entry-3", 1);
    for (int round = 0; round < 6; ++round) {
        runRound(entries, table);
        CHECK(entries[0].credits() + entries[1].credits() + entries[2].credits() <= slotCount);
    }
    CHECK(entries[0].credits() + entries[1].credits() + entries[2].credits() == slotCount);
    CHECK(entries[2].credits() >= 2);
}

TEST_CASE("A new process on a VM gets no share while that of the one before it may be in use")
{
    boost::asio::io_context context;
    Platform::MemoryTable table;
    std::deque<Entry> first;
    first.emplace_back(context, "entry-1", 1);
    runRound(first, table);
    runRound(first, table);
    REQUIRE(first[0].credits() == slotCount);
    std::deque<Entry> second;
    second.emplace_back(context, "entry-1", 2);
    for (int round = 0; round < 4; ++round)
        runRound(second, table);
    CHECK(second[0].credits() == 0);
}
