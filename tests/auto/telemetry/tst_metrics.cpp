#include <telemetry/metrics.h>

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

namespace {

constexpr int threadCount = 4;
constexpr int samplesPerThread = 1000;

bool contains(const std::string& text, const std::string& expected)
{
    return text.find(expected) != std::string::npos;
}

} // namespace

TEST_CASE("Counters, gauges and quantiles are exported in the Prometheus text format")
{
    Telemetry::Metrics metrics;
    metrics.add("gq_requests_total", Telemetry::label("class", "a\"b"), 2);
    metrics.add("gq_requests_total", Telemetry::label("class", "a\"b"));
    metrics.set("gq_queue_length", {}, 7);
    for (int i = 1; i <= 1000; ++i)
        metrics.observe("gq_latency_ms", {}, i);
    metrics.observe("gq_rare_ms", {}, 1);
    const std::string text = metrics.toPrometheus();
    CHECK(contains(text, "# TYPE gq_requests_total counter\ngq_requests_total{class=\"a\\\"b\"} 3\n"));
    CHECK(contains(text, "# TYPE gq_queue_length gauge\ngq_queue_length 7\n"));
    CHECK(contains(text, "gq_latency_ms_sum 500500\ngq_latency_ms_count 1000\n"));
    CHECK(contains(text, "gq_rare_ms{quantile=\"0.99\"} NaN\n"));
    const std::size_t start = text.find("gq_latency_ms{quantile=\"0.9\"} ");
    REQUIRE(start != std::string::npos);
    CHECK(std::stod(text.substr(start + 30)) == Approx(900).epsilon(0.02));
}

TEST_CASE("Concurrent increments of several threads are all counted")
{
    Telemetry::Metrics metrics;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (int j = 0; j < samplesPerThread; ++j)
                metrics.add("gq_events_total", Telemetry::label("kind", std::to_string(j % 3)));
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    const std::string text = metrics.toPrometheus();
    CHECK(contains(text, "gq_events_total{kind=\"0\"} 1336\n"));
    CHECK(contains(text, "gq_events_total{kind=\"2\"} 1332\n"));
}
