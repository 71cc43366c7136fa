#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/headerlookup.h"
#include "http/httpmodule.h"
#include "http/ihttpcall.h"
#include "http/ihttpclient.h"
#include "http/ihttpresponseobserver.h"
#include "http/tests/scriptedserver.h"
#include "http/types/httprequest.h"

#include <gtest/gtest.h>

#include <functional>

using namespace lavendertally;
using namespace lavendertally::http;

namespace {

constexpr framework::Milliseconds GenerousTimeout{10000};

/// Takes only answers that carry the request's number.
class MatchingObserver final : public IHttpResponseObserver
{
public:
    MatchingObserver(framework::IEventLoop &loop, std::string number)
        : m_loop(loop), m_number(std::move(number))
    { }

    bool onHead(const HttpResponseHead &head) override
    {
        return findHeader(head.headers, "X-Number") == m_number;
    }
    void onData(int /*status*/, std::string_view data) override
    {
        m_body.append(data);
        if (m_dataReceived) {
            m_dataReceived();
        }
    }
    void onServerClosing() override
    {
        if (m_serverClosing) {
            m_serverClosing();
        }
    }
    void onEnd(HttpEnd end, int status) override
    {
        m_end = end;
        m_status = status;
        m_loop.stop();
    }

    std::function<void()> m_dataReceived;
    std::function<void()> m_serverClosing;
    std::string m_body;
    HttpEnd m_end = HttpEnd::NotSent;
    int m_status = -1;

private:
    framework::IEventLoop &m_loop;
    std::string m_number;
};

std::string answer(const std::string &number, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Number: " + number
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class ClientFaultTest : public testing::Test
{
protected:
    ClientFaultTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_server(*m_loop,
                   [this](ScriptedServer::Connection &connection) { m_script(connection); }),
          m_client(HttpModule::makeClient(*m_loop)),
          m_guard(m_loop->callAfter(GenerousTimeout, [this] { m_loop->stop(); }))
    { }

    HttpRequest request(framework::Milliseconds timeout = GenerousTimeout) const
    {
        HttpRequest result;
        result.endpoint = m_server.endpoint();
        result.target = "/";
        result.timeout = timeout;
        return result;
    }
    /// \return a request that is larger than what the buffers of the system hold
    HttpRequest upload() const
    {
        HttpRequest result = request();
        result.method = HttpMethod::Post;
        result.body.assign(32 * 1024 * 1024, 'u');
        return result;
    }
    HttpResponse fetch()
    {
        HttpResponse response;
        const auto call = m_client->fetch(request(), [&](HttpResponse received) {
            response = std::move(received);
            m_loop->stop();
        });
        m_loop->run();
        return response;
    }
    /// \return what a request is answered with if the server sends \p answer
    HttpResponse fetch(const std::string &answer)
    {
        m_script = [&answer](auto &connection) { ScriptedServer::send(connection, answer); };
        return fetch();
    }
    /// Sends the same bytes on and on, as fast as the client reads them.
    void flood(ScriptedServer::Connection &connection, const std::string &bytes,
               std::size_t position = 0)
    {
        if (connection.fd < 0) {
            return;
        }
        ssize_t sent = 0;
        do {
            position = (position + static_cast<std::size_t>(sent)) % bytes.size();
            sent = ::send(connection.fd, bytes.data() + position, bytes.size() - position,
                          MSG_NOSIGNAL | MSG_DONTWAIT);
        } while (sent > 0);
        m_later =
            m_loop->callAfter(framework::Milliseconds(0), [this, &connection, bytes, position] {
                flood(connection, bytes, position);
            });
    }
    /// Lets the loop handle what is on its way.
    void settle()
    {
        const auto timer =
            m_loop->callAfter(framework::Milliseconds(20), [this] { m_loop->stop(); });
        m_loop->run();
    }

    std::unique_ptr<framework::IEventLoop> m_loop;
    std::function<void(ScriptedServer::Connection &)> m_script;
    ScriptedServer m_server;
    std::unique_ptr<IHttpClient> m_client;
    std::unique_ptr<framework::ITimer> m_guard;
    std::unique_ptr<framework::ITimer> m_later;
};

TEST_F(ClientFaultTest, ConnectionIsReusedAfterAWholeAnswer)
{
    m_script = [](auto &connection) { ScriptedServer::send(connection, answer("1", "ab")); };
    EXPECT_EQ(fetch().body, "ab");
    EXPECT_EQ(fetch().body, "ab");
    EXPECT_EQ(m_server.connections(), 1U);
}

TEST_F(ClientFaultTest, CallCancelledBeforeConnectionIsEstablished_NothingIsSent)
{
    std::size_t requests = 0;
    m_script = [&requests](auto & /*connection*/) { ++requests; };
    MatchingObserver observer(*m_loop, "1");
    auto call = m_client->send(request(), observer);
    call.reset();
    settle();
    EXPECT_EQ(requests, 0U);
}

TEST_F(ClientFaultTest, BytesAfterTheAnswerEndTheConnectionAndReachNobody)
{
    m_script = [](auto &connection) {
        ScriptedServer::send(connection, answer("1", "ab") + answer("2", "stolen"));
    };
    EXPECT_EQ(fetch().body, "ab");
    EXPECT_EQ(fetch().body, "ab");
    EXPECT_EQ(m_server.connections(), 2U);
}

TEST_F(ClientFaultTest, LateBytesOnAnIdleConnectionEndIt)
{
    m_script = [](auto &connection) { ScriptedServer::send(connection, answer("1", "ab")); };
    EXPECT_EQ(fetch().body, "ab");
    ScriptedServer::send(m_server.connection(0), answer("1", "extra"));
    settle();
    EXPECT_EQ(fetch().body, "ab");
    EXPECT_EQ(m_server.connections(), 2U);
}

TEST_F(ClientFaultTest, AnswerToAnotherRequestIsPassedOver)
{
    m_script = [](auto &connection) {
        ScriptedServer::send(connection, answer("other", "wrong") + answer("mine", "right"));
    };
    MatchingObserver observer(*m_loop, "mine");
    const auto call = m_client->send(request(), observer);
    m_loop->run();
    EXPECT_EQ(observer.m_end, HttpEnd::Complete);
    EXPECT_EQ(observer.m_body, "right");
}

TEST_F(ClientFaultTest, OnlyAnAnswerToAnotherRequestIsNoAnswer)
{
    m_script = [](auto &connection) {
        ScriptedServer::send(connection, answer("other", "wrong"));
        ScriptedServer::end(connection);
    };
    MatchingObserver observer(*m_loop, "mine");
    const auto call = m_client->send(request(), observer);
    m_loop->run();
    EXPECT_EQ(observer.m_end, HttpEnd::Broken);
    EXPECT_EQ(observer.m_body, "");
}

TEST_F(ClientFaultTest, UnframedAnswerIsCompleteWithAnOrderlyClose)
{
    m_script = [](auto &connection) {
        ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\n\r\nab");
        ScriptedServer::end(connection);
    };
    const HttpResponse response = fetch();
    EXPECT_EQ(response.end, HttpEnd::Complete);
    EXPECT_EQ(response.body, "ab");
}

TEST_F(ClientFaultTest, UnframedAnswerThatIsResetIsBroken)
{
    m_script = [this](auto &connection) {
        ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\n\r\nab");
        m_later = m_loop->callAfter(framework::Milliseconds(10),
                                    [&connection] { ScriptedServer::reset(connection); });
    };
    EXPECT_EQ(fetch().end, HttpEnd::Broken);
}

// Guards against a reset that shows when the request is written, and is forgotten by the time the
// held back answer is read to its end.
TEST_F(ClientFaultTest, UnframedAnswerIsResetDuringUploadWhileHeldBack_IsBroken)
{
    for (const bool isKept : {false, true}) {
        if (isKept) {
            fetch(answer("1", "ab"));
        }
        ScriptedServer::Connection *answering = nullptr;
        m_script = [&answering](auto &connection) {
            answering = &connection;
            event_del(connection.readable);
            ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\nX-Number: 1\r\n\r\nab");
        };
        MatchingObserver observer(*m_loop, "1");
        const auto call = m_client->send(upload(), observer);
        observer.m_dataReceived = [&call, &answering] {
            call->pauseReading();
            ScriptedServer::reset(*answering);
        };
        observer.m_serverClosing = [this, &call] {
            // The end of the input is read meanwhile.
            m_later =
                m_loop->callAfter(framework::Milliseconds(20), [&call] { call->resumeReading(); });
        };
        m_loop->run();
        m_later.reset();
        EXPECT_EQ(observer.m_body, "ab");
        EXPECT_EQ(observer.m_end, HttpEnd::Broken) << (isKept ? "kept connection" : "");
    }
}

// Guards against a part of an answer taken for the whole: the server has closed its side, but takes
// no more of the request.
TEST_F(ClientFaultTest, UnframedAnswerEndsDuringUpload_IsCompleteOnlyIfTheRestIsTaken)
{
    for (const bool isReset : {true, false}) {
        bool hasAnswered = false;
        m_script = [&](auto &connection) {
            if (std::exchange(hasAnswered, true)) {
                return;
            }
            ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\nX-Number: 1\r\n\r\nab");
            ::shutdown(connection.fd, SHUT_WR);
            if (isReset) {
                event_del(connection.readable);
                m_later = m_loop->callAfter(framework::Milliseconds(20),
                                            [&connection] { ScriptedServer::reset(connection); });
            }
        };
        MatchingObserver observer(*m_loop, "1");
        const auto call = m_client->send(upload(), observer);
        m_loop->run();
        EXPECT_EQ(observer.m_body, "ab");
        EXPECT_EQ(observer.m_end, isReset ? HttpEnd::Broken : HttpEnd::Complete);
    }
}

// Guards against a part of an answer taken for the whole: the system has taken the request, but the
// server has not, and resets the connection after it has closed its side.
TEST_F(ClientFaultTest, UnframedAnswerEndsWithRequestUnacknowledged_IsCompleteOnlyIfItIsTaken)
{
    enum class After
    {
        Reset,
        Taken,
        Nothing
    };
    for (const After after : {After::Reset, After::Taken, After::Nothing}) {
        m_script = [&](auto &connection) {
            if (m_later) {
                return;
            }
            event_del(connection.readable);
            ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\nX-Number: 1\r\n\r\nab");
            ::shutdown(connection.fd, SHUT_WR);
            m_later = m_loop->callAfter(framework::Milliseconds(100), [&connection, after] {
                if (after == After::Reset) {
                    ScriptedServer::reset(connection);
                } else if (after == After::Taken) {
                    event_add(connection.readable, nullptr);
                }
            });
        };
        HttpRequest request = upload();
        request.body.resize(3000000);
        MatchingObserver observer(*m_loop, "1");
        const auto call = m_client->send(request, observer);
        m_loop->run();
        m_later.reset();
        EXPECT_EQ(observer.m_body, "ab");
        EXPECT_EQ(observer.m_end, after == After::Taken ? HttpEnd::Complete : HttpEnd::Broken)
            << static_cast<int>(after);
    }
}

TEST_F(ClientFaultTest, UnframedAnswerEndsWithRequestUnacknowledgedWhileHeldBack_IsBroken)
{
    m_script = [&](auto &connection) {
        event_del(connection.readable);
        ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\nX-Number: 1\r\n\r\nab");
        ::shutdown(connection.fd, SHUT_WR);
        m_later = m_loop->callAfter(framework::Milliseconds(20),
                                    [&connection] { ScriptedServer::reset(connection); });
    };
    HttpRequest request = upload();
    request.body.resize(3000000);
    MatchingObserver observer(*m_loop, "1");
    const auto call = m_client->send(request, observer);
    observer.m_dataReceived = [&call] { call->pauseReading(); };
    const auto resume =
        m_loop->callAfter(framework::Milliseconds(100), [&call] { call->resumeReading(); });
    m_loop->run();
    EXPECT_EQ(observer.m_end, HttpEnd::Broken);
}

TEST_F(ClientFaultTest, ShortAnswerIsBroken)
{
    m_script = [](auto &connection) {
        ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
        ScriptedServer::end(connection);
    };
    EXPECT_EQ(fetch().end, HttpEnd::Broken);
}

TEST_F(ClientFaultTest, BytesThatAreNoAnswerAreMalformed)
{
    m_script = [](auto &connection) { ScriptedServer::send(connection, "what?\r\n\r\n"); };
    EXPECT_EQ(fetch().end, HttpEnd::Malformed);
}

// Guards against a status code that no client can read, and that stands for "no status" in this
// code, passed on as an answer.
TEST_F(ClientFaultTest, StatusIsInvalid_AnswerIsMalformed)
{
    for (const char *status : {"000", "001", "099", "600", "999"}) {
        const std::string invalid =
            "HTTP/1.1 " + std::string(status) + " Unknown\r\nContent-Length: 2\r\n\r\nab";
        EXPECT_EQ(fetch(invalid).end, HttpEnd::Malformed) << "new connection, " << status;
        EXPECT_EQ(fetch(answer("1", "ab")).end, HttpEnd::Complete);
        EXPECT_EQ(fetch(invalid).end, HttpEnd::Malformed) << "kept connection, " << status;
    }
    EXPECT_EQ(fetch("HTTP/1.1 599 Unknown\r\nContent-Length: 0\r\n\r\n").status, 599);
}

// Guards against bytes of another protocol taken for an answer.
TEST_F(ClientFaultTest, ServerSwitchesProtocolsUnasked_AnswerIsMalformed)
{
    EXPECT_EQ(
        fetch("HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" + answer("1", "ab")).end,
        HttpEnd::Malformed);
}

// Guards against a line that belongs to the field before it: that field is passed on with another
// value, and a length in it does not say where the body ends.
TEST_F(ClientFaultTest, HeaderFieldIsFolded_AnswerIsMalformed)
{
    for (const char *fields : {"X-A: 1\r\n X-B: 2\r\nContent-Length: 2\r\n",
                               "Content-Length: 2\r\nX-A: 1\r\n\tX-B: 2\r\n",
                               "X-A: 1\r\n Content-Length: 2\r\n", "X-A:\r\n Content-Length: 2\r\n",
                               "Content-Length: 2\r\nX-A: 1\r\n \r\n", " Content-Length: 2\r\n"}) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n";
        EXPECT_EQ(fetch(head + "ab").end, HttpEnd::Malformed) << fields;
        EXPECT_EQ(fetch(answer("1", "ab")).end, HttpEnd::Complete);
        EXPECT_EQ(fetch(head + "ab").end, HttpEnd::Malformed) << "kept connection: " << fields;
    }
    EXPECT_EQ(fetch("HTTP/1.1 100 Continue\r\nX-A: 1\r\n X-B: 2\r\n\r\n" + answer("1", "ab")).end,
              HttpEnd::Malformed);
}

TEST_F(ClientFaultTest, FieldNameHoldsABlankOrAControlByte_AnswerIsMalformed)
{
    for (int code = 0; code <= 0x7f; ++code) {
        if (code > ' ' && code < 0x7f) {
            continue;
        }
        const std::string byte(1, static_cast<char>(code));
        for (const std::string &name : {byte + "Name", "Na" + byte + "me", "Name" + byte}) {
            EXPECT_EQ(
                fetch("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + name + ": 1\r\n\r\nab").end,
                HttpEnd::Malformed)
                << "byte " << code << " in " << name;
        }
    }
}

// Guards against coded bytes, or the lines between chunks, taken for the body.
TEST_F(ClientFaultTest, BodyHasATransferCodingBesidesChunks_AnswerIsMalformed)
{
    const std::string chunks = "\r\n2\r\nab\r\n0\r\n\r\n";
    for (const char *head : {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
                             "Transfer-Encoding: chunked\r\n",
                             "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"}) {
        m_script = [&](auto &connection) {
            ScriptedServer::send(connection, head + chunks);
            ScriptedServer::end(connection);
        };
        EXPECT_EQ(fetch().end, HttpEnd::Malformed) << head;
    }
    EXPECT_EQ(fetch("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n" + chunks).body, "ab");
}

// Guards against a head that depends on how the bytes arrive: what stands behind the body came into
// it if the whole answer was read at once.
TEST_F(ClientFaultTest, FieldsFollowTheChunks_TheyAreNoPartOfTheHead)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const HttpResponse response = fetch(head + "2\r\nab\r\n0\r\nX-Number: 1\r\n\r\n");
    EXPECT_EQ(response.end, HttpEnd::Complete);
    EXPECT_EQ(response.body, "ab");
    EXPECT_FALSE(findHeader(response.headers, "X-Number"));
}

TEST_F(ClientFaultTest, HeadNeverEnds_AnswerIsMalformedAndConnectionIsClosed)
{
    m_script = [this](auto &connection) {
        ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\nX-Number: ");
        flood(connection, std::string(1000, 'a'));
    };
    EXPECT_EQ(fetch().end, HttpEnd::Malformed);
    settle();
    EXPECT_EQ(m_server.connection(0).fd, -1);
}

TEST_F(ClientFaultTest, HeaderFieldsNeverEnd_AnswerIsMalformed)
{
    m_script = [this](auto &connection) {
        ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\n");
        flood(connection, "X-Number: 1\r\n");
    };
    EXPECT_EQ(fetch().end, HttpEnd::Malformed);
}

TEST_F(ClientFaultTest, BodyNeverEnds_CallIsBrokenAndConnectionIsClosed)
{
    m_script = [this](auto &connection) {
        ScriptedServer::send(connection, "HTTP/1.1 200 OK\r\n\r\n");
        flood(connection, std::string(65536, 'a'));
    };
    const HttpResponse response = fetch();
    EXPECT_EQ(response.end, HttpEnd::Broken);
    EXPECT_TRUE(response.body.empty());
    settle();
    EXPECT_EQ(m_server.connection(0).fd, -1);
}

TEST_F(ClientFaultTest, ChunkHeaderNeverEnds_CallEndsAtItsTimeout)
{
    m_script = [this](auto &connection) {
        ScriptedServer::send(connection,
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=");
        flood(connection, std::string(1000, 'a'));
    };
    HttpResponse response;
    const auto call =
        m_client->fetch(request(framework::Milliseconds(300)), [&](HttpResponse received) {
            response = std::move(received);
            m_loop->stop();
        });
    m_loop->run();
    EXPECT_NE(response.end, HttpEnd::Complete);
    EXPECT_NE(response.end, HttpEnd::NotSent);
    settle();
    EXPECT_EQ(m_server.connection(0).fd, -1) << "the connection is closed";
}

TEST_F(ClientFaultTest, InterimAnswersNeverEnd_CallEndsAtItsTimeout)
{
    m_script = [this](auto &connection) { flood(connection, "HTTP/1.1 102 Processing\r\n\r\n"); };
    HttpResponse response;
    const auto call =
        m_client->fetch(request(framework::Milliseconds(300)), [&](HttpResponse received) {
            response = std::move(received);
            m_loop->stop();
        });
    m_loop->run();
    EXPECT_EQ(response.end, HttpEnd::TimedOut);
}

TEST_F(ClientFaultTest, InterimAnswersArePassedOver)
{
    m_script = [](auto &connection) {
        ScriptedServer::send(connection,
                             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
                                 + answer("1", "ab"));
    };
    const HttpResponse response = fetch();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "ab");
}

TEST_F(ClientFaultTest, ConnectionThatStatesNoKeepAliveTimeIsNotKept)
{
    m_script = [](auto &connection) {
        ScriptedServer::send(
            connection, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n");
    };
    fetch();
    fetch();
    EXPECT_EQ(m_server.connections(), 2U);
}

TEST_F(ClientFaultTest, OldIdleConnectionIsNotUsedForACallThatAsksForAFreshOne)
{
    m_script = [](auto &connection) { ScriptedServer::send(connection, answer("1", "ab")); };
    fetch();
    settle();
    HttpRequest fresh = request();
    fresh.maxIdleBefore = framework::Milliseconds(5);
    const auto call =
        m_client->fetch(fresh, [&](const HttpResponse & /*response*/) { m_loop->stop(); });
    m_loop->run();
    EXPECT_EQ(m_server.connections(), 2U);
}

TEST_F(ClientFaultTest, CancelledCallClosesItsConnection)
{
    m_script = [this](auto & /*connection*/) { m_loop->stop(); };
    auto call = m_client->fetch(request(), [](const HttpResponse & /*response*/) { FAIL(); });
    m_loop->run();
    call.reset();
    settle();
    EXPECT_EQ(m_server.connection(0).fd, -1);
}

// Guards against an answer that is cut in its head, also behind an interim answer, and is taken for
// a whole one with an empty or short body.
TEST_F(ClientFaultTest, AnswerIsCutAtAnyByte_CallIsBroken)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::vector<std::string> answers = {
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nX-Empty: 1\r\n\r\n",
    };
    for (const std::string &complete : answers) {
        for (const std::string &whole : {complete, interim + complete}) {
            for (std::size_t cut = 0; cut < whole.size(); ++cut) {
                m_script = [&](auto &connection) {
                    ScriptedServer::send(connection, whole.substr(0, cut));
                    ScriptedServer::end(connection);
                };
                const HttpResponse response = fetch();
                EXPECT_EQ(response.end, HttpEnd::Broken) << whole.substr(0, cut);
                EXPECT_EQ(response.status, 0);
            }
        }
    }
}

// Guards against the same where only the end of the connection marks the end of the body.
TEST_F(ClientFaultTest, HeadWithoutLengthIsCutAtAnyByte_CallIsBroken)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Number: 1\r\n\r\n";
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        m_script = [&](auto &connection) {
            ScriptedServer::send(connection, head.substr(0, cut));
            ScriptedServer::end(connection);
        };
        EXPECT_EQ(fetch().end, HttpEnd::Broken) << head.substr(0, cut);
    }
}
