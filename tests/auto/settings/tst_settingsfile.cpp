#include <policy.pb.h>
#include <settings.pb.h>
#include <settings/settingsfile.h>

#include <catch2/catch.hpp>

namespace {

constexpr char validText[] = R"(
[node]
name = entry-1
domain = lagos-a
region = lagos
[platform]
address = 127.0.0.1
port = 8200
[peer entry-2]
address = 127.0.0.1
port = 8301
)";

std::string faultsOf(std::string_view text)
{
    Schema::EntryDaemonSettings settings;
    return Settings::faultsToString(Settings::parseText(text, "test.ini", settings));
}

} // namespace

TEST_CASE("A valid text sets the fields, and absent keys get their initial values")
{
    Schema::EntryDaemonSettings settings;
    CHECK(Settings::parseText(validText, "test.ini", settings).empty());
    CHECK(settings.node().name() == "entry-1");
    CHECK(settings.platform().timeout_ms() == 2000);
    CHECK(settings.listen().address() == "127.0.0.1");
    REQUIRE(settings.peer_size() == 1);
    CHECK(settings.peer(0).name() == "entry-2");
}

TEST_CASE("All faults are reported together with section, key and allowed range")
{
    const std::string faults
        = faultsOf("[node]\nname = entry 1\ndomain = a\n[platform]\naddress = 127.0.0.1\n"
                   "port = 99999\ncolour = red\n[listen]\nthreads = none\n[colours]\n");
    CHECK(faults.find("[node] name: 'entry 1' is not allowed; must match") != std::string::npos);
    CHECK(faults.find("[node] region: is missing") != std::string::npos);
    CHECK(faults.find("[platform] port: '99999' is not allowed; must be a whole number from 1 to 65535")
        != std::string::npos);
    CHECK(faults.find("[platform] colour: is not a known key") != std::string::npos);
    CHECK(faults.find("[listen] threads: 'none' is not allowed") != std::string::npos);
    CHECK(faults.find("[colours] is not a known section") != std::string::npos);
}

TEST_CASE("A repeated key, a malformed line and a missing file are faults")
{
    CHECK(faultsOf("[node]\nname = a\nname = b\n").find("[node] name: is given twice") != std::string::npos);
    CHECK(faultsOf("[node\n").find("line 1") != std::string::npos);
    Schema::EntryDaemonSettings settings;
    CHECK(Settings::readFile("does-not-exist.ini", settings).size() == 1);
}

TEST_CASE("Lists and named sections of a policy document are parsed")
{
    Schema::PolicyDocument policy;
    const auto faults = Settings::parseText("[priority_class urgent]\nrank = 0\nguaranteed_percent = 30\n"
                                            "[give_way]\norder = checkpoint, stop\n",
        "policy", policy);
    CHECK(Settings::faultsToString(faults).empty());
    CHECK(policy.priority_class(0).ceiling_percent() == 100);
    REQUIRE(policy.give_way().order_size() == 2);
    CHECK(policy.give_way().order(1) == "stop");
}

TEST_CASE("A very long value is rejected without exhausting the stack")
{
    constexpr std::size_t length = 1'000'000;
    const std::string faults = faultsOf("[node]\nname = " + std::string(length, 'a') + "\n");
    CHECK(faults.find("[node] name: ") != std::string::npos);
    CHECK(faults.find("must match [A-Za-z0-9._-]+") != std::string::npos);
    CHECK(faults.size() < length);
}
