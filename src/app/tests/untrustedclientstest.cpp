#include "app/tests/clientcrowd.h"
#include "app/tests/gatewayfixture.h"
#include "http/tests/floodingserver.h"

#include <iterator>

using namespace lavendertally;
using namespace lavendertally::app;
using http::FloodingServer;
using http::HttpResponse;

namespace {

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Megabyte = 1024 * Kilobyte;

/// Limits of the gateway in these tests.
constexpr std::size_t MemoryLimit = 48 * Megabyte;
constexpr std::size_t DescriptorLimit = 300;
constexpr std::size_t BodyLimit = Megabyte;

/// Part of a body that is missing at its end.
constexpr std::size_t MissingBytes = 1000;

/// A text that a gateway takes for a body in chunks of \p chunkSize bytes which goes on.
std::string chunks(std::size_t bytes, std::size_t chunkSize)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkSize);
    const std::string chunk = size.data() + std::string(chunkSize, 'b') + "\r\n";
    std::string text;
    text.reserve(bytes / chunkSize * chunk.size());
    for (std::size_t sent = 0; sent + chunkSize <= bytes; sent += chunkSize) {
        text += chunk;
    }
    return text;
}

std::string head(const std::string &target, std::size_t number, const std::string &framing)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nX-Lavendertally-Request-Id: crowd"
        + std::to_string(number) + "\r\nX-Lavendertally-Deadline-Ms: 3000\r\nApi-Key: key\r\n"
        + framing + "\r\n";
}

ClientCrowd::Script bodies(const std::string &framing, std::string body)
{
    ClientCrowd::Script script;
    script.head = [framing](std::size_t number) { return head("/book/x", number, framing); };
    script.body = std::move(body);
    return script;
}

/// Crowds of clients that the operator does not control, through a real gateway with low limits.
/// Clients and ordinary caller have the same address, as behind a load balancer.
class UntrustedClientsTest : public GatewayFixture
{
protected:
    UntrustedClientsTest()
    {
        // AddressSanitizer keeps freed memory back, which is not held by the gateway.
        setenv("ASAN_OPTIONS", "quarantine_size_mb=0", 0);
        // Clients that are silent stay for as long as a test may take.
        m_requestLimits = {{"maxBodyBytes", BodyLimit}, {"headerTimeoutMs", 60000}};
        m_moreSettings = "memory_limit: " + std::to_string(MemoryLimit / Megabyte)
            + "MB\ndescriptor_limit: " + std::to_string(DescriptorLimit) + "\n";
    }

    void startReadyGateway()
    {
        publish();
        registerServers();
        m_gateway = startGateway("g1");
        ASSERT_TRUE(waitFor([&] { return isReady(m_gateway); }));
        ASSERT_TRUE(waitFor([&] { return order().status == 200; }));
#ifdef __SANITIZE_ADDRESS__
        // An instrumented process needs more than the limit before any client comes.
        m_instrumentation = peakMemory();
#endif
    }
    /// Has \p crowd send all that it can.
    void send(ClientCrowd &crowd)
    {
        EXPECT_TRUE(waitFor([&] {
            noteDescriptors();
            return crowd.pump();
        }));
    }
    /// Sends one ordinary request with a small body.
    HttpResponse order()
    {
        const std::string id = "ordinary" + std::to_string(m_orders++);
        auto request = ask(m_gateway, "/book/x", id.c_str());
        request.body = std::string(100, 'o');
        return call(request);
    }
    /// \return whether an ordinary request, repeated after refusals, is answered while \p crowd
    /// goes on
    bool isServedBeside(ClientCrowd &crowd)
    {
        framework::TimePoint nextTrickle = m_clock->now();
        return waitFor([&] {
            crowd.pump();
            noteDescriptors();
            if (m_clock->now() >= nextTrickle) {
                crowd.trickle();
                nextTrickle = m_clock->now() + framework::Milliseconds(1000);
            }
            return order().status == 200;
        });
    }
    void noteDescriptors()
    {
        const std::filesystem::directory_iterator folder(
            "/proc/" + std::to_string(m_gateway.process->pid()) + "/fd");
        const auto count = static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
        m_mostDescriptors = std::max(m_mostDescriptors, count);
    }
    /// \return largest memory that the gateway has used so far, in bytes
    std::size_t peakMemory() const
    {
        std::ifstream status("/proc/" + std::to_string(m_gateway.process->pid()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6)) * Kilobyte;
            }
        }
        ADD_FAILURE() << "the gateway has ended";
        return 0;
    }
    void expectWithinLimits()
    {
        noteDescriptors();
        RecordProperty("peak_memory_kb", std::to_string(peakMemory() / Kilobyte));
        RecordProperty("most_descriptors", std::to_string(m_mostDescriptors));
        EXPECT_GT(peakMemory(), 0U);
        EXPECT_LE(peakMemory(), MemoryLimit + m_instrumentation);
        EXPECT_LE(m_mostDescriptors, DescriptorLimit);
    }
    /// Checks that \p crowd stays within the limits and does not keep an ordinary caller out, while
    /// it is there and after it has left.
    void expectHeldBy(std::size_t size, ClientCrowd::Script script)
    {
        startReadyGateway();
        {
            ClientCrowd crowd(m_gateway.clients, size, std::move(script));
            send(crowd);
            EXPECT_TRUE(isServedBeside(crowd));
            EXPECT_TRUE(isReady(m_gateway));
            expectWithinLimits();
        }
        EXPECT_TRUE(waitFor([&] { return order().status == 200; }));
        expectWithinLimits();
    }

    GatewayProcess m_gateway;
    int m_orders = 0;
    /// Memory that is not the product's; zero without sanitizers.
    std::size_t m_instrumentation = 0;
    std::size_t m_mostDescriptors = 0;
};

} // namespace

