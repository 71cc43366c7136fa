#include "app/tests/gatewayfixture.h"
#include "http/tests/scriptedserver.h"

#include <algorithm>

using namespace lavendertally;
using namespace lavendertally::app;

namespace {

constexpr int Cap = 6;
constexpr framework::Milliseconds ServiceTime{10};
constexpr int CallsAtOnce = 5;
constexpr int Rounds = 4;

/// \return the id of the first request in \p received
std::string requestId(const std::string &received)
{
    const std::string name = "X-Lavendertally-Request-Id: ";
    const std::size_t start = received.find(name) + name.size();
    return received.substr(start, received.find('\r', start) - start);
}

} // namespace

/// A backend server that resets each connection over its cap.
class ConnectionCapTest : public GatewayFixture
{
protected:
    ConnectionCapTest()
        : m_capped(*m_loop, [this](http::ScriptedServer::Connection &each) { received(each); })
    {
        m_capped.onAccept([this](http::ScriptedServer::Connection &each) {
            m_most = std::max(m_most, m_capped.openConnections());
            if (m_capped.openConnections() > Cap) {
                ++m_resets;
                http::ScriptedServer::reset(each);
            }
        });
        m_deskConnections = Cap;
        publish();
        const nlohmann::json entry = {{"service", "desk"},
                                      {"zone", "za"},
                                      {"address", m_capped.endpoint().toString()},
                                      {"slots", 4},
                                      {"state", "ready"}};
        m_store.put("keyed.servers", "desk", entry.dump());
    }

    void received(http::ScriptedServer::Connection &connection)
    {
        if (connection.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const std::string id = requestId(connection.received);
        connection.received.clear();
        m_timers.push_back(m_loop->callAfter(ServiceTime, [&connection, id] {
            if (connection.fd >= 0) {
                http::ScriptedServer::send(connection,
                                           "HTTP/1.1 200 OK\r\nX-Lavendertally-Request-Id: " + id
                                               + "\r\nX-Lavendertally-Response-Signature: "
                                                 "s\r\nContent-Length: 2\r\n\r\nok");
            }
        }));
    }
    /// Sends calls to all gateways at once.
    /// \return the statuses of the answers
    std::vector<int> callAll(const std::vector<GatewayProcess> &gateways, int round)
    {
        std::vector<int> statuses;
        std::vector<std::unique_ptr<http::IHttpCall>> calls;
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            for (int count = 0; count < CallsAtOnce; ++count) {
                const std::string id = "r" + std::to_string(round) + "-" + std::to_string(index)
                    + "-" + std::to_string(count);
                calls.push_back(m_client->fetch(ask(gateways[index], "/book/1", id.c_str()),
                                                [&statuses](const http::HttpResponse &response) {
                                                    statuses.push_back(response.status);
                                                }));
            }
        }
        EXPECT_TRUE(waitFor([&] { return statuses.size() == calls.size(); }));
        return statuses;
    }

    http::ScriptedServer m_capped;
    std::size_t m_most = 0;
    int m_resets = 0;
    std::vector<std::unique_ptr<framework::ITimer>> m_timers;
};

/// Guards against connections over the cap summed over gateways, which the server resets, and
/// against requests that are answered as lost for that.
TEST_F(ConnectionCapTest, ThreeGatewaysBeforeOneServer_CapHolds)
{
    std::vector<GatewayProcess> gateways;
    for (const char *id : {"g1", "g2", "g3"}) {
        gateways.push_back(startGateway(id));
    }
    for (const GatewayProcess &gateway : gateways) {
        ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    }
    int served = 0;
    for (int round = 0; round < Rounds; ++round) {
        for (const int status : callAll(gateways, round)) {
            EXPECT_TRUE(status == 200 || status == 503) << status;
            served += status == 200 ? 1 : 0;
        }
    }
    EXPECT_GT(served, 0);
    EXPECT_EQ(m_resets, 0);
    EXPECT_LE(m_most, static_cast<std::size_t>(Cap));
}
