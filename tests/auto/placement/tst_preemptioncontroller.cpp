#include <placement/preemptioncontroller.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using Placement::EvictionCandidate;
using Placement::PreemptionController;
using Placement::PreemptionStep;

namespace {

constexpr Utils::Duration lag = 30s;

} // namespace

TEST_CASE("Preemption escalates in the policy's order and waits until each step has taken effect")
{
    PreemptionController controller;
    Utils::TimePoint now { 1000s };
    std::vector<PreemptionStep> steps;
    double share = 1;
    int effective = 0;
    for (int second = 0; second < 400; ++second, now += 1s) {
        const auto command = controller.onTailLatency(0, 2.0, now - lag, now);
        if (!command)
            continue;
        steps.push_back(command->step);
        CHECK(command->share <= share);
        share = command->share;
        if (command->step == PreemptionStep::Checkpoint && steps.size() > 4) {
            controller.onNoEvictionCandidate(0);
            continue;
        }
        ++effective;
    }
    REQUIRE(steps.size() > 5);
    CHECK(effective <= 1 + 400 / 33);
    CHECK(steps[0] == PreemptionStep::Throttle);
    CHECK(std::ranges::is_sorted(steps));
    CHECK(steps.back() == PreemptionStep::Stop);
    CHECK(share == Approx(0.25));
}

TEST_CASE("A ratio between the thresholds changes nothing, and a low ratio raises the share slowly")
{
    PreemptionController controller;
    Utils::TimePoint now { 1000s };
    REQUIRE(controller.onTailLatency(0, 1.5, now, now));
    for (int second = 0; second < 100; ++second, now += 1s)
        CHECK_FALSE(controller.onTailLatency(0, 0.9, now, now));
    const double throttled = controller.share(0);
    int raises = 0;
    for (int second = 0; second < 100; ++second, now += 1s)
        raises += controller.onTailLatency(0, 0.5, now, now) ? 1 : 0;
    CHECK(raises == 4);
    CHECK(controller.share(0) == Approx(std::min(1.0, throttled + 0.4)));
}

TEST_CASE("Evictions of all workers together are limited per minute")
{
    PreemptionController::Parameters parameters;
    parameters.evictionsPerMinute = 3;
    PreemptionController controller(parameters);
    const Utils::TimePoint now { 1000s };
    int evictions = 0;
    for (int second = 0; second < 180; ++second)
        evictions += controller.tryReserveEviction(now + second * 1s) ? 1 : 0;
    CHECK(evictions == 9);
}

TEST_CASE("The task that loses the least work relative to its interference is evicted")
{
    const PreemptionController controller;
    const std::vector<EvictionCandidate> candidates {
        { 1, 4000, false, 3h, 1 },
        { 2, 4000, true, 2min, 1 },
        { 3, 2000, false, 1min, 1 },
        { 4, 2000, true, 1h, 0.1 },
    };
    CHECK(controller.chooseEviction(candidates, PreemptionStep::Stop) == 2);
    CHECK(controller.chooseEviction(candidates, PreemptionStep::Checkpoint) == 1);
    CHECK_FALSE(controller.chooseEviction({}, PreemptionStep::Stop));
}
