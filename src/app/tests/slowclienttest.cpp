#include "app/tests/gatewayfixture.h"
#include "http/tests/floodingserver.h"
#include "http/tests/rawsocket.h"

using namespace lavendertally;
using namespace lavendertally::app;
using http::FloodingServer;
using http::RawSocket;
using http::ScriptedServer;

namespace {

constexpr std::size_t Megabyte = 1024 * 1024;

/// Half of the target for a daemon's memory at its full size.
constexpr std::size_t MaxMemoryGrowth = 32 * Megabyte;

/// More than the buffers of the system hold on the way from a backend server to a client.
constexpr std::size_t LongStream = 32 * Megabyte;

/// More than a client with a small buffer takes without reading, and less than the buffers of the
/// system hold on the whole way.
constexpr std::size_t ShortStream = 4 * Megabyte;
constexpr int SmallBuffer = 4096;

std::string events(std::size_t size)
{
    std::string text;
    for (int number = 1; text.size() < size; ++number) {
        text += "id: " + std::to_string(number) + "\ndata: " + std::string(1000, 'e') + "\n\n";
    }
    return text;
}

/// \return events that may come any number of times
std::string eventsWithoutId()
{
    std::string text;
    while (text.size() < Megabyte) {
        text += "data: " + std::string(1000, 'e') + "\n\n";
    }
    return text;
}

std::string field(const std::string &request, const std::string &name)
{
    const std::size_t begin = request.find(name + ": ");
    const std::size_t value = begin + name.size() + 2;
    return request.substr(value, request.find('\r', value) - value);
}

/// Head of an answer to \p request.
/// \param framing header fields that say where the answer ends
std::string head(const std::string &request, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Lavendertally-Request-Id: "
        + field(request, "X-Lavendertally-Request-Id")
        + "\r\nX-Lavendertally-Response-Signature: s\r\n" + framing + "\r\n";
}

std::string withLength(std::size_t length)
{
    return "Content-Length: " + std::to_string(length) + "\r\n";
}

/// \return an answer that goes on with \p text without end
FloodingServer::Answer endless(const std::string &request, const std::string &text)
{
    constexpr std::size_t NeverReached = 1000 * LongStream;
    const std::string begin = head(request, withLength(NeverReached)) + "id: 1\ndata: e\n\n";
    return {begin + text, true, begin.size(), {}};
}

/// Clients that read more slowly than a backend server sends, through a real gateway.
class SlowClientTest : public GatewayFixture
{
protected:
    /// Long enough for the gateway to take hundreds of megabytes if nothing holds it back.
    static constexpr framework::Milliseconds Pause{700};

    SlowClientTest()
        : m_server(*m_loop, [this](const std::string &request) { return m_script(request); })
    {
        // AddressSanitizer keeps freed memory back, which is not held by the gateway.
        setenv("ASAN_OPTIONS", "quarantine_size_mb=0", 0);
        publish();
        put("fast", "models", m_server.endpoint());
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
        m_memoryAtStart = peakMemory();
    }
    /// \param receiveBuffer see RawSocket
    std::unique_ptr<RawSocket> ask(const std::string &id, int receiveBuffer = 0)
    {
        auto client = std::make_unique<RawSocket>(m_gateway.clients, receiveBuffer);
        client->send("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Lavendertally-Request-Id: " + id
                     + "\r\nX-Lavendertally-Deadline-Ms: 3000\r\nApi-Key: key\r\n"
                       "Content-Length: 0\r\n\r\n");
        return client;
    }
    /// \return the body of an answer in chunks, as far as it was received
    static std::string body(RawSocket &client)
    {
        const std::string &bytes = client.received();
        std::size_t position = bytes.find("\r\n\r\n");
        std::string text;
        while (position != std::string::npos && position + 4 < bytes.size()) {
            // Each chunk begins behind the line break of what is before it.
            position = position == bytes.find("\r\n\r\n") ? position + 4 : position + 2;
            const std::size_t lineEnd = bytes.find("\r\n", position);
            if (lineEnd == std::string::npos) {
                break;
            }
            const std::size_t size = std::stoul(bytes.substr(position, 16), nullptr, 16);
            text += bytes.substr(lineEnd + 2, size);
            position = lineEnd + 2 + size;
        }
        return text;
    }
    static bool isWhole(RawSocket &client) { return client.received().ends_with("\r\n0\r\n\r\n"); }

