#pragma once

#include "framework/imetrics.h"

#include <boost/histogram.hpp>

#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace lavendertally::framework {

/// Metrics with latency histograms on Boost.Histogram.
class HistogramMetrics final : public IMetrics
{
public:
    void increment(std::string_view name, std::initializer_list<MetricLabel> labels,
                   std::int64_t amount) override;
    void setGauge(std::string_view name, std::initializer_list<MetricLabel> labels,
                  std::int64_t value) override;
    void observe(std::string_view name, std::initializer_list<MetricLabel> labels,
                 Milliseconds value) override;
    std::string prometheusText() const override;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    struct Latency
    {
        Latency();

        Histogram histogram;
        std::int64_t sum = 0;
    };

    /// Values by label text, for one metric.
    template <typename Value>
    using Series = std::map<std::string, Value, std::less<>>;
    template <typename Value>
    using Family = std::map<std::string, Series<Value>, std::less<>>;

    Family<std::int64_t> m_counters;
    Family<std::int64_t> m_gauges;
    Family<Latency> m_latencies;
};

} // namespace lavendertally::framework
