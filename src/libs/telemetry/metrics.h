#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Telemetry {

/*!
    Counters, gauges and quantile summaries of one process, exported in the Prometheus text format.

    Quantiles are estimated per process by Boost.Accumulators (P-square) and must not be averaged over
    processes; use BurnSamples for figures that cover several processes. Thread-safe: metrics are distributed
    over shards by name and labels, each with its own lock.
*/
class Metrics {
public:
    Metrics();
    ~Metrics();

    /*!
        Increments a counter.
        \param name Prometheus name, ending in "_total".
        \param labels in the Prometheus text format without braces, for example "class=\"urgent\"".
    */
    void add(std::string_view name, std::string_view labels = {}, double amount = 1);

    /*! Sets the gauge \a name, with \a labels as for add(). */
    void set(std::string_view name, std::string_view labels, double value);

    /*!
        Adds a sample to a summary with the quantiles 0.5, 0.9 and 0.99.
        \param name Prometheus name, with its unit.
        \param labels as for add().
    */
    void observe(std::string_view name, std::string_view labels, double value);

    /*! Returns all metrics in the Prometheus text format, sorted by name. */
    std::string toPrometheus() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

/*! Returns a label for Metrics in the form name="value", with the value escaped. */
std::string label(std::string_view name, std::string_view value);

} // namespace Telemetry
