#include "app/tests/gatewayfixture.h"
#include "http/tests/rawsocket.h"
#include "http/tests/scriptedserver.h"

using namespace lavendertally;
using namespace lavendertally::app;
using http::ScriptedServer;

namespace {

/// How a backend server closes a connection.
enum class Ending
{
    /// It closes in order and goes on listening.
    Close,
    Reset,
    /// Its process ends: nothing listens any more, and the system closes the connection in order.
    Crash,
};

/// What a backend server sends, with neither a length nor chunks.
struct Script
{
    std::string version = "HTTP/1.1";
    std::string contentType = "text/event-stream";
    std::string body;
    Ending ending = Ending::Close;
};

std::string events(int first, int last)
{
    std::string text;
    for (int event = first; event <= last; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: e\n\n";
    }
    return text;
}

/// Answers of backend servers that end with their connection, through a real gateway.
class StreamEndTest : public GatewayFixture
{
protected:
    /// Lets what was sent arrive before the connection ends.
    static constexpr framework::Milliseconds EndDelay{30};

    StreamEndTest()
        : m_unframed(*m_loop,
                     [this](ScriptedServer::Connection &connection) { answer(connection); })
    {
        publish();
        put("unframed", "models", "ready");
        put("unframeddesk", "desk", "ready");
    }

    void put(const char *id, const char *service, const char *state,
             const std::string &address = {})
    {
        const nlohmann::json entry = {
            {"service", service},
            {"zone", "za"},
            {"address", address.empty() ? m_unframed.endpoint().toString() : address},
            {"slots", 4},
            {"state", state}};
        m_store.put("keyed.servers", id, entry.dump());
    }
    void startReadyGateway()
    {
        m_gateway = startGateway("g1");
        ASSERT_TRUE(waitFor([&] { return isReady(m_gateway); }));
    }
    http::HttpResponse stream(const std::string &id = "r1")
    {
        return call(ask(m_gateway, "/stream/x", id.c_str()));
    }
    /// Requests until the unframed server has answered one of them.
    /// \return what the client received for that one
    http::HttpResponse streamWithOtherServer()
    {
        put("othermodel", "models", "ready", m_otherModel.endpoint().toString());
        startReadyGateway();
        constexpr int MaxRequests = 30;
        http::HttpResponse response;
        for (int each = 0; m_answers == 0 && each < MaxRequests; ++each) {
            response = stream("r" + std::to_string(each));
        }
        EXPECT_EQ(m_answers, 1);
        return response;
    }

    static std::string field(const std::string &request, const std::string &name)
    {
        const std::size_t begin = request.find(name + ": ");
        if (begin == std::string::npos) {
            return {};
        }
        const std::size_t value = begin + name.size() + 2;
        return request.substr(value, request.find('\r', value) - value);
    }
    void answer(ScriptedServer::Connection &connection)
    {
        if (connection.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const std::string id = field(connection.received, "X-Lavendertally-Request-Id");
        connection.received.clear();
        ++m_answers;
        ScriptedServer::send(connection,
                             m_script.version + " 200 OK\r\nContent-Type: " + m_script.contentType
                                 + "\r\nX-Lavendertally-Request-Id: " + id
                                 + "\r\nX-Lavendertally-Response-Signature: s\r\n\r\n"
                                 + m_script.body);
        m_endings.push_back(
            m_loop->callAfter(m_endDelay, [this, &connection] { end(connection); }));
    }
    void end(ScriptedServer::Connection &connection)
    {
        switch (m_script.ending) {
        case Ending::Reset:
            ScriptedServer::reset(connection);
            return;
        case Ending::Crash:
            m_unframed.stopListening();
            break;
        case Ending::Close:
            break;
        }
        ScriptedServer::end(connection);
    }

    Script m_script;
    framework::Milliseconds m_endDelay = EndDelay;
    int m_answers = 0;
    std::vector<std::unique_ptr<framework::ITimer>> m_endings;
    ScriptedServer m_unframed;
    GatewayProcess m_gateway;
};

} // namespace

TEST_F(StreamEndTest, WholeStreamEndsWithItsConnection_IsComplete)
{
    m_script.body = events(1, 5);
    startReadyGateway();
    const auto response = stream();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.end, http::HttpEnd::Complete);
    EXPECT_EQ(response.body, events(1, 5));
}

