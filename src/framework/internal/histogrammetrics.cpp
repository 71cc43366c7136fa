#include "framework/internal/histogrammetrics.h"

#include <sstream>
#include <vector>

namespace lavendertally::framework {

namespace {

const std::vector<double> &bucketBounds()
{
    static const std::vector<double> bounds = {0,    1,    2,    5,    10,    20,   36,
                                               50,   100,  200,  350,  500,   710,  1000,
                                               1500, 2000, 3000, 5000, 10000, 60000};
    return bounds;
}

std::string escape(const std::string &value)
{
    std::string result;
    for (const char character : value) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            result += '\\';
        }
        result += character;
    }
    return result;
}

std::string labelText(std::initializer_list<MetricLabel> labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        if (!text.empty()) {
            text += ',';
        }
        text.append(name).append("=\"").append(escape(value)).append("\"");
    }
    return text;
}

template <typename Family>
auto &seriesValue(Family &family, std::string_view name, std::initializer_list<MetricLabel> labels)
{
    auto series = family.find(name);
    if (series == family.end()) {
        series = family.emplace(std::string(name), typename Family::mapped_type{}).first;
    }
    return series->second[labelText(labels)];
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

template <typename Family>
void writeScalars(std::ostream &stream, const Family &family, const char *type)
{
    for (const auto &[name, series] : family) {
        stream << "# TYPE " << name << ' ' << type << '\n';
        for (const auto &[labels, value] : series) {
            stream << name << braced(labels) << ' ' << value << '\n';
        }
    }
}

template <typename Latency>
void writeLatency(std::ostream &stream, const std::string &name, const std::string &labels,
                  const Latency &latency)
{
    const std::string prefix = labels.empty() ? std::string() : labels + ",";
    std::int64_t cumulative = 0;
    for (const auto &bucket : boost::histogram::indexed(latency.histogram)) {
        cumulative += static_cast<std::int64_t>(*bucket);
        stream << name << "_bucket{" << prefix << "le=\"" << bucket.bin().upper() << "\"} "
               << cumulative << '\n';
    }
    cumulative += static_cast<std::int64_t>(
        latency.histogram.at(static_cast<int>(latency.histogram.axis().size())));
    stream << name << "_bucket{" << prefix << "le=\"+Inf\"} " << cumulative << '\n'
           << name << "_sum" << braced(labels) << ' ' << latency.sum << '\n'
           << name << "_count" << braced(labels) << ' ' << cumulative << '\n';
}

} // namespace

HistogramMetrics::Latency::Latency() : histogram(std::make_tuple(Axis(bucketBounds()))) { }

void HistogramMetrics::increment(std::string_view name, std::initializer_list<MetricLabel> labels,
                                 std::int64_t amount)
{
    seriesValue(m_counters, name, labels) += amount;
}

void HistogramMetrics::setGauge(std::string_view name, std::initializer_list<MetricLabel> labels,
                                std::int64_t value)
{
    seriesValue(m_gauges, name, labels) = value;
}

void HistogramMetrics::observe(std::string_view name, std::initializer_list<MetricLabel> labels,
                               Milliseconds value)
{
    Latency &latency = seriesValue(m_latencies, name, labels);
    latency.histogram(static_cast<double>(value.value()));
    latency.sum += value.value();
}

std::string HistogramMetrics::prometheusText() const
{
    std::ostringstream stream;
    writeScalars(stream, m_counters, "counter");
    writeScalars(stream, m_gauges, "gauge");
    for (const auto &[name, series] : m_latencies) {
        stream << "# TYPE " << name << " histogram\n";
        for (const auto &[labels, latency] : series) {
            writeLatency(stream, name, labels, latency);
        }
    }
    return stream.str();
}

} // namespace lavendertally::framework
