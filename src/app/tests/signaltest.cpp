#include "app/tests/gatewayfixture.h"

#include <sys/stat.h>

using namespace lavendertally;
using namespace lavendertally::app;

namespace {

class SignalTest : public GatewayFixture
{
protected:
    static constexpr framework::Milliseconds EndLimit{10000};
    /// Time for a process to come to the point where it waits for its settings.
    static constexpr framework::Milliseconds StartTime{300};

    /// Starts a gateway whose settings file is a pipe, so that it waits in the middle of its start.
    void startWaitingForSettings()
    {
        m_settings = m_folder + "/settings.yaml";
        ASSERT_EQ(mkfifo(m_settings.c_str(), 0600), 0);
        m_waiting = std::make_unique<localfleet::ChildProcess>(
            std::string(LAVENDERTALLY_BINARY_DIR) + "/lavendertallyd",
            std::vector<std::string>{"--settings", m_settings}, m_folder + "/waiting.log");
        pause(StartTime);
    }
    void provideSettings()
    {
        // Opened for both directions, since the process may be gone and a pipe without a reader
        // blocks.
        std::fstream(m_settings, std::ios::in | std::ios::out)
            << "role: gateway\nid: g1\nhost: g1\navailability_zone: za\n"
               "listen: 127.0.0.1:0\nready_listen: 127.0.0.1:0\n"
               "control_listen: 127.0.0.1:0\nmetrics_listen: 127.0.0.1:0\n"
               "store: "
            << m_storeEndpoint.toString()
            << "\nrevocation_limit: 2500ms\nshutdown_grace: 3s\n"
               "log_format: json\n";
    }

    std::string m_settings;
    std::unique_ptr<localfleet::ChildProcess> m_waiting;
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

TEST_F(SignalTest, HangupComesWhileTheProcessStarts_ItStarts)
{
    startWaitingForSettings();
    m_waiting->signal(SIGHUP);
    provideSettings();
    EXPECT_TRUE(m_waiting->waitForLine("{\"clients\"", StartLimit));
    EXPECT_FALSE(m_waiting->wait(StartTime)) << "ended by itself";
}

TEST_F(SignalTest, StopSignalComesWhileTheProcessStarts_ItEndsInOrder)
{
    startWaitingForSettings();
    m_waiting->signal(SIGTERM);
    provideSettings();
    EXPECT_EQ(m_waiting->wait(EndLimit), EXIT_SUCCESS);
}

TEST_F(SignalTest, HangupsComeUntilTheProcessIsGone_ItEndsInOrder)
{
    const GatewayProcess gateway = startGateway("g1");
    gateway.process->signal(SIGTERM);
    std::optional<int> status;
    while (!status) {
        gateway.process->signal(SIGHUP);
        status = gateway.process->wait(framework::Milliseconds(0));
    }
    EXPECT_EQ(status, EXIT_SUCCESS);
}
