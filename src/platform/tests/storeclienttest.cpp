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

// Guards against a write that is given up as not done although the store may have done it.
TEST(StoreClientTest, StatusIsInvalid_OutcomeOfAppendIsUnknown)
{
    const auto loop = framework::FrameworkModule::makeEventLoop();
    const auto clock = framework::FrameworkModule::makeSystemClock();
    const auto metrics = framework::FrameworkModule::makeMetrics();
    const auto client = http::HttpModule::makeClient(*loop);
    framework::NullLogger logger;
    http::ScriptedServer server(*loop, [](auto &connection) {
        http::ScriptedServer::send(connection, "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n");
    });
    StoreClient store(*client, server.endpoint(), *clock, logger, *metrics);
    std::optional<StoreError> error;
    const auto call =
        store.append("keyed.daemons", protocol::TopicRecord(), [&](framework::Result<void> result) {
            error = framework::errorOf(std::move(result), StoreError::Malformed);
            loop->stop();
        });
    loop->run();
    EXPECT_EQ(error, StoreError::Unknown);
}

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};
constexpr framework::Milliseconds PollInterval{2};

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

const std::string Written = R"({"offset":17,"endOffset":18})";
const std::string Page = R"({"items":[],"hasMore":false,"endOffset":18})";
const std::string Records = std::string(7, '\0') + "\x12" + std::string(8, '\0');

} // namespace

class ForeignStoreAnswerTest : public testing::TestWithParam<ForeignAnswer>
{ };

// Guards against records of one topic that are taken for those of another: the answer to a call is
// still to come if another one has arrived in its place.
TEST_P(ForeignStoreAnswerTest, AnswerCannotBelongToTheCall_ItsConnectionIsClosed)
{
    const auto loop = framework::FrameworkModule::makeEventLoop();
    const auto clock = framework::FrameworkModule::makeSystemClock();
    const auto metrics = framework::FrameworkModule::makeMetrics();
    const auto client = http::HttpModule::makeClient(*loop);
    framework::NullLogger logger;
    http::ScriptedServer server(*loop, [](auto &connection) {
        http::ScriptedServer::send(connection,
                                   "HTTP/1.1 " + GetParam().status + "\r\nContent-Length: "
                                       + std::to_string(GetParam().body.size()) + "\r\n\r\n"
                                       + GetParam().body);
    });
    StoreClient store(*client, server.endpoint(), *clock, logger, *metrics);
    bool hasFailed = false;
    const auto note = [&](const auto &result) { hasFailed = !result; };
    StoreClient::Call call;
    switch (GetParam().call) {
    case StoreCall::Append:
        call = store.append("keyed.daemons", protocol::TopicRecord(), note);
        break;
    case StoreCall::ReadNewest:
        call = store.readNewest("keyed.op", "", note);
        break;
    case StoreCall::ReadChanges:
        call = store.readChanges("keyed.op", framework::LogOffset(17), framework::Milliseconds(0),
                                 note);
        break;
    }
    const auto guard = loop->callAfter(GenerousTimeout, [&] { loop->stop(); });
    std::unique_ptr<framework::ITimer> timer;
    const std::function<void()> poll = [&] {
        if (hasFailed && server.openConnections() == 0) {
            loop->stop();
        } else {
            timer = loop->callAfter(PollInterval, poll);
        }
    };
    poll();
    loop->run();
    EXPECT_TRUE(hasFailed);
    EXPECT_EQ(server.openConnections(), 0U);
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

// Guards against a connection for each call.
TEST(StoreClientTest, AnswersBelongToTheirCalls_ConnectionIsReused)
{
    const auto loop = framework::FrameworkModule::makeEventLoop();
    const auto clock = framework::FrameworkModule::makeSystemClock();
    const auto metrics = framework::FrameworkModule::makeMetrics();
    const auto client = http::HttpModule::makeClient(*loop);
    framework::NullLogger logger;
    std::size_t answered = 0;
    const std::vector<std::string> bodies = {Written, Page, Records, Written};
    http::ScriptedServer server(*loop, [&](auto &connection) {
        const std::string &body = bodies.at(answered++);
        http::ScriptedServer::send(connection,
                                   "HTTP/1.1 200 OK\r\nContent-Length: "
                                       + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    StoreClient store(*client, server.endpoint(), *clock, logger, *metrics);
    const auto run = [&](const auto &start) {
        bool isGood = false;
        const StoreClient::Call call = start([&](const auto &result) {
            isGood = static_cast<bool>(result);
            loop->stop();
        });
        loop->run();
        return isGood;
    };
    const auto append = [&](const auto &done) {
        return store.append("keyed.daemons", protocol::TopicRecord(), done);
    };
    EXPECT_TRUE(run(append));
    EXPECT_TRUE(run([&](const auto &done) { return store.readNewest("keyed.op", "", done); }));
    EXPECT_TRUE(run([&](const auto &done) {
        return store.readChanges("keyed.op", framework::LogOffset(18), framework::Milliseconds(0),
                                 done);
    }));
    EXPECT_TRUE(run(append));
    EXPECT_EQ(server.connections(), 1U);
}
