#include <gateway/creditmanager.h>
#include <platform/memorytable.h>

#include <platform.pb.h>
#include <policy.pb.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <deque>

namespace {

constexpr std::uint32_t slotCount = 8;

// The gateway and the credit manager of an entry VM.
struct EntryVm {
    EntryVm(boost::asio::io_context& context, const std::string& name, std::uint64_t incarnation)
        : gateway(context, { name, "a", "r" }, limits(), std::chrono::seconds(10))
        , creditManager(gateway, { name, "a", "r" }, incarnation)
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
    Gateway::CreditManager creditManager;
};

// Makes each entry VM read the table and process the reports of all entry VMs.
void runRound(std::deque<EntryVm>& entryVms, Platform::TableService& table)
{
    for (EntryVm& entryVm : entryVms)
        entryVm.creditManager.synchronize(table);
    for (EntryVm& entryVm : entryVms) {
        for (const EntryVm& otherEntryVm : entryVms)
            entryVm.creditManager.handlePeerReports(
                otherEntryVm.creditManager.reports(), std::chrono::steady_clock::now());
        entryVm.creditManager.applyShares();
    }
}

} // namespace

TEST_CASE("No credits are granted before slots are divided, and then the shares add up to the slots")
{
    boost::asio::io_context context;
    Platform::MemoryTable table;
    std::deque<EntryVm> entryVms;
    entryVms.emplace_back(context, "entry-1", 1);
    CHECK(entryVms[0].credits() == 0);
    CHECK_FALSE(entryVms[0].creditManager.applyShares());
    runRound(entryVms, table);
    runRound(entryVms, table);
    CHECK(entryVms[0].creditManager.applyShares());
    CHECK(entryVms[0].credits() == slotCount);
    entryVms.emplace_back(context, "entry-2", 1);
    entryVms.emplace_back(context, "entry-3", 1);
    for (int round = 0; round < 6; ++round) {
        runRound(entryVms, table);
        CHECK(entryVms[0].credits() + entryVms[1].credits() + entryVms[2].credits() <= slotCount);
    }
    CHECK(entryVms[0].credits() + entryVms[1].credits() + entryVms[2].credits() == slotCount);
    CHECK(entryVms[2].credits() >= 2);
}

TEST_CASE("A restarted process gets no share while the share of its predecessor may still be in use")
{
    boost::asio::io_context context;
    Platform::MemoryTable table;
    std::deque<EntryVm> original;
    original.emplace_back(context, "entry-1", 1);
    runRound(original, table);
    runRound(original, table);
    REQUIRE(original[0].credits() == slotCount);
    std::deque<EntryVm> restarted;
    restarted.emplace_back(context, "entry-1", 2);
    for (int round = 0; round < 4; ++round)
        runRound(restarted, table);
    CHECK(restarted[0].credits() == 0);
}
