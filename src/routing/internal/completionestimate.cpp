#include "routing/internal/completionestimate.h"

#include "routing/internal/serverwork.h"
#include "routing/internal/servicework.h"
#include "routing/types/requestwork.h"

#include <algorithm>
#include <cmath>

namespace lavendertally::routing {

namespace {

/// Age that a report has when it arrives.
constexpr double ReportLagMs = 50.0;
/// Time in which the weight of a report falls to 1/e, against the average of the service: prompts
/// wait for some hundred milliseconds, answers run for one to four seconds.
constexpr double WaitingLifetimeMs = 6000.0;
constexpr double RunningLifetimeMs = 12000.0;
/// Prompt tokens that are read between two steps of the running requests.
constexpr double ChunkTokens = 1024.0;
/// Output tokens of one event; those with the most hold 13, the usual ones 8.
constexpr double TokensOfLargeEvent = 13.0;
/// Growth of a step's time by each running request: 0.02 ms of about 3 ms.
constexpr double StepGrowth = 0.0067;
/// Requests that a model server runs at once.
constexpr double Slots = 64.0;

/// Share of the time by which own calls are overdue that is expected to pass again: the newest sign
/// of a queue that no report has told of.
constexpr double OverdueWeight = 0.5;

struct OtherWork
{
    double waiting = 0.0;
    double running = 0.0;
};

/// \return calls of other daemons at \p server, its last report weighed by its age
OtherWork otherWork(const ServerWork &server, const ServiceWork &service, framework::TimePoint now)
{
    const double age = static_cast<double>(server.reportAge(now).value()) + ReportLagMs;
    const double waitingWeight = server.hasReport() ? std::exp(-age / WaitingLifetimeMs) : 0.0;
    const double runningWeight = server.hasReport() ? std::exp(-age / RunningLifetimeMs) : 0.0;
    OtherWork result;
    result.waiting =
        waitingWeight * server.otherWaiting() + (1.0 - waitingWeight) * service.meanOtherWaiting();
    result.running =
        runningWeight * server.otherRunning() + (1.0 - runningWeight) * service.meanOtherRunning();
    return result;
}

} // namespace

CompletionEstimate CompletionEstimate::make(const ServerWork &server, const ServiceWork &service,
                                            const RequestWork &work, double keptTokens,
                                            double writeTokens, framework::TimePoint now)
{
    const double readMs = service.readMsPerToken() * server.speed().readTime(now);
    const OtherWork others = otherWork(server, service, now);
    const double running = others.running + server.ownCalls();
    const double usualRunning = service.meanOtherRunning();
    const double stepMs = service.writeMsPerToken() * server.speed().writeTime(now)
        * (1.0 + StepGrowth * running) / (1.0 + StepGrowth * usualRunning);
    const double prompt = static_cast<double>(work.promptTokens.value());

    CompletionEstimate result;
    result.readTokens = std::max(prompt - keptTokens, 0.0);
    const double ahead = server.unreadTokens(now) + others.waiting * service.meanReadTokens();
    result.waitMs = ahead * readMs + OverdueWeight * server.overdueMs(now);
    if (running >= Slots) {
        result.waitMs += (running - Slots + 1.0) * writeTokens * stepMs / Slots;
    }
    const double ownReadMs = result.readTokens * readMs;
    result.firstEventMs =
        result.waitMs + ownReadMs + service.firstEventMs() * server.speed().writeTime(now);
    result.writeMs = writeTokens * stepMs;
    result.neighbourMs = running * ownReadMs;
    const double ownPart =
        work.parts.empty() ? prompt : static_cast<double>(work.parts.back().tokens.value());
    result.evictionMs = std::max(result.readTokens - ownPart, 0.0) * readMs;
    result.queueMs = service.meanQueue() * ownReadMs;
    const double pauseMs = TokensOfLargeEvent * (ChunkTokens * readMs + stepMs);
    // A prompt of less than an event's chunks makes the pause longer by no more than its own time.
    const double longestPause =
        std::min(pauseMs, TokensOfLargeEvent * stepMs + ownReadMs + result.waitMs);
    result.brokenStreams = running * service.shareOfBrokenStreams(longestPause);
    const auto ownGap = static_cast<double>(work.maxEventGap.value());
    if (ownGap > 0.0 && pauseMs > ownGap) {
        result.brokenStreams += 1.0;
    }
    return result;
}

} // namespace lavendertally::routing
