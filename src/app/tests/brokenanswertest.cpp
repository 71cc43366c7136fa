#include "app/tests/gatewayfixture.h"
#include "http/tests/scriptedserver.h"

using namespace lavendertally;
using namespace lavendertally::app;
using http::ScriptedServer;

namespace {

/// Backend servers in trouble whose answers are no responses in HTTP, through a real gateway.
class BrokenAnswerTest : public GatewayFixture
{
protected:
    BrokenAnswerTest()
        : m_server(*m_loop, [this](ScriptedServer::Connection &connection) { answer(connection); })
    {
        publish();
        const nlohmann::json entry = {{"service", "desk"},
                                      {"zone", "za"},
                                      {"address", m_server.endpoint().toString()},
                                      {"slots", 4},
                                      {"state", "ready"}};
        m_store.put("keyed.servers", "scripted", entry.dump());
    }

    void startReadyGateway()
    {
        m_gateway = startGateway("g1");
        ASSERT_TRUE(waitFor([&] { return isReady(m_gateway); }));
    }
    /// Sends a request that the scripted server answers with \p answer.
    http::HttpResponse book(const std::string &answer)
    {
        m_answer = answer;
        return call(ask(m_gateway, "/book/x", "r1"));
    }
    std::string metrics() { return call(get(m_gateway.metrics, "/metrics")).body; }
    void answer(ScriptedServer::Connection &connection)
    {
        if (connection.received.find("\r\n\r\n") != std::string::npos) {
            connection.received.clear();
            ScriptedServer::send(connection, m_answer);
        }
    }

    std::string m_answer;
    ScriptedServer m_server;
    GatewayProcess m_gateway;
};

} // namespace

// Guards against answers that are dropped without a trace of the server that sent them.
TEST_F(BrokenAnswerTest, ServerSendsNoResponse_AnswerIsLostAndCounted)
{
    startReadyGateway();
    EXPECT_EQ(book("what?\r\n\r\n").status, 502);
    EXPECT_NE(metrics().find("lavendertally_malformed_answers_total 1"), std::string::npos);
}