    /// \return whether the gateway holds a backend server back at this moment
    bool isHeldBack()
    {
        const std::string metrics = call(get(m_gateway.metrics, "/metrics")).body;
        return metrics.find("lavendertally_sources_held_back 1") != std::string::npos;
    }
    /// \return largest memory that the gateway has used so far, in bytes
    std::size_t peakMemory() const
    {
        std::ifstream status("/proc/" + std::to_string(m_gateway.process->pid()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6)) * 1024;
            }
        }
        return 0;
    }

    std::function<FloodingServer::Answer(const std::string &)> m_script;
    FloodingServer m_server;
    GatewayProcess m_gateway;
    std::size_t m_memoryAtStart = 0;
};

} // namespace

// Guards against a gateway that keeps in memory what its client does not read.
TEST_F(SlowClientTest, ServerSendsEventsWithoutEnd_MemoryStaysBounded)
{
    m_script = [](const std::string &request) { return endless(request, eventsWithoutId()); };
    startReadyGateway();
    const auto client = ask("r1");
    ASSERT_TRUE(waitFor([&] { return m_server.taken() > 0; }));
    pause(Pause);
    EXPECT_LT(peakMemory() - m_memoryAtStart, MaxMemoryGrowth);
}

// Guards against bytes that are lost, doubled or cut when a stream is held back.
TEST_F(SlowClientTest, ClientPausesAndGoesOn_GetsEveryByteInOrder)
{
    const std::string text = events(LongStream);
    m_script = [&text](const std::string &request) {
        return FloodingServer::Answer{head(request, withLength(text.size())) + text, false, 0, {}};
    };
    startReadyGateway();
    const auto client = ask("r1");
    ASSERT_TRUE(waitFor([&] { return m_server.taken() > 0; }));
    pause(Pause);
    EXPECT_LT(m_server.taken(), text.size());
    EXPECT_TRUE(waitFor([&] { return isWhole(*client) || client->isClosed(); }));
    EXPECT_TRUE(isWhole(*client));
    EXPECT_TRUE(body(*client) == text);
    EXPECT_LT(peakMemory() - m_memoryAtStart, MaxMemoryGrowth);
}

// Guards against a whole answer that is taken for a broken one because its server is gone.
TEST_F(SlowClientTest, AnswerEndsDuringThePause_IsWhole)
{
    startReadyGateway();
    const std::string text = events(ShortStream);
    bool hasEnded = false;
    m_script = [&](const std::string &request) {
        return FloodingServer::Answer{head(request, "Connection: close\r\n") + text, false, 0,
                                      [&](ScriptedServer::Connection &connection) {
                                          ScriptedServer::end(connection);
                                          hasEnded = true;
                                      }};
    };
    const auto client = ask("r1", SmallBuffer);
    ASSERT_TRUE(waitFor([&] { return hasEnded; }));
    pause(Pause);
    EXPECT_TRUE(isHeldBack());
    EXPECT_TRUE(waitFor([&] { return isWhole(*client) || client->isClosed(); }));
    EXPECT_TRUE(isWhole(*client));
    EXPECT_TRUE(body(*client) == text);
}

