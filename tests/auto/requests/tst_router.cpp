#include <requests/router.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace Requests;

namespace {

std::vector<Backend> backends(int count, const std::string& domain, const std::string& region)
{
    std::vector<Backend> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        result.push_back({ .name = domain + std::to_string(index), .domain = domain, .region = region });
    return result;
}

struct SendCounts {
    int failing = 0;
    int total = 0;
};

// One backend server answers each request with a failure after 1 ms, the others succeed after 50 ms.
SendCounts sendWithFailingBackend(
    Router& router, Utils::Duration length, Utils::Duration countedFrom, bool recordsFailures)
{
    std::multimap<Utils::TimePoint, std::string> running;
    SendCounts counts;
    for (Utils::TimePoint now {}; now < Utils::TimePoint {} + length; now += 2ms) {
        while (!running.empty() && running.begin()->first <= now) {
            const std::string name = running.begin()->second;
            running.erase(running.begin());
            const bool failing = name == "a0" && recordsFailures;
            router.recordAttempt(
                name, failing ? AttemptEnd::Failure : AttemptEnd::Success, name == "a0" ? 1ms : 50ms, now);
            router.releaseSlot(name);
        }
        const auto chosen = router.chooseTarget({}, now);
        if (!chosen)
            continue;
        router.acquireSlot(chosen->first, 0, now);
        running.emplace(now + (chosen->first == "a0" ? 1ms : 50ms), chosen->first);
        if (now < Utils::TimePoint {} + countedFrom)
            continue;
        ++counts.total;
        counts.failing += chosen->first == "a0";
    }
    return counts;
}

} // namespace

TEST_CASE("A backend server that fails everything quickly gets under 1% after 5 s")
{
    Router router("a", "north", 5);
    router.setBackends(backends(17, "a", "north"));
    const SendCounts counts = sendWithFailingBackend(router, 35s, 5s, true);
    REQUIRE(counts.total > 10000);
    CHECK(counts.failing < counts.total / 100);
    Router misledRouter("a", "north", 5);
    misledRouter.setBackends(backends(17, "a", "north"));
    // A router that counts the quick failures as successes sends most requests to the failing server. This
    // shows that the check above can fail.
    const SendCounts misledCounts = sendWithFailingBackend(misledRouter, 35s, 5s, false);
    CHECK(misledCounts.failing > misledCounts.total / 10);
}

TEST_CASE("No more than the maximum share of backend servers is ejected")
{
    Router router("a", "north", 5);
    const auto all = backends(10, "a", "north");
    router.setBackends(all);
    const Utils::TimePoint now {};
    for (const Backend& backend : all) {
        for (int failure = 0; failure < 30; ++failure)
            router.recordAttempt(backend.name, AttemptEnd::Failure, 1ms, now);
    }
    CHECK(router.capacity(now) == 7 * 8);
}

TEST_CASE("The own domain is preferred, then the region, then the other region within the link's budget")
{
    Router router("a", "north", 5);
    auto all = backends(1, "a", "north");
    for (const auto& more : { backends(1, "b", "north"), backends(1, "c", "south") })
        all.insert(all.end(), more.begin(), more.end());
    router.setBackends(all);
    const std::vector<LinkBudget> budgets { { "south", 1000 } };
    router.setLinkBudgets(budgets);
    const Utils::TimePoint now = Utils::TimePoint {} + 10s;
    const RouteQuery query { .lastTarget = {}, .expectedBytes = 200, .mayLeaveDomain = true };
    std::string chosenDomains;
    while (const auto chosen = router.chooseTarget(query, now)) {
        router.acquireSlot(chosen->first, query.expectedBytes, now);
        chosenDomains += chosen->first[0];
    }
    CHECK(chosenDomains == "aaaaaaaabbbbbbbbc"); // The burst of a quarter of a second is 250 bytes.
    CHECK(router.chooseTarget(query, now + 1s)->first == "c0");
    CHECK_FALSE(
        router.chooseTarget({ .lastTarget = {}, .expectedBytes = 200, .mayLeaveDomain = false }, now + 1s));
}

TEST_CASE("A draining backend server and one with expired credits get no requests")
{
    Router router("a", "north", 5);
    auto all = backends(2, "a", "north");
    router.setBackends(all);
    const Utils::TimePoint now = Utils::TimePoint {} + 10s;
    router.setCredits("a1", 3, now + 1s);
    CHECK(router.capacity(now) == 11);
    CHECK(router.capacity(now + 1s) == 8);
    router.recordAttempt("a0", AttemptEnd::Draining, 1ms, now);
    CHECK(router.capacity(now) == 3);
    all[1].isDraining = true;
    router.setBackends(all);
    CHECK_FALSE(router.hasUsableTarget(now));
}
