#pragma once

#include "framework/types/milliseconds.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace lavendertally::framework {

/// One label of a metric.
using MetricLabel = std::pair<std::string_view, std::string>;

/// Counters, gauges and latency histograms of one process.
class IMetrics
{
public:
    virtual ~IMetrics() = default;

    virtual void increment(std::string_view name, std::initializer_list<MetricLabel> labels,
                           std::int64_t amount = 1) = 0;
    virtual void setGauge(std::string_view name, std::initializer_list<MetricLabel> labels,
                          std::int64_t value) = 0;
    virtual void observe(std::string_view name, std::initializer_list<MetricLabel> labels,
                         Milliseconds value) = 0;

    /// \return all metrics in the Prometheus text format, version 0.0.4
    virtual std::string prometheusText() const = 0;
};

} // namespace lavendertally::framework
