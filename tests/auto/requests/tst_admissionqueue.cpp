#include "propertyparameters.h"

#include <requests/admissionqueue.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace std::chrono_literals;
using namespace Requests;

namespace {

const bool parametersSet = Testing::setPropertyParameters("seed=41 max_success=300 max_size=300");
constexpr std::uint32_t slotCount = 10;

std::vector<ClassRule> twoClasses(double lowGuaranteedShare)
{
    return { { .name = "urgent", .rank = 0, .guaranteedShare = 0.5 },
        { .name = "low", .rank = 9, .guaranteedShare = lowGuaranteedShare, .ceilingShare = 0.8 } };
}

// Returns the low class's share of the slots while both classes have more requests than can be served.
double lowClassShareUnderFlood(double lowGuaranteedShare)
{
    AdmissionQueue queue(twoClasses(lowGuaranteedShare));
    queue.setCapacity(slotCount);
    Utils::TimePoint now {};
    RequestId id = 0;
    std::multimap<Utils::TimePoint, std::size_t> running;
    std::map<std::size_t, int> served;
    for (int round = 0; round < 4000; ++round, now += 1ms) {
        while (!running.empty() && running.begin()->first <= now) {
            queue.release(running.begin()->second, 50ms, now);
            running.erase(running.begin());
        }
        for (const std::size_t index : { 0U, 1U })
            queue.push({ ++id, index, "c", now, now + 10s }, now);
        std::vector<QueuedRequest> expired;
        queue.takeExpired(now, expired);
        while (running.size() < slotCount) {
            const auto next = queue.peek(now);
            if (!next)
                break;
            queue.start(next->id, now);
            running.emplace(now + 50ms, next->classIndex);
            ++served[next->classIndex];
        }
    }
    return static_cast<double>(served[1]) / (served[0] + served[1]);
}

} // namespace

TEST_CASE("A flood of the most urgent class leaves the others their guaranteed share")
{
    CHECK(lowClassShareUnderFlood(0.2) == Approx(0.2).margin(0.02));
    CHECK(lowClassShareUnderFlood(0.05) == Approx(0.05).margin(0.005)); // Half a slot.
    // Without a guarantee the class starves. This shows that the checks above can fail.
    CHECK(lowClassShareUnderFlood(0) < 0.01);
}

TEST_CASE("An urgent request gets the next free slot in a flood of the least urgent class")
{
    AdmissionQueue queue(twoClasses(0.2));
    queue.setCapacity(slotCount);
    const Utils::TimePoint now {};
    for (RequestId id = 1; id <= 12; ++id)
        queue.push({ id, 1, "c", now, now + 10s }, now);
    std::uint32_t started = 0;
    while (const auto next = queue.peek(now)) {
        queue.start(next->id, now);
        ++started;
    }
    CHECK(started == 8); // The ceiling of the class, 0.8 of the 10 slots.
    queue.push({ 100, 0, "u", now, now + 10s }, now);
    CHECK(queue.peek(now)->id == 100);
}

TEST_CASE("Callers of a class take turns, and the caller with the most waiting requests is rejected first")
{
    AdmissionQueue queue(twoClasses(0.2));
    queue.setCapacity(4);
    const Utils::TimePoint now {};
    queue.release(
        0, 250ms, now); // Two guaranteed slots serve 4 requests in the maximum queue time of 500 ms.
    for (RequestId id = 1; id <= 4; ++id)
        REQUIRE(queue.push({ id, 0, "greedy", now, now + 10s }, now).isAccepted);
    CHECK_FALSE(queue.push({ 5, 0, "greedy", now, now + 10s }, now).isAccepted);
    const auto result = queue.push({ 6, 0, "modest", now, now + 10s }, now);
    CHECK(result.isAccepted);
    CHECK(result.displacedRequest == RequestId { 4 });
    std::vector<RequestId> order;
    while (const auto next = queue.peek(now)) {
        order.push_back(next->id);
        queue.start(next->id, now);
    }
    CHECK(order == std::vector<RequestId> { 1, 6, 2, 3 });
}

TEST_CASE("Queued requests expire at their deadline and at the maximum queue time")
{
    AdmissionQueue queue(twoClasses(0.2));
    queue.setCapacity(1);
    const Utils::TimePoint now {};
    queue.push({ 1, 0, "c", now, now + 100ms }, now);
    queue.push({ 2, 0, "c", now, now + 10s }, now);
    CHECK(queue.nextExpiry() == now + 100ms);
    std::vector<QueuedRequest> expired;
    queue.takeExpired(now + 499ms, expired);
    REQUIRE(expired.size() == 1);
    queue.takeExpired(now + 500ms, expired);
    CHECK(expired.size() == 2);
    CHECK(queue.size() == 0);
}

TEST_CASE("Random operations keep the counts, the ceilings and the order of each caller")
{
    const bool passed = rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& operations) {
        AdmissionQueue queue(twoClasses(0.2));
        queue.setCapacity(slotCount);
        Utils::TimePoint now {};
        RequestId id = 0;
        std::map<RequestId, QueuedRequest> waiting;
        std::vector<std::size_t> running;
        for (const auto& [kind, value] : operations) {
            now += std::chrono::milliseconds(value);
            if (kind % 4 <= 1) {
                const QueuedRequest request { ++id, kind / 4 % 2U,
                    std::string(1, static_cast<char>('a' + value % 3)), now,
                    now + std::chrono::milliseconds(10 * value) };
                const auto result = queue.push(request, now);
                if (result.isAccepted)
                    waiting[id] = request;
                if (result.displacedRequest)
                    RC_ASSERT(waiting.erase(*result.displacedRequest) == 1U);
            } else if (kind % 4 == 2 && !running.empty()) {
                queue.release(running.back(), 20ms, now);
                running.pop_back();
            }
            std::vector<QueuedRequest> expired;
            queue.takeExpired(now, expired);
            for (const QueuedRequest& request : expired)
                RC_ASSERT(waiting.erase(request.id) == 1U);
            for (const auto& [other, request] : waiting)
                RC_ASSERT(std::min(request.deadline, request.enqueuedAt + 500ms) > now);
            const auto next = running.size() < slotCount ? queue.peek(now) : std::nullopt;
            if (next) {
                for (const auto& [other, request] : waiting)
                    RC_ASSERT(other >= next->id || request.caller != next->caller
                        || request.classIndex != next->classIndex);
                queue.start(next->id, now);
                RC_ASSERT(waiting.erase(next->id) == 1U);
                running.push_back(next->classIndex);
                RC_ASSERT(std::ranges::count(running, 1U) <= 8);
            }
            RC_ASSERT(queue.size() == waiting.size());
        }
    });
    CHECK(passed);
}
