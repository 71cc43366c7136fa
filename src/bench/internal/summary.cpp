#include "bench/internal/summary.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lavendertally::bench {

namespace {

using framework::Milliseconds;

constexpr Milliseconds WindowLength{10000};
constexpr Milliseconds RecoveryTime{5000};

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Latencies = boost::histogram::histogram<std::tuple<Axis>>;

Latencies makeLatencies()
{
    constexpr int Bins = 200;
    constexpr double Lowest = 1.0;
    constexpr double Highest = 100000.0;
    return Latencies(std::make_tuple(Axis(Bins, Lowest, Highest)));
}

Milliseconds quantile(const Latencies &latencies, double part)
{
    const double total = boost::histogram::algorithm::sum(latencies);
    double seen = 0.0;
    for (const auto &bin : boost::histogram::indexed(latencies)) {
        seen += *bin;
        if (seen >= part * total) {
            return Milliseconds(std::llround(bin.bin().upper()));
        }
    }
    return {};
}

/// Sums up outcomes one after another.
class Summariser
{
public:
    Summariser(const Site &site, const Scenario &scenario)
        : m_site(site), m_scenario(scenario), m_busiest(site.busiestService())
    {
        for (auto start = scenario.measured.start; start < scenario.measured.end;
             start = start + WindowLength) {
            m_summary.windows.push_back({.start = start, .tally = {}});
        }
    }

    void add(const Arrival &arrival, const Outcome &outcome)
    {
        if (m_scenario.measured.contains(arrival.time)) {
            addTallies(arrival, outcome);
            addCost(outcome);
        }
        const bool inTime = outcome.ending == Ending::InTime;
        if (inTime && m_scenario.disturbance.contains(arrival.time + outcome.latency)) {
            const auto spent = outcome.spent.find(m_busiest);
            m_usefulWork += spent == outcome.spent.end() ? 0.0 : spent->second.value();
        }
    }

    Summary finish(const RunResult &run)
    {
        constexpr double Median = 0.5;
        constexpr double High = 0.99;
        for (const auto &[priority, latencies] : m_latencies) {
            m_summary.medianLatency[priority] = quantile(latencies, Median);
            m_summary.highLatency[priority] = quantile(latencies, High);
        }
        const Milliseconds length = m_scenario.disturbance.end - m_scenario.disturbance.start;
        const double places =
            m_site.workers.at(m_busiest) * m_site.configuration.services.at(m_busiest).concurrency;
        m_summary.goodput = m_usefulWork / (static_cast<double>(length.value()) * places);
        m_summary.retryRatio =
            static_cast<double>(run.retries) / std::max<double>(1.0, run.freshCalls);
        const double answers = std::max<double>(1.0, m_summary.all.inTime);
        for (auto &[service, cost] : m_summary.costByStage) {
            cost /= answers;
        }
        m_summary.costPerAnswer = m_spent / answers;
        m_summary.wasted = m_spent > 0.0 ? m_wasted / m_spent : 0.0;
        m_summary.coldOverloads = run.coldOverloads;
        m_summary.zoneOutTime = run.zoneOutTime;
        m_summary.zoneInTime = run.zoneInTime;
        return std::move(m_summary);
    }

private:
    void addTallies(const Arrival &arrival, const Outcome &outcome)
    {
        const Workload &workload = m_site.workloads[arrival.workload];
        const configuration::PriorityClass priority = m_site.pipeline(workload).priority;
        m_summary.all.add(outcome.ending);
        m_summary.byClass[priority].add(outcome.ending);
        m_summary.byPipeline[workload.pipeline].add(outcome.ending);
        if (m_scenario.disturbance.contains(arrival.time)) {
            m_summary.disturbedByClass[priority].add(outcome.ending);
            m_summary.disturbedByPipeline[workload.pipeline].add(outcome.ending);
        }
        if (arrival.time >= m_scenario.disturbance.end + RecoveryTime) {
            m_summary.recovered.add(outcome.ending);
        }
        const Milliseconds since = arrival.time - m_scenario.measured.start;
        m_summary.windows[since.value() / WindowLength.value()].tally.add(outcome.ending);
        if (outcome.ending == Ending::InTime || outcome.ending == Ending::Late) {
            auto latencies = m_latencies.try_emplace(priority, makeLatencies()).first;
            latencies->second(static_cast<double>(outcome.latency.value()));
        }
    }

    void addCost(const Outcome &outcome)
    {
        double total = 0.0;
        for (const auto &[service, time] : outcome.spent) {
            m_summary.costByStage[service] += static_cast<double>(time.value());
            total += static_cast<double>(time.value());
        }
        const bool inTime = outcome.ending == Ending::InTime;
        m_spent += total;
        m_wasted += inTime ? static_cast<double>(outcome.lost.value()) : total;
    }

    const Site &m_site;
    const Scenario &m_scenario;
    Summary m_summary;
    std::map<configuration::PriorityClass, Latencies> m_latencies;
    framework::ServiceId m_busiest;
    double m_usefulWork = 0.0;
    double m_spent = 0.0;
    double m_wasted = 0.0;
};

} // namespace

void Tally::add(Ending ending)
{
    ++requests;
    inTime += ending == Ending::InTime ? 1 : 0;
    late += ending == Ending::Late ? 1 : 0;
    refused += ending == Ending::Refused ? 1 : 0;
    unknown += ending == Ending::Unknown ? 1 : 0;
}

double Tally::attainment() const
{
    return requests == 0 ? 1.0 : static_cast<double>(inTime) / static_cast<double>(requests);
}

double Summary::worstWindow() const
{
    double worst = 1.0;
    for (const Window &window : windows) {
        worst = std::min(worst, window.tally.attainment());
    }
    return worst;
}

Summary summarise(const Site &site, const Scenario &scenario, const std::vector<Arrival> &arrivals,
                  const RunResult &run)
{
    std::vector<Outcome> outcomes(arrivals.size());
    for (Outcome &unanswered : outcomes) {
        unanswered.ending = Ending::Late;
        unanswered.latency = scenario.measured.end - framework::TimePoint();
    }
    for (const Outcome &outcome : run.outcomes) {
        outcomes[outcome.arrival] = outcome;
    }
    Summariser summariser(site, scenario);
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        summariser.add(arrivals[index], outcomes[index]);
    }
    return summariser.finish(run);
}

} // namespace lavendertally::bench