// Guards against requests sent ahead, and their unread answers, that are collected in memory.
TEST_F(UntrustedClientsTest, RequestsSentAheadAndAnswersUnread_StaysWithinLimits)
{
    ClientCrowd::Script script;
    script.head = [](std::size_t /*number*/) { return std::string(); };
    const std::string longPath = "/none/" + std::string(500, 'p');
    for (std::size_t number = 0; number < 10000; ++number) {
        script.body += head(longPath, number, "Content-Length: 0\r\n");
    }
    script.receiveBuffer = 4096;
    startReadyGateway();
    ClientCrowd crowd(m_gateway.clients, 40, script);
    for (int round = 0; round < 100; ++round) {
        crowd.pump();
        pause(PollInterval);
    }
    EXPECT_TRUE(isServedBeside(crowd));
    expectWithinLimits();
}

// Guards against bodies that take all memory, or the room of all others, while they are complete
// but for a few bytes and nothing more comes.
TEST_F(UntrustedClientsTest, LargeBodiesStopShort_OrdinaryCallerIsServed)
{
    expectHeldBy(100,
                 bodies("Content-Length: " + std::to_string(BodyLimit) + "\r\n",
                        std::string(BodyLimit - MissingBytes, 'b')));
}

// Guards against a time limit that each byte starts again, so that slow bodies keep the room of all
// others for ever.
TEST_F(UntrustedClientsTest, LargeBodiesGoOnByteByByte_OrdinaryCallerIsServed)
{
    auto script = bodies("Content-Length: " + std::to_string(BodyLimit) + "\r\n",
                         std::string(BodyLimit - MissingBytes, 'b'));
    script.reopens = true;
    expectHeldBy(100, script);
}

// Guards against whole bodies that arrive at once and are held together with their copies.
TEST_F(UntrustedClientsTest, WholeLargeBodies_StaysWithinLimits)
{
    expectHeldBy(100,
                 bodies("Content-Length: " + std::to_string(BodyLimit) + "\r\n",
                        std::string(BodyLimit, 'b')));
}

// Guards against bodies without a stated size that are counted too low, or held on after a refusal.
TEST_F(UntrustedClientsTest, LargeChunksStopShort_OrdinaryCallerIsServed)
{
    expectHeldBy(
        200,
        bodies("Transfer-Encoding: chunked\r\n", chunks(BodyLimit - MissingBytes, 16 * Kilobyte)));
}

// Guards against bytes that cost many times their size, and against bodies held on after a refusal.
TEST_F(UntrustedClientsTest, OneByteChunksStopShort_OrdinaryCallerIsServed)
{
    auto script = bodies("Transfer-Encoding: chunked\r\n", chunks(BodyLimit - MissingBytes, 1));
    script.trickle = "1\r\nb\r\n";
    expectHeldBy(100, script);
}

// Guards against heads that are collected without a bound on all of them together.
TEST_F(UntrustedClientsTest, HeadsDoNotEnd_OrdinaryCallerIsServed)
{
    m_requestLimits["maxHeaderBytes"] = 64 * Kilobyte;
    ClientCrowd::Script script;
    script.head = [](std::size_t /*number*/) { return "POST /book/x HTTP/1.1\r\nHost: h\r\nX: "; };
    script.body = std::string(60 * Kilobyte, 'h');
    script.trickle = "h";
    expectHeldBy(600, script);
}

// Guards against idle connections that use up the descriptors of all others.
TEST_F(UntrustedClientsTest, IdleConnections_OrdinaryCallerIsServed)
{
    ClientCrowd::Script script;
    script.head = [](std::size_t /*number*/) { return std::string(); };
    script.trickle = "";
    expectHeldBy(400, script);
}

// Guards against streams whose clients read nothing, and which take memory or all descriptors.
TEST_F(UntrustedClientsTest, StreamsThatNobodyReads_StaysWithinLimits)
{
    const std::string event = "data: " + std::string(1000, 'e') + "\n\n";
    FloodingServer server(*m_loop, [&event](const std::string &request) {
        const std::string name = "X-Lavendertally-Request-Id: ";
        const std::size_t value = request.find(name) + name.size();
        const std::string begin = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + name
            + request.substr(value, request.find('\r', value) - value)
            + "\r\nX-Lavendertally-Response-Signature: s\r\nContent-Length: 1000000000\r\n\r\n"
              "id: 1\ndata: e\n\n";
        std::string text = begin;
        while (text.size() < Megabyte) {
            text += event;
        }
        return FloodingServer::Answer{text, true, begin.size(), {}};
    });
    m_store.put("keyed.servers", "flood",
                nlohmann::json{{"service", "models"},
                               {"zone", "za"},
                               {"address", server.endpoint().toString()},
                               {"slots", 200},
                               {"state", "ready"}}
                    .dump());
    startReadyGateway();
    m_store.remove("keyed.servers", "model");
    m_store.remove("keyed.servers", "othermodel");
    ClientCrowd::Script script;
    script.head = [](std::size_t number) {
        return head("/stream/x", number, "Content-Length: 0\r\n");
    };
    script.receiveBuffer = 4096;
    ClientCrowd crowd(m_gateway.clients, 200, script);
    send(crowd);
    pause(framework::Milliseconds(1000));
    EXPECT_TRUE(isServedBeside(crowd));
    expectWithinLimits();
}
