#pragma once

#include "bench/internal/arrivals.h"
#include "bench/internal/scenario.h"
#include "bench/internal/simulation.h"
#include "bench/internal/site.h"
#include "bench/internal/tally.h"
#include "bench/internal/window.h"
#include "configuration/types/priorityclass.h"

#include <cstddef>
#include <map>
#include <vector>

namespace lavendertally::bench {

/// Figures of one run.
struct Summary
{
    Tally all;
    std::map<configuration::PriorityClass, Tally> byClass;
    std::map<framework::PipelineId, Tally> byPipeline;
    /// Only requests that arrived during the disturbance.
    std::map<configuration::PriorityClass, Tally> disturbedByClass;
    std::map<framework::PipelineId, Tally> disturbedByPipeline;
    /// Requests that arrived later than the time allowed for recovery.
    Tally recovered;
    std::vector<Window> windows;
    /// Median and 99th percentile of the latency of answers, by class.
    std::map<configuration::PriorityClass, framework::Milliseconds> medianLatency;
    std::map<configuration::PriorityClass, framework::Milliseconds> highLatency;
    /// Work of the busiest service for answers in time during the disturbance, as a part of what
    /// it can do.
    double goodput = 0.0;
    double retryRatio = 0.0;
    /// Backend server time for each answer in time, by service.
    std::map<framework::ServiceId, double> costByStage;
    double costPerAnswer = 0.0;
    /// Part of the backend server time that went into no answer in time.
    double wasted = 0.0;
    std::uint32_t coldOverloads = 0;
    std::optional<framework::Milliseconds> zoneOutTime;
    std::optional<framework::Milliseconds> zoneInTime;

    /// \return lowest attainment of any ten seconds
    double worstWindow() const;
};

Summary summarise(const Site &site, const Scenario &scenario, const std::vector<Arrival> &arrivals,
                  const RunResult &run);

} // namespace lavendertally::bench
