#include "bench/internal/arrivals.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lavendertally::bench {

namespace {

/// A fifth of the time traffic is higher, in bursts of about a second.
constexpr double BurstFactor = 1.4;
constexpr double QuietFactor = 0.9;
constexpr double BurstMeanMs = 1000.0;
constexpr double QuietMeanMs = 4000.0;
/// Service times are Erlang distributed; three phases vary by 58% of the mean.
constexpr double Phases = 3.0;
constexpr std::uint64_t PrefixCount = 200;

/// Draws one request at a time.
class Recorder
{
public:
    Recorder(const Site &site, std::uint64_t seed) : m_site(site), m_engine(seed)
    {
        for (const Workload &workload : site.workloads) {
            m_workloadWeights.push_back(workload.weight);
        }
        for (const auto &[team, weight] : site.teamWeights) {
            m_teams.push_back(team);
            m_teamWeights.push_back(weight);
        }
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1.0 / mean)(m_engine);
    }

    Arrival draw(framework::TimePoint time)
    {
        Arrival arrival;
        arrival.time = time;
        arrival.workload = pick(m_workloadWeights);
        arrival.team = m_teams[pick(m_teamWeights)];
        arrival.entry = static_cast<std::uint32_t>(m_engine() % m_site.entries);
        const Workload &workload = m_site.workloads[arrival.workload];
        arrival.prefixHash = workload.sharesPrefixes ? m_engine() % PrefixCount + 1 : 0;
        for (const framework::Milliseconds mean : workload.stageTimes) {
            const double scale = static_cast<double>(mean.value()) / Phases;
            const double drawn = std::gamma_distribution<double>(Phases, scale)(m_engine);
            arrival.stageTimes.emplace_back(std::max<std::int64_t>(1, std::llround(drawn)));
        }
        return arrival;
    }

private:
    std::size_t pick(const std::vector<double> &weights)
    {
        return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_engine);
    }

    const Site &m_site;
    std::mt19937_64 m_engine;
    std::vector<double> m_workloadWeights;
    std::vector<framework::TeamId> m_teams;
    std::vector<double> m_teamWeights;
};

} // namespace

std::vector<Arrival> recordArrivals(const Site &site, std::uint64_t seed,
                                    framework::Milliseconds length,
                                    const std::function<double(framework::Milliseconds)> &load)
{
    constexpr double SecondMs = 1000.0;
    Recorder recorder(site, seed);
    std::vector<Arrival> arrivals;
    bool burst = false;
    double phaseEnd = recorder.exponential(QuietMeanMs);
    double time = 0.0;
    while (time < static_cast<double>(length.value())) {
        const framework::Milliseconds since(std::llround(time));
        const double factor = burst ? BurstFactor : QuietFactor;
        const double perSecond = site.capacity() * load(since) * factor;
        const double next = time + recorder.exponential(SecondMs / perSecond);
        if (next > phaseEnd) {
            time = phaseEnd;
            burst = !burst;
            phaseEnd += recorder.exponential(burst ? BurstMeanMs : QuietMeanMs);
            continue;
        }
        time = next;
        arrivals.push_back(recorder.draw(framework::TimePoint(std::llround(time))));
    }
    return arrivals;
}

} // namespace lavendertally::bench