TEST_F(StreamEndTest, StreamEndsInsideEvent_ClientSeesBrokenAnswer)
{
    m_script.body = events(1, 2) + "id: 3\ndata: e\n";
    startReadyGateway();
    const auto response = stream();
    EXPECT_EQ(response.end, http::HttpEnd::Broken);
    EXPECT_EQ(response.body, events(1, 2));
}

TEST_F(StreamEndTest, StreamEndsInsideEvent_GoesOnAtAnotherServer)
{
    m_script.body = events(1, 2) + "id: 3\nda";
    const auto response = streamWithOtherServer();
    EXPECT_EQ(response.end, http::HttpEnd::Complete);
    EXPECT_EQ(response.body, events(1, 5));
}

TEST_F(StreamEndTest, StreamIsResetBetweenEvents_ClientSeesBrokenAnswer)
{
    m_script.body = events(1, 2);
    m_script.ending = Ending::Reset;
    startReadyGateway();
    const auto response = stream();
    EXPECT_EQ(response.end, http::HttpEnd::Broken);
    EXPECT_EQ(response.body, events(1, 2));
}

TEST_F(StreamEndTest, StreamIsResetBetweenEvents_GoesOnAtAnotherServer)
{
    m_script.body = events(1, 2);
    m_script.ending = Ending::Reset;
    const auto response = streamWithOtherServer();
    EXPECT_EQ(response.end, http::HttpEnd::Complete);
    EXPECT_EQ(response.body, events(1, 5));
}

TEST_F(StreamEndTest, BodyEndsWithItsConnection_IsComplete)
{
    m_script = {"HTTP/1.0", "text/plain", "whole", Ending::Close};
    startReadyGateway();
    const auto response = call(ask(m_gateway, "/book/x", "r1"));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.end, http::HttpEnd::Complete);
    EXPECT_EQ(response.body, "whole");
}

TEST_F(StreamEndTest, BodyIsCutByReset_AnswerIsLost)
{
    m_script = {"HTTP/1.0", "text/plain", "who", Ending::Reset};
    startReadyGateway();
    EXPECT_EQ(call(ask(m_gateway, "/book/x", "r1")).status, 502);
    EXPECT_EQ(m_answers, 1);
}

TEST_F(StreamEndTest, StreamBreaks_ClientWithoutChunksSeesReset)
{
    m_script.body = events(1, 2);
    m_script.ending = Ending::Reset;
    startReadyGateway();
    http::RawSocket client(m_gateway.clients);
    client.send("POST /stream/x HTTP/1.0\r\nHost: h\r\nX-Lavendertally-Request-Id: r1\r\n"
                "X-Lavendertally-Deadline-Ms: 3000\r\nApi-Key: key\r\n\r\n");
    EXPECT_TRUE(waitFor([&] { return client.isClosed() || client.isReset(); }));
    EXPECT_TRUE(client.isReset());
}

TEST_F(StreamEndTest, ServerCrashesBetweenEvents_ClientSeesBrokenAnswer)
{
    m_script.body = events(1, 2);
    m_script.ending = Ending::Crash;
    startReadyGateway();
    const auto response = stream();
    EXPECT_EQ(response.end, http::HttpEnd::Broken);
    EXPECT_EQ(response.body, events(1, 2));
}

TEST_F(StreamEndTest, ServerCrashesBetweenEvents_StreamGoesOnAtAnotherServer)
{
    m_script.body = events(1, 2);
    m_script.ending = Ending::Crash;
    const auto response = streamWithOtherServer();
    EXPECT_EQ(response.end, http::HttpEnd::Complete);
    EXPECT_EQ(response.body, events(1, 5));
}

TEST_F(StreamEndTest, ServerCrashesInsideBody_AnswerIsLost)
{
    m_script = {"HTTP/1.0", "text/plain", "who", Ending::Crash};
    startReadyGateway();
    EXPECT_EQ(call(ask(m_gateway, "/book/x", "r1")).status, 502);
    EXPECT_EQ(m_answers, 1);
}

TEST_F(StreamEndTest, DrainingServerEndsAfterItsLastStream_IsComplete)
{
    constexpr framework::Milliseconds RegistrationTime{1800};
    m_script.body = events(1, 5);
    m_script.ending = Ending::Crash;
    m_endDelay = RegistrationTime;
    startReadyGateway();
    const auto drain = m_loop->callAfter(framework::Milliseconds(100),
                                         [this] { put("unframed", "models", "draining"); });
    const auto response = stream();
    EXPECT_EQ(response.end, http::HttpEnd::Complete);
    EXPECT_EQ(response.body, events(1, 5));
}
