#include <configuration/policy.h>
#include <configuration/policydifference.h>
#include <configuration/policytext.h>

#include <catch2/catch.hpp>

#include <google/protobuf/util/message_differencer.h>

namespace {

constexpr char validText[] = R"(
[priority_class urgent]
rank = 0
guaranteed_percent = 60
ceiling_percent = 90
[priority_class bulk]
rank = 5
guaranteed_percent = 40
[service rounds]
default_class = urgent
objective_ms = 200
[objective rounds-bulk]
service = rounds
priority_class = bulk
latency_ms = 2000
[team survey]
processors = 64
memory_mb = 250000.5
[give_way]
order = checkpoint, stop
[link lagos-abuja]
from = lagos
to = abuja
megabits = 30
)";

std::string faultsOf(const std::string& text)
{
    const auto result = Configuration::parsePolicy(text);
    const auto* faults = std::get_if<std::vector<Settings::Fault>>(&result);
    return faults ? Settings::faultsToString(*faults) : std::string();
}

Schema::PolicyDocument parseValid(const std::string& text)
{
    return std::get<Schema::PolicyDocument>(Configuration::parsePolicy(text));
}

std::string withReplacement(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

struct FaultCase {
    const char* from;
    const char* to;
    const char* expectedFault;
};

} // namespace

TEST_CASE("Faults in references between sections name the section and key")
{
    const FaultCase faultCases[] = {
        { "guaranteed_percent = 60", "guaranteed_percent = 61",
            "[priority_class bulk] guaranteed_percent: all classes together are guaranteed 101%" },
        { "ceiling_percent = 90", "ceiling_percent = 59",
            "[priority_class urgent] ceiling_percent: 59 is below guaranteed_percent 60" },
        { "default_class = urgent", "default_class = vip",
            "[service rounds] default_class: 'vip' has no section" },
        { "objective_ms = 200", "objective_ms = 200\nslots = 65",
            "[service rounds] connections: must be at least" },
        { "service = rounds", "service = survey",
            "[objective rounds-bulk] service: 'survey' has no section" },
        { "priority_class = bulk", "priority_class = vip",
            "[objective rounds-bulk] priority_class: 'vip' has no" },
        { "[team", "[objective twin]\nservice = rounds\npriority_class = bulk\nlatency_ms = 9\n[team",
            "[objective twin] priority_class: this service and class have another objective" },
        { "order = checkpoint, stop", "order = checkpoint, beg", "[give_way] order: 'checkpoint, beg'" },
        { "order = checkpoint, stop", "order = stop, stop", "[give_way] order: step 'stop' is given twice" },
        { "to = abuja", "to = lagos", "[link lagos-abuja] to: is the same region as from" },
        { "[link", "[link back]\nfrom = abuja\nto = lagos\nmegabits = 1\n[link",
            "[link lagos-abuja] to: these two regions have another link" },
    };
    CHECK(faultsOf(validText).empty());
    for (const FaultCase& faultCase : faultCases) {
        const std::string faults = faultsOf(withReplacement(validText, faultCase.from, faultCase.to));
        INFO(faultCase.to << " gave " << faults);
        CHECK(faults.find(faultCase.expectedFault) != std::string::npos);
    }
}

TEST_CASE("Faults of keys and of references between sections are reported together")
{
    const std::string faults = faultsOf("[priority_class a]\nrank = 900\nguaranteed_percent = 70\n"
                                        "[priority_class b]\nrank = 1\nguaranteed_percent = 31\n"
                                        "[service s]\ndefault_class = c\n[colours]\n");
    for (const char* expectedFault :
        { "[priority_class a] rank: '900'", "[priority_class a] guaranteed_percent: all",
            "[priority_class b] guaranteed_percent: all", "[service s] default_class: 'c'",
            "[service s] objective_ms: is missing", "[colours] is not a known section" })
        CHECK(faults.find(expectedFault) != std::string::npos);
    CHECK(faultsOf("").find("[priority_class] at least one") != std::string::npos);
}

TEST_CASE("A document converted to text parses to an equal document")
{
    const auto policy = parseValid(validText);
    const auto reparsed = parseValid(Configuration::policyToText(policy));
    CHECK(google::protobuf::util::MessageDifferencer::Equals(policy, reparsed));
    CHECK(Configuration::difference(policy, reparsed).empty());
}

TEST_CASE("The difference contains changed, added and removed keys")
{
    const auto before = parseValid(validText);
    const auto changed = parseValid(withReplacement(validText, "objective_ms = 200", "objective_ms = 250"));
    const std::vector<Configuration::Difference> expected { { "service rounds", "objective_ms", "200",
        "250" } };
    CHECK(Configuration::difference(before, changed) == expected);
    const auto removed = parseValid(withReplacement(validText, "[team survey]", "[team mapping]"));
    const auto differences = Configuration::difference(before, removed);
    REQUIRE(differences.size() == 6);
    CHECK(differences[1] == Configuration::Difference { "team mapping", "memory_mb", "", "250000.5" });
    CHECK(differences[4] == Configuration::Difference { "team survey", "memory_mb", "250000.5", "" });
}

TEST_CASE("The digest is stable and differs for different texts")
{
    CHECK(Configuration::policyDigest("a").size() == 32);
    CHECK(Configuration::policyDigest("a") == Configuration::policyDigest("a"));
    CHECK(Configuration::policyDigest("a") != Configuration::policyDigest("b"));
}
