#pragma once

#include "framework/types/milliseconds.h"
#include "framework/types/timepoint.h"
#include "routing/internal/outputestimator.h"
#include "routing/internal/promptdemand.h"

#include <cstdint>
#include <map>

namespace lavendertally::routing {

class ServerWork;
struct RequestWork;

/// What was learned of one service as a whole: averages that stand for a server of which there is
/// no recent report, and to which the speed of each server is compared.
class ServiceWork
{
public:
    /// \param readTokens prompt tokens that the server has to read
    void callStarted(const RequestWork &work, double readTokens);
    /// \param server state after the report
    void loadReported(const ServerWork &server);
    /// \param readTokens prompt tokens that were read
    /// \param taken time to the first event, less what was spent on the prompts before it
    /// \return the time divided by what the service takes for it on average
    double observeRead(double readTokens, double taken);
    /// \param perToken time for one output token
    /// \return the same ratio
    double observeWrite(double perToken);
    /// \return the same ratio for a whole call of a plain service on \p route
    double observeCall(const framework::RouteId &route, double taken);

    double readMsPerToken() const { return m_readMs; }
    /// \return time from which reading begins to the first event, for a prompt without tokens
    double firstEventMs() const { return m_firstEventMs; }
    double writeMsPerToken() const { return m_writeMs; }
    double meanReadTokens() const { return m_meanReadTokens; }
    double meanOtherRunning() const { return m_meanOtherRunning; }
    double meanOtherWaiting() const { return m_meanOtherWaiting; }
    /// \return mean number of waiting calls, where those of a server far behind count in part only:
    /// it measures how much a prompt delays others, which those behind many others hardly feel
    double meanQueue() const { return m_meanQueue; }
    /// \return share of the streams whose longest tolerated pause is shorter than \p pauseMs
    double shareOfBrokenStreams(double pauseMs) const;

    OutputEstimator &outputs() { return m_outputs; }
    const OutputEstimator &outputs() const { return m_outputs; }
    PromptDemand &prompts() { return m_prompts; }
    const PromptDemand &prompts() const { return m_prompts; }

private:
    /// Regression of the time to the first event over the tokens that were read.
    struct Moments
    {
        double samples = 0.0;
        double tokens = 0.0;
        double taken = 0.0;
        double variance = 0.0;
        double covariance = 0.0;
    };

    double m_readMs = 0.01;
    double m_firstEventMs = 30.0;
    double m_writeMs = 4.0;
    std::uint32_t m_writes = 0;
    Moments m_reads;
    double m_meanReadTokens = 2000.0;
    std::uint32_t m_calls = 0;
    double m_meanOtherRunning = 0.0;
    double m_meanOtherWaiting = 0.0;
    double m_meanQueue = 0.0;
    std::uint32_t m_reports = 0;
    /// Share of the streams by the longest pause that they tolerate.
    std::map<framework::Milliseconds, double> m_gaps;
    struct CallTime
    {
        double logMean = 0.0;
        std::uint32_t samples = 0;
    };
    std::map<framework::RouteId, CallTime> m_callTimes;
    OutputEstimator m_outputs;
    PromptDemand m_prompts;
};

} // namespace lavendertally::routing
