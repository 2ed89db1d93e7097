#include <propertyparameters.h>
#include <telemetry/burncounter.h>
#include <telemetry/burnreport.h>
#include <telemetry/burntext.h>
#include <telemetry/latencyhistogram.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

namespace {

using namespace std::chrono_literals;

const bool parametersSet = Testing::setPropertyParameters("seed=609 max_success=200 max_size=80");

// Tolerance for the rounding of a latency that equals the bound of a bucket.
constexpr double roundingSlack = 1e-6;

Schema::PolicyDocument makePolicy()
{
    Schema::PolicyDocument policy;
    auto* service = policy.add_service();
    service->set_name("rounds");
    service->set_objective_ms(100);
    service->set_objective_percent(99);
    auto* objective = policy.add_objective();
    objective->set_name("bulk");
    objective->set_service("rounds");
    objective->set_priority_class("bulk");
    objective->set_latency_ms(1000);
    objective->set_percent(90);
    return policy;
}

Telemetry::BurnReport makeReport(const std::vector<Schema::BurnSamples>& samples)
{
    return Telemetry::makeBurnReport(samples);
}

} // namespace

TEST_CASE("Burn rate, budget and causes are computed from the counts of each window")
{
    Telemetry::BurnCounter counter;
    counter.setObjectives(makePolicy());
    const Utils::TimePoint start(24h);
    for (int i = 0; i < 80; ++i)
        counter.add({ "rounds", "urgent", 20, true, "" }, start);
    for (int i = 0; i < 12; ++i)
        counter.add({ "rounds", "urgent", 200, true, "queue" }, start);
    for (int i = 0; i < 8; ++i)
        counter.add({ "rounds", "urgent", 20, false, "backend-error" }, start);
    counter.add({ "rounds", "urgent", 150, true, "" }, start + 2h);
    counter.add({ "rounds", "bulk", 150, true, "" }, start + 2h);
    counter.add({ "unknown", "bulk", 150, true, "" }, start + 2h);
    const auto report = makeReport({ counter.samples(start + 2h) });
    REQUIRE(report.objectives.size() == 2);
    const Telemetry::ObjectiveBurn& burn = report.objectives[0];
    CHECK(burn.objective.empty());
    REQUIRE(burn.windows.size() == 3);
    CHECK(burn.windows[0].bad == 1);
    CHECK(burn.windows[0].burnRate == Approx(100));
    CHECK(burn.windows[1].good == 0);
    CHECK(burn.windows[2].good == 80);
    CHECK(burn.windows[2].bad == 21);
    CHECK(burn.windows[2].burnRate == Approx(21.0 / 101 / 0.01));
    CHECK(burn.remainingBudget == Approx(1 - 21.0 / 101 / 0.01));
    REQUIRE(burn.causes.size() == 3);
    CHECK(burn.causes[0].cause == "queue");
    CHECK(burn.causes[0].count == 12);
    CHECK(burn.causes[2].cause == "slow");
    CHECK(report.objectives[1].windows[0].good == 1);
    const auto laterReport = makeReport({ counter.samples(start + 9h) });
    CHECK(laterReport.objectives[0].windows[2].bad == 0);
    CHECK(laterReport.objectives[0].remainingBudget == 1);
}

TEST_CASE("Counts are retained while the objective is unchanged and dropped with it")
{
    Telemetry::BurnCounter counter;
    counter.setObjectives(makePolicy());
    const Utils::TimePoint now(24h);
    counter.add({ "rounds", "urgent", 500, true, "" }, now);
    auto policy = makePolicy();
    policy.clear_objective();
    counter.setObjectives(policy);
    CHECK(makeReport({ counter.samples(now) }).objectives[0].windows[0].bad == 1);
    policy.mutable_service(0)->set_objective_ms(50);
    counter.setObjectives(policy);
    CHECK(makeReport({ counter.samples(now) }).objectives[0].windows[0].bad == 0);
    policy.clear_service();
    counter.setObjectives(policy);
    CHECK(counter.samples(now).samples().empty());
}

// The merged counts of requests distributed over several processes must equal the counts of a single process,
// and quantiles of the merged buckets must be within relativeError of the exact quantiles.
TEST_CASE("Merged counts are exact, and merged quantiles are within the documented error")
{
    CHECK(rc::check([] {
        const auto processCount = *rc::gen::inRange<std::size_t>(1, 6);
        const auto latenciesUs
            = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(200, 5000000)));
        const Utils::TimePoint now(24h);
        std::vector<Telemetry::BurnCounter> counters(processCount);
        Telemetry::BurnCounter singleCounter;
        singleCounter.setObjectives(makePolicy());
        for (auto& counter : counters)
            counter.setObjectives(makePolicy());
        std::vector<double> latencies;
        latencies.reserve(latenciesUs.size());
        for (std::size_t i = 0; i < latenciesUs.size(); ++i) {
            latencies.push_back(latenciesUs[i] / 1000.0);
            counters[i * 7 % processCount].add({ "rounds", "urgent", latencies.back(), i % 3 != 0, "" }, now);
            singleCounter.add({ "rounds", "urgent", latencies.back(), i % 3 != 0, "" }, now);
        }
        std::vector<Schema::BurnSamples> samples;
        samples.reserve(processCount);
        for (const auto& counter : counters)
            samples.push_back(counter.samples(now));
        const auto merged = makeReport(samples).objectives[0];
        const auto single = makeReport({ singleCounter.samples(now) }).objectives[0];
        RC_ASSERT(merged.windows[2].good == single.windows[2].good);
        RC_ASSERT(merged.windows[2].bad == single.windows[2].bad);
        RC_ASSERT(merged.p99Ms == single.p99Ms);
        std::sort(latencies.begin(), latencies.end());
        for (const auto& [probability, estimate] :
            { std::pair(0.5, merged.medianMs), std::pair(0.99, merged.p99Ms) }) {
            const auto rank
                = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(latencies.size())));
            const double exact = latencies[rank - 1];
            const double maxRatio = 1 + Telemetry::LatencyHistogram::relativeError + roundingSlack;
            RC_ASSERT(estimate <= exact * maxRatio);
            RC_ASSERT(estimate >= exact / maxRatio);
        }
    }));
}

TEST_CASE("The report is converted to text, JSON and SVG")
{
    Telemetry::BurnCounter counter;
    counter.setObjectives(makePolicy());
    const Utils::TimePoint now(24h);
    counter.add({ "rounds", "urgent", 500, true, "a<b" }, now);
    const auto report = makeReport({ counter.samples(now), {} });
    const std::string text = Telemetry::burnToText(report);
    CHECK(text.find("99% in 100 ms") != std::string::npos);
    CHECK(text.find("5 min: 100.00  1 h: 100.00  6 h: 100.00") != std::string::npos);
    CHECK(text.find("from 2 processes") != std::string::npos);
    const std::string json = Telemetry::burnToJson(report);
    CHECK(json.find(R"("windows":[{"window_s":300,"good":0,"bad":1,)") != std::string::npos);
    CHECK(json.find(R"("causes":[{"cause":"a<b","count":1}])") != std::string::npos);
    const std::string svg = Telemetry::burnToSvg(report);
    CHECK(svg.starts_with("<svg"));
    CHECK(svg.find("100.00 (5 min)") != std::string::npos);
}
