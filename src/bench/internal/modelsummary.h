#pragma once

#include "bench/internal/modelrequest.h"

#include <array>
#include <ostream>
#include <vector>

namespace lavendertally::bench {

class ModelSimulation;

/// Figures of one run of the work bench.
class ModelSummary
{
public:
    ModelSummary() = default;
    ModelSummary(const std::vector<ModelRequest> &requests, const ModelSimulation &simulation);

    double shareInTime() const { return m_inTime; }
    /// \return busiest server's time in steps in relation to the mean
    double busiestOverMean() const { return m_busiestOverMean; }
    double remoteShare() const { return m_remote; }
    /// \return tokens of shared prompt parts that were read
    double sharedTokensRead() const { return m_sharedTokensRead; }

    static void printHeader(std::ostream &out);
    void print(std::ostream &out, const char *name) const;

private:
    static constexpr std::size_t Kinds = 3;
    static constexpr std::size_t Quantiles = 3;

    double m_inTime = 0.0;
    std::array<double, Kinds> m_inTimeByKind{};
    std::array<double, Kinds> m_inTimeOfLarge{};
    std::array<double, Quantiles> m_firstEventMs{};
    double m_longPauses = 0.0;
    /// Share of the requests whose clients gave up before their prompts were read.
    double m_unanswered = 0.0;
    double m_busiestOverMean = 0.0;
    double m_sharedTokensRead = 0.0;
    double m_remote = 0.0;
};

} // namespace lavendertally::bench
