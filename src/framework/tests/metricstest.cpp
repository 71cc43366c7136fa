#include "framework/frameworkmodule.h"
#include "framework/imetrics.h"

#include <gtest/gtest.h>

using namespace lavendertally::framework;

TEST(Metrics, TextShowsCountersAndCumulativeBuckets)
{
    const auto metrics = FrameworkModule::makeMetrics();
    metrics->increment("requests_total", {{"team", "a\"b"}});
    metrics->observe("latency_ms", {{"stage", "encode"}}, Milliseconds(3));
    metrics->observe("latency_ms", {{"stage", "encode"}}, Milliseconds(70000));

    const std::string text = metrics->prometheusText();

    EXPECT_NE(text.find("requests_total{team=\"a\\\"b\"} 1"), std::string::npos) << text;
    EXPECT_NE(text.find("latency_ms_bucket{stage=\"encode\",le=\"5\"} 1"), std::string::npos)
        << text;
    EXPECT_NE(text.find("latency_ms_bucket{stage=\"encode\",le=\"+Inf\"} 2"), std::string::npos)
        << text;
    EXPECT_NE(text.find("latency_ms_count{stage=\"encode\"} 2"), std::string::npos) << text;
}
