#include "bench/internal/modelsummary.h"

#include "bench/internal/modelsimulation.h"

#include <algorithm>
#include <cmath>
#include <iomanip>

namespace lavendertally::bench {

namespace {

/// Requests of the first seconds fill empty servers and are not counted.
constexpr double WarmUpMs = 8000.0;

struct Share
{
    double part = 0.0;
    double all = 0.0;

    void add(bool counts)
    {
        all += 1.0;
        part += counts ? 1.0 : 0.0;
    }
    double value() const { return all > 0.0 ? part / all : 0.0; }
};

} // namespace

ModelSummary::ModelSummary(const std::vector<ModelRequest> &requests,
                           const ModelSimulation &simulation)
{
    constexpr std::array QuantileValues = {0.5, 0.95, 0.99};
    Share all;
    Share pauses;
    Share unanswered;
    Share remote;
    std::array<Share, Kinds> byKind;
    std::array<Share, Kinds> large;
    std::vector<double> firstEvents;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const ModelRequest &request = requests[index];
        const ModelOutcome &outcome = simulation.outcomes()[index];
        if (request.atMs < WarmUpMs) {
            continue;
        }
        const bool hasBegun = outcome.firstEventMs >= 0.0;
        const bool hasLongPause = outcome.longestPauseMs > request.maxPauseMs;
        const bool inTime =
            hasBegun && !hasLongPause && outcome.firstEventMs <= request.objectiveLeftMs;
        const auto kind = static_cast<std::size_t>(request.kind);
        all.add(inTime);
        byKind[kind].add(inTime);
        if (request.isLarge) {
            large[kind].add(inTime);
        }
        pauses.add(hasLongPause);
        unanswered.add(!hasBegun);
        remote.add(outcome.isRemote);
        firstEvents.push_back(hasBegun ? outcome.firstEventMs : HUGE_VAL);
    }
    m_inTime = all.value();
    m_longPauses = pauses.value();
    m_unanswered = unanswered.value();
    m_remote = remote.value();
    std::sort(firstEvents.begin(), firstEvents.end());
    for (std::size_t index = 0; index < Quantiles; ++index) {
        const double position = QuantileValues[index] * static_cast<double>(firstEvents.size());
        m_firstEventMs[index] = firstEvents[static_cast<std::size_t>(position)];
    }
    for (std::size_t kind = 0; kind < Kinds; ++kind) {
        m_inTimeByKind[kind] = byKind[kind].value();
        m_inTimeOfLarge[kind] = large[kind].value();
    }
    double busy = 0.0;
    double busiest = 0.0;
    double shared = 0.0;
    for (const ModelServer &server : simulation.servers()) {
        busy += server.busyMs();
        busiest = std::max(busiest, server.busyMs());
        shared += static_cast<double>(server.readSharedTokens());
    }
    m_busiestOverMean = busiest * static_cast<double>(simulation.servers().size()) / busy;
    m_sharedTokensRead = shared;
}

void ModelSummary::printHeader(std::ostream &out)
{
    out << "selector   in time |  urgent   short  medium | largest tenth: urg short   med |"
           " first event ms 50/95/99 | given up  pauses  busiest  shared read  other zones\n";
}

void ModelSummary::print(std::ostream &out, const char *name) const
{
    constexpr double Millions = 1e6;
    out << std::left << std::setw(9) << name << std::right << std::fixed << std::setprecision(4)
        << std::setw(9) << m_inTime << " |";
    for (const double share : m_inTimeByKind) {
        out << std::setw(8) << share;
    }
    out << " |        ";
    for (const double share : m_inTimeOfLarge) {
        out << std::setw(8) << share;
    }
    out << " |" << std::setprecision(0);
    for (const double time : m_firstEventMs) {
        out << std::setw(8) << time;
    }
    out << " |" << std::setprecision(4) << std::setw(9) << m_unanswered << std::setw(8)
        << m_longPauses << std::setprecision(2) << std::setw(9) << m_busiestOverMean
        << std::setw(12) << m_sharedTokensRead / Millions << "M" << std::setprecision(3)
        << std::setw(12) << m_remote << '\n'
        << std::defaultfloat << std::setprecision(6);
}

} // namespace lavendertally::bench
