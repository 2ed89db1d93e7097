#include "metrics.h"

#include "utils/sharded.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <sstream>
#include <tuple>
#include <vector>

namespace Telemetry {

namespace {

namespace Accumulators = boost::accumulators;

constexpr std::size_t shardCount = 16;
constexpr std::array<double, 3> quantileProbabilities { 0.5, 0.9, 0.99 };

// P-square needs five samples for its first estimate; with fewer, quantiles are exported as NaN.
constexpr std::size_t minQuantileSamples = 5;

using TotalAccumulator = Accumulators::accumulator_set<double,
    Accumulators::stats<Accumulators::tag::count, Accumulators::tag::sum>>;
using QuantileAccumulator
    = Accumulators::accumulator_set<double, Accumulators::stats<Accumulators::tag::p_square_quantile>>;

struct QuantileSummary {
    TotalAccumulator total;
    std::vector<QuantileAccumulator> quantiles; // In the order of quantileProbabilities.

    void add(double value)
    {
        if (quantiles.empty()) {
            for (const double probability : quantileProbabilities)
                quantiles.emplace_back(Accumulators::quantile_probability = probability);
        }
        total(value);
        for (QuantileAccumulator& quantile : quantiles)
            quantile(value);
    }
};

enum class MetricKind {
    Counter,
    Gauge,
    Summary,
};

struct Metric {
    MetricKind kind = MetricKind::Counter;
    double value = 0;
    QuantileSummary summary;
};

struct MetricKey {
    std::string name;
    std::string labels;

    bool operator<(const MetricKey& other) const
    {
        return std::tie(name, labels) < std::tie(other.name, other.labels);
    }
};

using MetricMap = std::map<MetricKey, Metric>;

constexpr std::array<const char*, 3> kindNames { "counter", "gauge", "summary" };

void writeSample(std::ostream& out, const std::string& name, const std::string& labels, double value)
{
    out << name;
    if (!labels.empty())
        out << '{' << labels << '}';
    out << ' ';
    if (std::isnan(value))
        out << "NaN\n";
    else
        out << value << '\n';
}

void writeSummary(std::ostream& out, const MetricKey& name, const QuantileSummary& summary)
{
    const std::string separator = name.labels.empty() ? "" : ",";
    const std::size_t count = Accumulators::count(summary.total);
    for (std::size_t i = 0; i < quantileProbabilities.size(); ++i) {
        std::ostringstream labels;
        labels << name.labels << separator << "quantile=\"" << quantileProbabilities.at(i) << '"';
        const double estimate = count < minQuantileSamples
            ? std::numeric_limits<double>::quiet_NaN()
            : Accumulators::p_square_quantile(summary.quantiles[i]);
        writeSample(out, name.name, labels.str(), estimate);
    }
    writeSample(out, name.name + "_sum", name.labels, Accumulators::sum(summary.total));
    writeSample(out, name.name + "_count", name.labels, static_cast<double>(count));
}

} // namespace

struct Metrics::Private {
    template <typename Function>
    void update(std::string_view name, std::string_view labels, MetricKind kind, Function&& function)
    {
        const std::string key = std::string(name) + std::string(labels);
        shards.withShard(key, [&](MetricMap& metrics) {
            Metric& metric = metrics[{ std::string(name), std::string(labels) }];
            metric.kind = kind;
            function(metric);
        });
    }

    Utils::Sharded<MetricMap> shards { shardCount };
};

Metrics::Metrics()
    : d_(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, std::string_view labels, double amount)
{
    d_->update(name, labels, MetricKind::Counter, [&](Metric& metric) { metric.value += amount; });
}

void Metrics::set(std::string_view name, std::string_view labels, double value)
{
    d_->update(name, labels, MetricKind::Gauge, [&](Metric& metric) { metric.value = value; });
}

void Metrics::observe(std::string_view name, std::string_view labels, double value)
{
    d_->update(name, labels, MetricKind::Summary, [&](Metric& metric) { metric.summary.add(value); });
}

std::string Metrics::toPrometheus() const
{
    MetricMap allMetrics;
    d_->shards.forEachShard(
        [&](const MetricMap& metrics) { allMetrics.insert(metrics.begin(), metrics.end()); });
    std::ostringstream out;
    out.precision(15);
    std::string lastName;
    for (const auto& [name, metric] : allMetrics) {
        if (name.name != lastName)
            out << "# TYPE " << name.name << ' ' << kindNames.at(static_cast<std::size_t>(metric.kind))
                << '\n';
        lastName = name.name;
        if (metric.kind == MetricKind::Summary)
            writeSummary(out, name, metric.summary);
        else
            writeSample(out, name.name, name.labels, metric.value);
    }
    return out.str();
}

std::string label(std::string_view name, std::string_view value)
{
    std::string text = std::string(name) + "=\"";
    for (const char character : value) {
        if (character == '"' || character == '\\')
            text += '\\';
        if (character == '\n')
            text += "\\n";
        else
            text += character;
    }
    return text + '"';
}

} // namespace Telemetry