// Guards against a stream that ends as complete although its server had crashed, when the end is
// read only after the server's registration is gone.
TEST_F(SlowClientTest, ServerCrashesDuringThePause_ClientSeesBrokenAnswer)
{
    startReadyGateway();
    const std::string text = events(ShortStream);
    bool hasCrashed = false;
    m_script = [&](const std::string &request) {
        return FloodingServer::Answer{head(request, "Connection: close\r\n") + text, false, 0,
                                      [&](ScriptedServer::Connection &connection) {
                                          m_server.stopListening();
                                          ScriptedServer::end(connection);
                                          hasCrashed = true;
                                      }};
    };
    const auto client = ask("r1", SmallBuffer);
    ASSERT_TRUE(waitFor([&] { return hasCrashed; }));
    pause(Pause);
    EXPECT_TRUE(isHeldBack());
    m_store.remove("keyed.servers", "fast");
    pause(Pause);
    EXPECT_TRUE(
        waitFor([&] { return isWhole(*client) || client->isClosed() || client->isReset(); }));
    EXPECT_FALSE(isWhole(*client));
}

// Guards against a reset of the server that goes unnoticed while nothing is read from it.
TEST_F(SlowClientTest, ServerResetsDuringThePause_ClientSeesBrokenAnswer)
{
    m_script = [&](const std::string &request) { return endless(request, eventsWithoutId()); };
    startReadyGateway();
    const auto client = ask("r1");
    ASSERT_TRUE(waitFor([&] { return m_server.taken() > 0; }));
    pause(Pause);
    m_server.reset(0);
    EXPECT_TRUE(
        waitFor([&] { return isWhole(*client) || client->isClosed() || client->isReset(); }));
    EXPECT_FALSE(isWhole(*client));
}

// Guards against a slot of a backend server that stays taken for a client that has left.
TEST_F(SlowClientTest, ClientLeavesDuringThePause_ServerIsReleased)
{
    m_script = [](const std::string &request) { return endless(request, eventsWithoutId()); };
    startReadyGateway();
    auto client = ask("r1");
    ASSERT_TRUE(waitFor([&] { return m_server.taken() > 0; }));
    pause(Pause);
    client.reset();
    EXPECT_TRUE(waitFor([&] { return m_server.isClosed(0); }));
}

// Guards against a slow client that holds up others, and against blame for the server it holds.
TEST_F(SlowClientTest, OneStreamIsHeldBack_OthersOfTheSameServerGoOn)
{
    const std::string text = events(10000);
    m_script = [&](const std::string &request) {
        if (field(request, "X-Lavendertally-Request-Id") == "slow") {
            return endless(request, eventsWithoutId());
        }
        return FloodingServer::Answer{head(request, withLength(text.size())) + text, false, 0, {}};
    };
    startReadyGateway();
    const auto slow = ask("slow");
    ASSERT_TRUE(waitFor([&] { return m_server.taken() > 0; }));
    pause(Pause);
    const auto quick = ask("quick");
    EXPECT_TRUE(waitFor([&] { return isWhole(*quick); }));
    EXPECT_TRUE(isReady(m_gateway));
    // The time of the held stream runs out, which is not the server's fault.
    EXPECT_TRUE(waitFor([&] { return m_server.isClosed(0); }));
    const auto next = ask("next");
    EXPECT_TRUE(waitFor([&] { return isWhole(*next) || next->isClosed(); }));
    EXPECT_TRUE(isWhole(*next));
    EXPECT_TRUE(waitFor([&] { return slow->isClosed() || slow->isReset(); }));
    EXPECT_FALSE(isWhole(*slow));
}

// Guards against text that is no answer in the protocol and is passed on until the deadline.
TEST_F(SlowClientTest, TextThatIsNoEvent_IsRefusedWithinABound)
{
    const std::string text = std::string(1000, 'z') + "\n\n";
    m_script = [&text](const std::string &request) { return endless(request, text); };
    startReadyGateway();
    const auto client = ask("r1");
    EXPECT_TRUE(waitFor([&] { return client->isClosed() || client->isReset(); }));
    EXPECT_FALSE(isWhole(*client));
    EXPECT_LT(client->received().size(), Megabyte);
}
