#include "propertyparameters.h"

#include <requests/requestcore.h>

#include <policy.pb.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <random>

using namespace std::chrono_literals;
using namespace Requests;

namespace {

const bool parametersSet = Testing::setPropertyParameters("seed=53 max_success=300 max_size=400");
constexpr std::uint32_t slotCount = 2;

using Operations = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

// How the simulation reports outcomes: correctly, or with one deliberate mistake that the test must detect.
enum class Variant { Correct, ReportsCutAsNotSent, ReportsTimeoutAsRefused };

Schema::PolicyDocument policy()
{
    Schema::PolicyDocument document;
    for (const char* name : { "urgent", "low" }) {
        auto* priorityClass = document.add_priority_class();
        priorityClass->set_name(name);
        priorityClass->set_rank(static_cast<std::uint32_t>(document.priority_class_size()));
        priorityClass->set_guaranteed_percent(30);
        priorityClass->set_ceiling_percent(100);
        priorityClass->set_max_queue_ms(500);
    }
    auto* service = document.add_service();
    service->set_name("app");
    service->set_default_class("low");
    return document;
}

std::vector<Backend> threeBackends(bool isDraining)
{
    std::vector<Backend> backends;
    for (const char* name : { "b0", "b1", "b2" })
        backends.push_back({ .name = name, .domain = "a", .region = "north", .slots = slotCount });
    backends[0].isDraining = isDraining;
    return backends;
}

struct Request {
    bool isIdempotent = false;
    int runs = 0;
    int decisions = 0;
    bool isReportedNotRun = false;
    bool isReportedCompleted = false;
    bool hasWholeAnswer = false;
};

class CoreSimulation {
public:
    explicit CoreSimulation(Variant variant)
        : variant_(variant)
        , core_({ .service = "app", .domain = "a", .region = "north" })
    {
        core_.setPolicy(policy(), now_);
        core_.setBackends(threeBackends(false), now_);
    }

    void apply(std::uint8_t kind, std::uint8_t value)
    {
        now_ += std::chrono::milliseconds(value % 16);
        if (kind % 8 <= 1)
            submit(kind, value);
        else if (kind % 8 <= 5 && !attempts_.empty())
            endAttempt(*std::next(attempts_.begin(), value % attempts_.size()), kind / 8);
        else if (kind % 8 == 6)
            core_.cancel(value, now_);
        else if (value % 4 == 0)
            core_.setBackends(threeBackends(value % 8 == 0), now_);
        core_.tick(now_);
        executeActions();
    }

    void drain()
    {
        for (int round = 0; round < 2000 && !(core_.isIdle() && attempts_.empty()); ++round)
            apply(round % 2 ? 2 : 7, 1);
    }

    std::string violation()
    {
        for (const auto& [id, request] : requests_) {
            if (request.decisions > 1)
                return "request decided twice";
            if (request.isReportedNotRun && request.runs > 0)
                return "not-run was reported although it ran";
            if (!request.isIdempotent && request.runs > 1)
                return "not idempotent, but ran twice";
            if (request.isReportedCompleted && !request.hasWholeAnswer)
                return "completed without a whole answer";
        }
        for (const auto& [name, backend] : core_.counters().backends) {
            if (backend.running > slotCount)
                return "too many slots in use";
        }
        return {};
    }

    bool areAllDecided() const
    {
        return std::ranges::all_of(requests_, [](const auto& item) { return item.second.decisions == 1; });
    }

private:
    void submit(std::uint8_t kind, std::uint8_t value)
    {
        const RequestId id = requests_.size() + 1;
        requests_[id].isIdempotent = kind & 8U;
        core_.submit({ .id = id,
                         .service = "app",
                         .priorityClass = kind & 16U ? "urgent" : "",
                         .caller = std::to_string(value % 3),
                         .deadline = now_ + std::chrono::milliseconds(20 * value),
                         .isIdempotent = requests_[id].isIdempotent,
                         .key = {} },
            now_);
    }

    void endAttempt(std::pair<const AttemptId, RequestId> attempt, int phase)
    {
        attempts_.erase(attempt.first);
        Request& request = requests_.at(attempt.second);
        if (phase == 0) { // No connection.
            core_.onAttemptNotSent(attempt.first, now_);
            return;
        }
        if (!core_.beginSending(attempt.first, now_)) {
            core_.onAttemptNotSent(attempt.first, now_);
            return;
        }
        if (phase <= 3) { // Refused before execution.
            core_.onAttemptRefused(
                attempt.first, phase == 1 ? RefusalKind::Draining : RefusalKind::Overloaded, now_);
            return;
        }
        // Phases from 8 on end after the backend server has received the whole request.
        request.runs += phase >= 8;
        if (phase >= 24) {
            request.hasWholeAnswer = true;
            core_.onAttemptCompleted(attempt.first, phase >= 28 ? 500 : 200, now_);
        } else if (phase % 2 == 0 && variant_ == Variant::ReportsCutAsNotSent) {
            core_.onAttemptNotSent(attempt.first, now_);
        } else if (phase % 2 == 0) {
            core_.onAttemptBroken(attempt.first, now_);
        } else if (variant_ == Variant::ReportsTimeoutAsRefused) {
            core_.onAttemptRefused(attempt.first, RefusalKind::Overloaded, now_);
        } else {
            core_.onAttemptTimedOut(attempt.first, now_);
        }
    }

