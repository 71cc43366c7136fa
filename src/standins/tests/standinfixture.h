#pragma once

#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/types/httprequest.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::standins {

/// Calls of a test to a stand-in on the same loop.
class StandInFixture : public testing::Test
{
protected:
    static constexpr framework::Milliseconds ShortTimeout{150};
    static constexpr framework::Milliseconds LongTimeout{5000};

    /// Begins a call. Its response is at responses()[index] once it has ended.
    /// \param body empty for a GET
    /// \return index of the call
    std::size_t begin(const framework::Endpoint &endpoint, const std::string &target,
                      const nlohmann::json &body = nullptr,
                      framework::Milliseconds timeout = LongTimeout)
    {
        http::HttpRequest request;
        request.endpoint = endpoint;
        request.method = body.is_null() ? http::HttpMethod::Get : http::HttpMethod::Post;
        request.target = target;
        request.body = body.is_null() ? "" : body.dump();
        request.timeout = timeout;
        const std::size_t index = m_calls.size();
        m_responses.emplace_back();
        m_calls.push_back(m_client->fetch(request, [this, index](http::HttpResponse response) {
            m_responses[index] = std::move(response);
            m_ended.push_back(index);
            m_loop->stop();
        }));
        return index;
    }

    /// Runs until that many calls have ended since the start of the test.
    void waitForEnds(std::size_t count)
    {
        bool late = false;
        const auto guard = m_loop->callAfter(framework::Milliseconds(20000), [&] {
            late = true;
            m_loop->stop();
        });
        while (m_ended.size() < count && !late) {
            m_loop->run();
        }
        ASSERT_FALSE(late);
    }

    /// Makes one call and waits for its end.
    http::HttpResponse call(const framework::Endpoint &endpoint, const std::string &target,
                            const nlohmann::json &body = nullptr,
                            framework::Milliseconds timeout = LongTimeout)
    {
        const std::size_t ends = m_ended.size();
        const std::size_t index = begin(endpoint, target, body, timeout);
        waitForEnds(ends + 1);
        return m_responses[index];
    }

    nlohmann::json stateOf(const framework::Endpoint &endpoint)
    {
        return nlohmann::json::parse(call(endpoint, "/v1/state").body, nullptr, false);
    }

    void hangUp(std::size_t index) { m_calls[index].reset(); }

    std::unique_ptr<framework::IEventLoop> m_loop = framework::FrameworkModule::makeEventLoop();
    std::unique_ptr<http::IHttpClient> m_client = http::HttpModule::makeClient(*m_loop);
    std::deque<http::HttpResponse> m_responses;
    /// Indexes of the calls that have ended, in order.
    std::vector<std::size_t> m_ended;

private:
    std::vector<std::unique_ptr<http::IHttpCall>> m_calls;
};

} // namespace lavendertally::standins
