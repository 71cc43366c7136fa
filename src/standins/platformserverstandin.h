#pragma once

#include "standins/standinserver.h"
#include "standins/types/madepiece.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::standins {

/// Stand-in of a backend server on the users' platform: answers requests, streams events and makes
/// pieces of stages. It counts the runs of each request.
class PlatformServerStandIn final : public StandInServer
{
public:
    /// \param id name under which it registered
    PlatformServerStandIn(framework::IEventLoop &loop, std::string id);

    /// \return how often the request was run here
    std::size_t runs(const std::string &request) const;
    /// \return header fields of the newest request, as `name: value` lines
    const std::string &lastHeaders() const { return m_lastHeaders; }
    /// Refuses every request as not executed.
    void setFull(bool full) { m_full = full; }
    /// Streams break after this many events; zero lets them end.
    void setBreakAfter(std::uint64_t events) { m_breakAfter = events; }
    /// Crashes for \p downTime on each request whose prompt has the part \p part.
    void setDeadlyPart(std::string part, framework::Milliseconds downTime)
    {
        m_deadlyPart = std::move(part);
        m_downTime = downTime;
    }
    std::size_t freedResults() const { return m_freed; }
    const std::vector<MadePiece> &madePieces() const { return m_madePieces; }
    /// Time from a request to its answer; zero answers at once.
    void setWorkTime(framework::Milliseconds time) { m_workTime = time; }
    /// Fails each \p every-th request with status 500; zero fails none.
    void setFailing(std::uint64_t every) { m_failEvery = every; }
    /// Requests whose path begins with \p prefix take \p time, instead of the time for all.
    void setSlowPath(std::string prefix, framework::Milliseconds time)
    {
        m_slowPrefix = std::move(prefix);
        m_slowTime = time;
    }
    /// \return requests that were failed because of setFailing()
    std::size_t failures() const { return m_failures; }
    /// \return requests that have begun and are not answered
    std::size_t inFlight() const { return m_inFlight; }
    /// \return requests that have begun
    std::size_t allRuns() const { return m_runs.size(); }
    /// \param callback hears of the id and the team of each run
    void onRun(std::function<void(const std::string &, const std::string &)> callback)
    {
        m_onRun = std::move(callback);
    }
    /// Whole content of a stream.
    static std::string wholeStream();

private:
    static constexpr std::uint64_t EventsInAStream = 5;

    void handle(const ExchangePtr &exchange, FaultMode mode) override;
    void makePieces(const ExchangePtr &exchange);
    void freeResults(const ExchangePtr &exchange);
    void reportStorage(const ExchangePtr &exchange);
    void run(const ExchangePtr &exchange);
    void stream(const ExchangePtr &exchange, const std::string &request);

    void answer(const ExchangePtr &exchange, const std::string &request);

    std::string m_id;
    framework::Milliseconds m_workTime;
    std::function<void(const std::string &, const std::string &)> m_onRun;
    std::multiset<std::string> m_runs;
    std::string m_lastHeaders;
    bool m_full = false;
    std::uint64_t m_breakAfter = 0;
    std::string m_deadlyPart;
    framework::Milliseconds m_downTime;
    std::size_t m_freed = 0;
    std::uint64_t m_failEvery = 0;
    std::size_t m_failures = 0;
    std::string m_slowPrefix;
    framework::Milliseconds m_slowTime;
    std::size_t m_inFlight = 0;
    std::uint64_t m_nextResult = 0;
    std::vector<MadePiece> m_madePieces;
};

} // namespace lavendertally::standins
