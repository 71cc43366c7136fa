#include "app/tests/gatewayfixture.h"
#include "http/ihttpresponseobserver.h"
#include "http/tests/scriptedserver.h"

using namespace lavendertally;
using namespace lavendertally::app;
using http::ScriptedServer;

namespace {

/// \return the answer of a backend server to request r1
/// \param fields header fields besides those that a gateway needs to pass the answer on
std::string signedAnswer(const std::string &status, const std::string &fields,
                         const std::string &body)
{
    return "HTTP/1.1 " + status
        + "\r\nX-Lavendertally-Request-Id: r1\r\nX-Lavendertally-Response-Signature: s\r\n" + fields
        + "\r\n" + body;
}

/// Client that begins to read the body of its response later.
class LateReader final : public http::IHttpResponseObserver
{
public:
    LateReader(http::IHttpClient &client, const http::HttpRequest &request)
        : m_call(client.send(request, *this))
    { }

    void read() { m_call->resumeReading(); }

    bool onHead(const http::HttpResponseHead & /*head*/) override
    {
        m_call->pauseReading();
        return true;
    }
    void onData(int /*status*/, std::string_view /*data*/) override { }
    void onEnd(http::HttpEnd end, int /*status*/) override { m_end = end; }

    std::optional<http::HttpEnd> m_end;

private:
    std::unique_ptr<http::IHttpCall> m_call;
};

/// Backend servers in trouble whose answers are no responses in HTTP, through a real gateway.
class BrokenAnswerTest : public GatewayFixture
{
protected:
    BrokenAnswerTest()
        : m_server(*m_loop, [this](ScriptedServer::Connection &connection) { answer(connection); })
    {
        publish();
        put("brokendesk", "desk", m_server.endpoint());
        put("brokenmodel", "models", m_server.endpoint());
        put("othermodel", "models", m_otherModel.endpoint());
        put("pool", "pool", m_pool.endpoint());
    }

