#pragma once

#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpexchange.h"
#include "http/ihttpserver.h"
#include "http/types/httprequesthead.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lavendertally::http {

/// Server with low limits for clients that send bytes as they are.
class RawServerTest : public testing::Test
{
protected:
    static constexpr framework::Milliseconds GenerousTimeout{10000};
    static constexpr framework::Milliseconds PollInterval{2};

    RawServerTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_server(HttpModule::makeServer(*m_loop, limits()))
    {
        m_endpoint = m_server->listen({"127.0.0.1", 0}).value();
        m_server->setHandler([this](const std::shared_ptr<IHttpExchange> &exchange) {
            m_targets.push_back(exchange->head().target);
            m_bodies.push_back(exchange->body());
            exchange->reply(200, "text/plain", "ok");
        });
    }

    static HttpLimits limits()
    {
        HttpLimits limits;
        limits.maxBody = framework::Bytes(1000);
        limits.maxHeaders = framework::Bytes(500);
        limits.requestTimeout = framework::Milliseconds(80);
        limits.idleTimeout = framework::Milliseconds(80);
        return limits;
    }

    /// Runs the loop until \p condition holds.
    bool runUntil(const std::function<bool()> &condition)
    {
        bool timedOut = false;
        const auto guard = m_loop->callAfter(GenerousTimeout, [&] {
            timedOut = true;
            m_loop->stop();
        });
        std::function<void()> poll = [&] {
            if (condition()) {
                m_loop->stop();
                return;
            }
            m_poll = m_loop->callAfter(PollInterval, poll);
        };
        m_poll = m_loop->callAfter(PollInterval, poll);
        m_loop->run();
        return !timedOut;
    }

    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<IHttpServer> m_server;
    std::unique_ptr<framework::ITimer> m_poll;
    framework::Endpoint m_endpoint;
    std::vector<std::string> m_targets;
    std::vector<std::string> m_bodies;
};

} // namespace lavendertally::http
