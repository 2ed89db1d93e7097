#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Telemetry {

/*!
    Counters, gauges and quantiles of one process, written as Prometheus text.

    Quantiles are estimated per process by Boost.Accumulators (P-square) and must not be averaged over
    processes; figures for several processes come from BurnSamples. Safe for threads: metrics are split
    into shards by name and labels, each under its own lock.
*/
class Metrics {
public:
    Metrics();
    ~Metrics();

    /*!
        Raises a counter.
        \param name Prometheus name, ending in "_total".
        \param labels labels as in Prometheus text without braces, for example "class=\"urgent\"".
        \param amount by how much.
    */
    void add(std::string_view name, std::string_view labels = {}, double amount = 1);

    /*!
        Sets a gauge.
        \param name Prometheus name.
        \param labels labels as for add().
        \param value the new value.
    */
    void set(std::string_view name, std::string_view labels, double value);

    /*!
        Adds a sample to a summary with the quantiles 0.5, 0.9 and 0.99.
        \param name Prometheus name, with its unit.
        \param labels labels as for add().
        \param value the sample.
    */
    void observe(std::string_view name, std::string_view labels, double value);

    /*! \return all metrics as Prometheus text, ordered by name. */
    std::string toPrometheus() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

/*!
    A label for Metrics with its value escaped.
    \param name name of the label.
    \param value any text.
    \return name="value".
*/
std::string label(std::string_view name, std::string_view value);

} // namespace Telemetry
