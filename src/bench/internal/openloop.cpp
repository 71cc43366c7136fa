#include "bench/internal/openloop.h"

#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"

namespace lavendertally::bench {

namespace {

constexpr int HttpOk = 200;

using Clock = std::chrono::steady_clock;

std::int64_t microsSince(Clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start).count();
}

} // namespace

struct OpenLoop::Chain
{
    std::vector<http::HttpRequest> requests;
    std::size_t next = 0;
    Clock::time_point startedAt;
    std::unique_ptr<http::IHttpCall> call;
};

OpenLoop::OpenLoop(framework::IEventLoop &loop, http::IHttpClient &client,
                   std::function<std::vector<http::HttpRequest>(std::size_t)> makeChain)
    : m_loop(loop), m_client(client), m_makeChain(std::move(makeChain))
{ }

OpenLoop::~OpenLoop() = default;

void OpenLoop::run(std::size_t count, framework::Milliseconds interval)
{
    m_count = count;
    m_interval = interval;
    m_begin = Clock::now();
    m_timer = m_loop.callAfter(framework::Milliseconds(0), [this] { startNext(); });
    m_loop.run();
}

void OpenLoop::startNext()
{
    auto chain = std::make_shared<Chain>();
    chain->requests = m_makeChain(m_started);
    chain->startedAt = Clock::now();
    m_chains.push_back(chain);
    ++m_started;
    callNext(chain);
    if (m_started == m_count) {
        return;
    }
    // Counted from the beginning, so that late timers do not lower the rate.
    const auto due = m_interval * static_cast<std::int64_t>(m_started);
    const auto passed = framework::Milliseconds(microsSince(m_begin) / 1000);
    m_timer = m_loop.callAfter(due - passed, [this] { startNext(); });
}

void OpenLoop::callNext(const std::shared_ptr<Chain> &chain)
{
    const http::HttpRequest &request = chain->requests[chain->next];
    ++chain->next;
    const std::weak_ptr<Chain> weak = chain;
    chain->call = m_client.fetch(request, [this, weak](const http::HttpResponse &response) {
        const auto self = weak.lock();
        const bool succeeded = response.status == HttpOk;
        if (!succeeded || self->next == self->requests.size()) {
            end(self, succeeded);
            return;
        }
        callNext(self);
    });
}

void OpenLoop::end(const std::shared_ptr<Chain> &chain, bool succeeded)
{
    if (succeeded) {
        m_latencies.add(microsSince(chain->startedAt));
    } else {
        ++m_failures;
    }
    ++m_ended;
    if (m_ended == m_count) {
        m_loop.stop();
    }
}

} // namespace lavendertally::bench