    void executeActions()
    {
        std::vector<Action> actions;
        core_.takeActions(actions);
        for (const Action& action : actions) {
            if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
                attempts_[dispatch->attempt] = dispatch->request;
            } else if (const auto* finish = std::get_if<Finish>(&action)) {
                Request& request = requests_.at(finish->request);
                ++request.decisions;
                request.isReportedNotRun = finish->outcome == Outcome::NotRun;
                request.isReportedCompleted = finish->outcome == Outcome::Completed;
            } else {
                Request& request = requests_.at(std::get<Reject>(action).request);
                ++request.decisions;
                request.isReportedNotRun = true;
            }
        }
    }

    Variant variant_;
    Utils::TimePoint now_ = Utils::TimePoint {} + 1h;
    RequestCore core_;
    std::map<RequestId, Request> requests_;
    std::map<AttemptId, RequestId> attempts_; // Open attempts.
};

std::string run(Variant variant, const Operations& operations)
{
    CoreSimulation simulation(variant);
    for (const auto& [kind, value] : operations) {
        simulation.apply(kind, value);
        if (std::string violation = simulation.violation(); !violation.empty())
            return violation;
    }
    simulation.drain();
    if (!simulation.areAllDecided())
        return "request left undecided";
    return simulation.violation();
}

std::string firstViolation(Variant variant)
{
    std::mt19937 random(17);
    for (int round = 0; round < 100; ++round) {
        Operations operations(400);
        for (auto& [kind, value] : operations) {
            kind = static_cast<std::uint8_t>(random());
            value = static_cast<std::uint8_t>(random());
        }
        if (std::string violation = run(variant, operations); !violation.empty())
            return violation;
    }
    return {};
}

} // namespace

TEST_CASE("Each request gets one correct outcome in time, whatever phase an attempt fails in")
{
    const bool passed = rc::check(
        [](const Operations& operations) { RC_ASSERT(run(Variant::Correct, operations).empty()); });
    CHECK(passed);
    CHECK(firstViolation(Variant::Correct).empty());
}

TEST_CASE("The check detects reports of interrupted or timed out exchanges as refusals")
{
    const std::string cut = firstViolation(Variant::ReportsCutAsNotSent);
    CHECK((cut == "not idempotent, but ran twice" || cut == "not-run was reported although it ran"));
    CHECK(firstViolation(Variant::ReportsTimeoutAsRefused) == "not-run was reported although it ran");
}

TEST_CASE("A stop rejects new requests and finishes accepted ones")
{
    Utils::TimePoint now = Utils::TimePoint {} + 1h;
    RequestCore core({ .service = "app", .domain = "a", .region = "north" });
    core.setPolicy(policy(), now);
    core.setBackends(threeBackends(false), now);
    core.submit(
        { .id = 1, .service = "app", .priorityClass = {}, .caller = "c", .deadline = now + 1s, .key = {} },
        now);
    core.beginStop();
    core.submit(
        { .id = 2, .service = "app", .priorityClass = {}, .caller = "c", .deadline = now + 1s, .key = {} },
        now);
    std::vector<Action> actions;
    core.takeActions(actions);
    REQUIRE(actions.size() == 2);
    const AttemptId attempt = std::get<Dispatch>(actions[0]).attempt;
    CHECK(std::get<Reject>(actions[1]).reason == RejectReason::Stopping);
    CHECK_FALSE(core.isIdle());
    REQUIRE(core.beginSending(attempt, now));
    core.onAttemptCompleted(attempt, 200, now);
    CHECK(core.isIdle());
}

TEST_CASE("Nothing is sent under credits that expired after the dispatch")
{
    Utils::TimePoint now = Utils::TimePoint {} + 1h;
    RequestCore core({ .service = "app", .domain = "a", .region = "north", .requiresCredits = true });
    core.setPolicy(policy(), now);
    core.setBackends(threeBackends(false), now);
    core.setCredits("b1", 1, now + 3s, now);
    core.submit(
        { .id = 1, .service = "app", .priorityClass = {}, .caller = "c", .deadline = now + 9s, .key = {} },
        now);
    std::vector<Action> actions;
    core.takeActions(actions);
    const AttemptId attempt = std::get<Dispatch>(actions.at(0)).attempt;
    now += 3s; // The process was paused.
    CHECK_FALSE(core.beginSending(attempt, now));
    core.onAttemptNotSent(attempt, now);
    CHECK(core.counters().backends.at("b1").failed == 0);
    core.setCredits("b1", 1, now + 3s, now);
    actions.clear();
    core.takeActions(actions);
    REQUIRE(actions.size() == 1);
    CHECK(core.beginSending(std::get<Dispatch>(actions[0]).attempt, now));
}

TEST_CASE("The slot of a closed connection stays taken while the request may still run")
{
    Utils::TimePoint now = Utils::TimePoint {} + 1h;
    RequestCore core({ .service = "app", .domain = "a", .region = "north" });
    core.setPolicy(policy(), now);
    core.setBackends(threeBackends(false), now);
    const auto submit = [&](RequestId id) {
        core.submit({ .id = id,
                        .service = "app",
                        .priorityClass = {},
                        .caller = "c",
                        .deadline = now + 5s,
                        .key = {} },
            now);
        std::vector<Action> actions;
        core.takeActions(actions);
        auto dispatch = std::get<Dispatch>(actions.back());
        core.beginSending(dispatch.attempt, now);
        return dispatch;
    };
    const Dispatch first = submit(1);
    now += 100ms;
    core.onAttemptCompleted(first.attempt, 200, now);
    const Dispatch second = submit(2);
    core.cancel(2, now);
    core.onAttemptBroken(second.attempt, now);
    CHECK(core.counters().backends.at(second.backend).running == 1);
    REQUIRE(core.nextWakeup() == now + 100ms);
    core.tick(now + 100ms);
    CHECK(core.counters().backends.at(second.backend).running == 0);
}
