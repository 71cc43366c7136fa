#include "platform/internal/storeclient.h"
#include "framework/asyncerror.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/itimer.h"
#include "framework/testing/nulllogger.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/tests/scriptedserver.h"
#include "platform/types/storeerror.h"
#include "protocol/types/topicrecord.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::platform;

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};
constexpr framework::Milliseconds PollInterval{2};

std::string answer(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

const std::string Written = R"({"offset":17,"endOffset":18})";
const std::string Page = R"({"items":[],"hasMore":false,"endOffset":18})";
const std::string Records = std::string(7, '\0') + "\x12" + std::string(8, '\0');

enum class StoreCall
{
    Append,
    ReadNewest,
    ReadChanges,
};

/// An answer of the store that cannot be the one to a call.
struct ForeignAnswer
{
    std::string name;
    StoreCall call;
    std::string status;
    std::string body;
};

void PrintTo(const ForeignAnswer &answer, std::ostream *stream)
{
    *stream << answer.name;
}

} // namespace

class StoreClientTest : public testing::Test
{
protected:
    StoreClientTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_clock(framework::FrameworkModule::makeSystemClock()),
          m_metrics(framework::FrameworkModule::makeMetrics()),
          m_client(http::HttpModule::makeClient(*m_loop)),
          m_server(*m_loop,
                   [this](http::ScriptedServer::Connection &connection) {
                       http::ScriptedServer::send(connection, m_answers.at(m_calls++));
                   }),
          m_store(*m_client, m_server.endpoint(), *m_clock, m_logger, *m_metrics),
          m_guard(m_loop->callAfter(GenerousTimeout, [this] { m_loop->stop(); }))
    { }

    /// Makes a call and runs the loop until it has ended.
    /// \return its error, or nothing if it succeeded
    std::optional<StoreError> call(StoreCall name)
    {
        std::optional<StoreError> error;
        const auto done = [&](auto result) {
            if (!result) {
                error = framework::errorOf(std::move(result), StoreError::Malformed);
            }
            m_loop->stop();
        };
        const StoreClient::Call call = start(name, done);
        m_loop->run();
        return error;
    }
    /// Runs the loop until the client has closed all connections.
    void awaitClose()
    {
        std::unique_ptr<framework::ITimer> timer;
        const std::function<void()> poll = [&] {
            if (m_server.openConnections() == 0) {
                m_loop->stop();
            } else {
                timer = m_loop->callAfter(PollInterval, poll);
            }
        };
        timer = m_loop->callAfter(PollInterval, poll);
        m_loop->run();
    }

    framework::NullLogger m_logger;
    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<framework::IClock> m_clock;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<http::IHttpClient> m_client;
    /// What the store sends for each call, in order.
    std::vector<std::string> m_answers;
    std::size_t m_calls = 0;
    http::ScriptedServer m_server;
    StoreClient m_store;
    std::unique_ptr<framework::ITimer> m_guard;

private:
    template <typename Done>
    StoreClient::Call start(StoreCall name, const Done &done)
    {
        switch (name) {
        case StoreCall::ReadNewest:
            return m_store.readNewest("keyed.op", "", done);
        case StoreCall::ReadChanges:
            return m_store.readChanges("keyed.op", framework::LogOffset(17),
                                       framework::Milliseconds(0), done);
        case StoreCall::Append:
            break;
        }
        return m_store.append("keyed.daemons", protocol::TopicRecord(), done);
    }
};

// Guards against a write that is given up as not done although the store may have done it.
TEST_F(StoreClientTest, StatusIsInvalid_OutcomeOfAppendIsUnknown)
{
    m_answers = {answer("000 Unknown", "")};
    EXPECT_EQ(call(StoreCall::Append), StoreError::Unknown);
}

// Guards against a connection for each call.
TEST_F(StoreClientTest, AnswersBelongToTheirCalls_ConnectionIsReused)
{
    m_answers = {answer("200 OK", Written), answer("200 OK", Page), answer("200 OK", Records),
                 answer("200 OK", Written)};
    for (const StoreCall each :
         {StoreCall::Append, StoreCall::ReadNewest, StoreCall::ReadChanges, StoreCall::Append}) {
        EXPECT_EQ(call(each), std::nullopt);
    }
    EXPECT_EQ(m_server.connections(), 1U);
}

class ForeignStoreAnswerTest : public StoreClientTest,
                               public testing::WithParamInterface<ForeignAnswer>
{ };

// Guards against records of one topic that are taken for those of another: the answer to a call is
// still to come if another one has arrived in its place.
TEST_P(ForeignStoreAnswerTest, AnswerCannotBelongToTheCall_ItsConnectionIsClosed)
{
    m_answers = {answer(GetParam().status, GetParam().body)};
    EXPECT_NE(call(GetParam().call), std::nullopt);
    awaitClose();
    EXPECT_EQ(m_server.openConnections(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Calls, ForeignStoreAnswerTest,
    testing::Values(ForeignAnswer{"Append_Page", StoreCall::Append, "200 OK", Page},
                    ForeignAnswer{"Append_Records", StoreCall::Append, "200 OK", Records},
                    ForeignAnswer{"Append_Refusal", StoreCall::Append, "503 Busy", "{}"},
                    ForeignAnswer{"Append_Gone", StoreCall::Append, "410 Gone", "{}"},
                    ForeignAnswer{"Newest_Outdated", StoreCall::ReadNewest, "412 Failed", "{}"},
                    ForeignAnswer{"Changes_Outdated", StoreCall::ReadChanges, "412 Failed", "{}"},
                    ForeignAnswer{"Newest_Written", StoreCall::ReadNewest, "200 OK", Written},
                    ForeignAnswer{"Newest_Records", StoreCall::ReadNewest, "200 OK", Records},
                    ForeignAnswer{"Newest_Refusal", StoreCall::ReadNewest, "429 Busy", "{}"},
                    ForeignAnswer{"Changes_Written", StoreCall::ReadChanges, "200 OK", Written},
                    ForeignAnswer{"Changes_Page", StoreCall::ReadChanges, "200 OK", Page},
                    ForeignAnswer{"Changes_Refusal", StoreCall::ReadChanges, "503 Busy", "{}"}),
    [](const testing::TestParamInfo<ForeignAnswer> &info) { return info.param.name; });
