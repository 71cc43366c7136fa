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

#include <optional>

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
