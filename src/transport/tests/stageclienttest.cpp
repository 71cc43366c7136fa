#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "http/tests/scriptedserver.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"
#include "protocol/types/stagerequest.h"
#include "transport/istagecall.h"
#include "transport/istagecallobserver.h"
#include "transport/istageclient.h"
#include "transport/transportmodule.h"

#include <gtest/gtest.h>

#include <optional>

using namespace lavendertally;
using namespace lavendertally::transport;

namespace {

class ResultObserver final : public IStageCallObserver
{
public:
    explicit ResultObserver(framework::IEventLoop &loop) : m_loop(loop) { }

    void onChunk(const protocol::StageChunk & /*chunk*/) override { }
    void onResult(const protocol::StageResult &result) override
    {
        m_status = result.status;
        m_loop.stop();
    }

    std::optional<protocol::StageStatus> m_status;

private:
    framework::IEventLoop &m_loop;
};

} // namespace

// Guards against a stage that runs twice because its call was taken for refused.
TEST(StageClientTest, StatusIsInvalid_CallMayHaveRun)
{
    const auto loop = framework::FrameworkModule::makeEventLoop();
    const auto metrics = framework::FrameworkModule::makeMetrics();
    const auto http = http::HttpModule::makeClient(*loop);
    const auto codec = protocol::ProtocolModule::makeCodec();
    const auto client = TransportModule::makeStageClient(*http, *codec, *metrics);
    http::ScriptedServer server(*loop, [](auto &connection) {
        http::ScriptedServer::send(connection, "HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n");
    });
    ResultObserver observer(*loop);
    protocol::StageRequest request;
    request.budget = framework::Milliseconds(10000);
    const auto call = client->send(server.endpoint(), request, observer);
    loop->run();
    EXPECT_EQ(observer.m_status, protocol::StageStatus::Unknown);
}