    void put(const char *id, const char *service, const framework::Endpoint &endpoint)
    {
        const nlohmann::json entry = {{"service", service},
                                      {"zone", "za"},
                                      {"address", endpoint.toString()},
                                      {"slots", 4},
                                      {"state", "ready"}};
        m_store.put("keyed.servers", id, entry.dump());
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
    /// Sends a request that may be repeated, for which another backend server is there as well,
    /// until the scripted server has answered one with \p answer.
    http::HttpResponse streamWithOtherServer(const std::string &answer)
    {
        m_answer = answer;
        m_answers = 0;
        constexpr int MaxRequests = 30;
        http::HttpResponse response;
        for (int each = 0; m_answers == 0 && each < MaxRequests; ++each) {
            response = call(ask(m_gateway, "/stream/x", "r1"));
        }
        EXPECT_EQ(m_answers, 1);
        return response;
    }
    std::string metrics() { return call(get(m_gateway.metrics, "/metrics")).body; }
    void answer(ScriptedServer::Connection &connection)
    {
        if (connection.received.find("\r\n\r\n") != std::string::npos) {
            connection.received.clear();
            ++m_answers;
            if (m_leavesUploadUnread) {
                m_answering = &connection;
                event_del(connection.readable);
            }
            ScriptedServer::send(connection, m_answer);
            if (m_resetsAfterItsEnd) {
                ::shutdown(connection.fd, SHUT_WR);
                m_later = m_loop->callAfter(framework::Milliseconds(100),
                                            [&connection] { ScriptedServer::reset(connection); });
            }
        }
    }

    std::string m_answer;
    int m_answers = 0;
    /// Whether the scripted server reads only the beginning of a request.
    bool m_leavesUploadUnread = false;
    /// Whether the scripted server closes its side behind an answer and resets the connection
    /// later.
    bool m_resetsAfterItsEnd = false;
    ScriptedServer::Connection *m_answering = nullptr;
    ScriptedServer m_server;
    std::unique_ptr<framework::ITimer> m_later;
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

TEST_F(BrokenAnswerTest, StatusIsInvalid_AnswerIsLost)
{
    const std::string invalid = signedAnswer("000 Unknown", "Content-Length: 2\r\n", "ab");
    startReadyGateway();
    EXPECT_EQ(book(invalid).status, 502) << "new connection";
    EXPECT_EQ(book(signedAnswer("200 OK", "Content-Length: 2\r\n", "ab")).body, "ab");
    EXPECT_EQ(book(invalid).status, 502) << "kept connection";
    EXPECT_EQ(m_answers, 3) << "the request may not be repeated";
}

TEST_F(BrokenAnswerTest, StatusIsInvalid_RequestIsRepeatedAtAnotherServer)
{
    startReadyGateway();
    const auto response =
        streamWithOtherServer(signedAnswer("000 Unknown", "Content-Length: 2\r\n", "ab"));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, standins::PlatformServerStandIn::wholeStream());
}

TEST_F(BrokenAnswerTest, HeaderFieldIsFolded_AnswerIsLost)
{
    startReadyGateway();
    EXPECT_EQ(
        book(signedAnswer("200 OK", "X-A: 1\r\n X-B: 2\r\nContent-Length: 2\r\n", "ab")).status,
        502);
}

TEST_F(BrokenAnswerTest, BodyHasATransferCodingBesidesChunks_AnswerIsLost)
{
    startReadyGateway();
    EXPECT_EQ(
        book(signedAnswer("200 OK", "Transfer-Encoding: gzip, chunked\r\n", "2\r\nab\r\n0\r\n\r\n"))
            .status,
        502);
}

// Guards against a signature that is no part of the answer's head.
TEST_F(BrokenAnswerTest, SignatureFollowsTheChunks_AnswerIsLost)
{
    startReadyGateway();
    EXPECT_EQ(book("HTTP/1.1 200 OK\r\nX-Lavendertally-Request-Id: r1\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n"
                   "2\r\nab\r\n0\r\nX-Lavendertally-Response-Signature: s\r\n\r\n")
                  .status,
              502);
}

// Guards against a part of an answer that a client takes for the whole, since its gateway has read
// that part late.
TEST_F(BrokenAnswerTest, AnswerIsResetDuringUploadWhileHeldBack_ClientSeesBrokenAnswer)
{
    constexpr std::size_t UploadSize = 7 * 1024 * 1024;
    // Less than a gateway reads while it holds an answer back, so that it finds the end.
    constexpr std::size_t PartSize = 32 * 1024;
    constexpr int MaxParts = 400;
    constexpr framework::Milliseconds RouteTimeout{15000};
    m_requestLimits = {{"maxBodyBytes", UploadSize}};
    m_routeTimeout = RouteTimeout;
    publish();
    startReadyGateway();
    m_leavesUploadUnread = true;
    m_answer = signedAnswer("200 OK", "", std::string(2 * PartSize, 'a'));
    http::HttpRequest request = ask(m_gateway, "/book/x", "r1");
    request.body.assign(UploadSize, 'u');
    request.timeout = RouteTimeout;
    for (auto &[name, value] : request.headers) {
        if (name == "X-Lavendertally-Deadline-Ms") {
            value = std::to_string(RouteTimeout.value());
        }
    }
    LateReader client(*m_client, request);
    ASSERT_TRUE(waitFor([this] { return m_answering != nullptr; }));
    for (int part = 0; part < MaxParts; ++part) {
        if (metrics().find("lavendertally_sources_held_back 1") != std::string::npos) {
            break;
        }
        ScriptedServer::send(*m_answering, std::string(PartSize, 'a'));
    }
    EXPECT_NE(metrics().find("lavendertally_sources_held_back 1"), std::string::npos);
    ScriptedServer::reset(*m_answering);
    pause(framework::Milliseconds(50));
    client.read();
    ASSERT_TRUE(waitFor([&client] { return client.m_end.has_value(); }));
    EXPECT_EQ(client.m_end, http::HttpEnd::Broken);
}

// Guards against a part of an answer, with its signature, that a client gets as the whole: the
// server has closed its side, but resets the connection instead of taking the request.
TEST_F(BrokenAnswerTest, AnswerEndsBeforeUploadIsTakenAndIsResetLater_ClientSeesNoWholeAnswer)
{
    constexpr std::size_t UploadSize = 3000000;
    startReadyGateway();
    m_leavesUploadUnread = true;
    m_resetsAfterItsEnd = true;
    m_answer = signedAnswer("200 OK", "", "part");
    http::HttpRequest request = ask(m_gateway, "/book/x", "r1");
    request.body.assign(UploadSize, 'u');
    const http::HttpResponse response = call(request);
    EXPECT_FALSE(response.end == http::HttpEnd::Complete && response.status == 200)
        << response.body;
    EXPECT_EQ(m_answers, 1);
}
