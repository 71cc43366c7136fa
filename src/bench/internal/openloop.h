#pragma once

#include "bench/internal/latencysamples.h"
#include "http/types/httprequest.h"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace lavendertally::framework {
class IEventLoop;
class ITimer;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpCall;
class IHttpClient;
} // namespace lavendertally::http

namespace lavendertally::bench {

/// Starts chains of HTTP calls at a fixed rate, whatever is under way, and measures each chain from
/// its first call to its last answer.
class OpenLoop
{
public:
    /// \param makeChain gives the calls of one chain, made one after the other
    OpenLoop(framework::IEventLoop &loop, http::IHttpClient &client,
             std::function<std::vector<http::HttpRequest>(std::size_t)> makeChain);
    ~OpenLoop();
    OpenLoop(const OpenLoop &) = delete;
    OpenLoop &operator=(const OpenLoop &) = delete;

    /// Runs \p count chains, one every \p interval, and returns after the last.
    void run(std::size_t count, framework::Milliseconds interval);

    const LatencySamples &latencies() const { return m_latencies; }
    std::size_t failures() const { return m_failures; }

private:
    struct Chain;

    void startNext();
    void callNext(const std::shared_ptr<Chain> &chain);
    void end(const std::shared_ptr<Chain> &chain, bool succeeded);

    framework::IEventLoop &m_loop;
    http::IHttpClient &m_client;
    std::function<std::vector<http::HttpRequest>(std::size_t)> m_makeChain;
    std::size_t m_count = 0;
    std::size_t m_started = 0;
    std::size_t m_ended = 0;
    framework::Milliseconds m_interval;
    std::chrono::steady_clock::time_point m_begin;
    LatencySamples m_latencies;
    std::size_t m_failures = 0;
    std::vector<std::shared_ptr<Chain>> m_chains;
    std::unique_ptr<framework::ITimer> m_timer;
};

} // namespace lavendertally::bench
