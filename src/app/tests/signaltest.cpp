#include "app/tests/gatewayfixture.h"

using namespace lavendertally;
using namespace lavendertally::app;

namespace {

class SignalTest : public GatewayFixture
{
protected:
    static constexpr framework::Milliseconds EndLimit{10000};
};

} // namespace

TEST_F(SignalTest, StopSignalIsRepeatedWhileARequestIsInFlight_RequestIsAnswered)
{
    publish();
    registerServers();
    m_desk.setWorkTime(framework::Milliseconds(1500));
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    http::HttpResponse response;
    bool ended = false;
    const auto call =
        m_client->fetch(ask(gateway, "/book/x", "r1"), [&](http::HttpResponse received) {
            response = std::move(received);
            ended = true;
        });
    ASSERT_TRUE(waitFor([this] { return m_desk.runs("r1") == 1; }));
    for (int each = 0; each < 3; ++each) {
        gateway.process->signal(SIGTERM);
        pause(framework::Milliseconds(100));
    }
    ASSERT_TRUE(waitFor([&ended] { return ended; }));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.end, http::HttpEnd::Complete);
    EXPECT_EQ(gateway.process->wait(EndLimit), 0);
}

TEST_F(SignalTest, InterruptIsRepeated_ProcessEndsAtOnce)
{
    publish();
    registerServers();
    const GatewayProcess gateway = startGateway("g1");
    ASSERT_TRUE(waitFor([&] { return isReady(gateway); }));
    gateway.process->signal(SIGTERM);
    pause(framework::Milliseconds(100));
    gateway.process->signal(SIGINT);
    EXPECT_EQ(gateway.process->wait(framework::Milliseconds(1000)), EXIT_FAILURE);
}
