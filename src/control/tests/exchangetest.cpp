#include "control/controlmodule.h"
#include "control/icontrolclient.h"
#include "control/icontrolserver.h"
#include "control/types/controlerror.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/itimer.h"
#include "protocol/imessagecodec.h"
#include "protocol/protocolmodule.h"

#include <gtest/gtest.h>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <optional>

using namespace lavendertally;
using namespace lavendertally::control;
using framework::Milliseconds;

namespace {

constexpr Milliseconds LongTimeout{10000};
constexpr Milliseconds ShortTimeout{100};

protocol::RevisionQuery queryFrom(std::uint64_t revision)
{
    return {framework::DaemonId("asker"), framework::LogOffset(revision)};
}

/// Result of one query.
struct Outcome
{
    std::optional<protocol::Message> answer;
    std::optional<ControlError> error;
};

Outcome outcomeOf(framework::Result<protocol::Message> result)
{
    return framework::leaf::try_handle_all(
        [&]() -> framework::Result<Outcome> {
            BOOST_LEAF_AUTO(message, std::move(result));
            return Outcome{message, std::nullopt};
        },
        [](ControlError error) {
            return Outcome{std::nullopt, error};
        },
        [] { return Outcome{}; });
}

std::uint64_t revisionOf(const Outcome &outcome)
{
    if (!outcome.answer) {
        return 0;
    }
    return std::get<protocol::RevisionReply>(*outcome.answer).revision.value();
}

} // namespace

class ExchangeTest : public testing::Test
{
protected:
    ExchangeTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_clock(framework::FrameworkModule::makeSystemClock()),
          m_metrics(framework::FrameworkModule::makeMetrics()),
          m_codec(protocol::ProtocolModule::makeCodec()),
          m_guard(m_loop->callAfter(LongTimeout, [this] { m_loop->stop(); }))
    {
        m_limits.maxQuery = framework::Bytes(1024);
        m_client = ControlModule::makeClient(*m_loop, *m_clock, *m_codec, *m_metrics, m_limits);
        startServer({"127.0.0.1", 0});
    }

    /// Starts a server that answers each query with the successor of its revision.
    void startServer(const framework::Endpoint &endpoint)
    {
        m_server = ControlModule::makeServer(*m_loop, *m_codec, *m_metrics, m_limits);
        m_server->setHandler(
            [](const protocol::Message &message) -> std::optional<protocol::Message> {
                const auto *query = std::get_if<protocol::RevisionQuery>(&message);
                if (query == nullptr) {
                    return std::nullopt;
                }
                return protocol::RevisionReply{
                    framework::DaemonId("answerer"), query->revision.next(), "", {}};
            });
        m_endpoint = m_server->listen(endpoint).value();
    }

    Outcome ask(const framework::Endpoint &peer, const protocol::Message &query,
                Milliseconds timeout)
    {
        Outcome outcome;
        m_client->sendQuery(peer, query, timeout, [&](framework::Result<protocol::Message> result) {
            outcome = outcomeOf(std::move(result));
            m_loop->stop();
        });
        m_loop->run();
        return outcome;
    }

    bool metricsContain(const std::string &text) const
    {
        return m_metrics->prometheusText().find(text) != std::string::npos;
    }

    ControlLimits m_limits;
    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<framework::IClock> m_clock;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<protocol::IMessageCodec> m_codec;
    std::unique_ptr<framework::ITimer> m_guard;
    std::unique_ptr<IControlClient> m_client;
    std::unique_ptr<IControlServer> m_server;
    framework::Endpoint m_endpoint;
};

TEST_F(ExchangeTest, Query_GetsItsOwnAnswer)
{
    EXPECT_EQ(revisionOf(ask(m_endpoint, queryFrom(4), LongTimeout)), 5U);
}

TEST_F(ExchangeTest, ManyBurstsOfQueries_EachGetsItsOwnAnswer)
{
    constexpr std::uint64_t Bursts = 500;
    constexpr std::uint64_t Count = 4;
    ASSERT_EQ(revisionOf(ask(m_endpoint, queryFrom(0), LongTimeout)), 1U);
    for (std::uint64_t burst = 0; burst < Bursts; ++burst) {
        std::uint64_t answered = 0;
        for (std::uint64_t i = 0; i < Count; ++i) {
            m_client->sendQuery(m_endpoint, queryFrom(burst + i), ShortTimeout * 10,
                                [&, burst, i](framework::Result<protocol::Message> result) {
                                    EXPECT_EQ(revisionOf(outcomeOf(std::move(result))),
                                              burst + i + 1);
                                    if (++answered == Count) {
                                        m_loop->stop();
                                    }
                                });
        }
        m_loop->run();
        ASSERT_EQ(answered, Count);
    }
}

TEST_F(ExchangeTest, UnansweredQuery_TimesOutAndServerKeepsAnswering)
{
    const protocol::LoadQuery unanswered{framework::DaemonId("asker"), framework::LogOffset(1)};
    EXPECT_EQ(ask(m_endpoint, unanswered, ShortTimeout).error, ControlError::TimedOut);
    EXPECT_TRUE(metricsContain("control_dropped_total{reason=\"unanswered\"} 1"));
    EXPECT_EQ(revisionOf(ask(m_endpoint, queryFrom(4), LongTimeout)), 5U);
}

TEST_F(ExchangeTest, OversizedQuery_IsCountedAndServerKeepsAnswering)
{
    protocol::RevisionQuery query = queryFrom(1);
    for (const std::size_t size : {2048, 1024 * 1024}) {
        SCOPED_TRACE(size);
        query.sender = framework::DaemonId(std::string(size, 'x'));
        EXPECT_EQ(ask(m_endpoint, query, ShortTimeout).error, ControlError::TimedOut);
        EXPECT_EQ(revisionOf(ask(m_endpoint, queryFrom(4), LongTimeout)), 5U);
    }
    EXPECT_TRUE(metricsContain("control_dropped_total{reason=\"oversized\"} 1"));
}

TEST_F(ExchangeTest, MalformedQuery_IsCountedAndServerKeepsAnswering)
{
    nng_socket raw = NNG_SOCKET_INITIALIZER;
    ASSERT_EQ(nng_req0_open(&raw), 0);
    ASSERT_EQ(nng_dial(raw, ("tcp://" + m_endpoint.toString()).c_str(), nullptr, 0), 0);
    std::string noise = "\xff\xfe not a message";
    ASSERT_EQ(nng_send(raw, noise.data(), noise.size(), 0), 0);
    while (!metricsContain("control_dropped_total{reason=\"malformed\"} 1")) {
        ASSERT_EQ(revisionOf(ask(m_endpoint, queryFrom(4), LongTimeout)), 5U);
    }
    nng_close(raw);
}

TEST_F(ExchangeTest, MalformedAnswer_FailsThatQuery)
{
    nng_socket raw = NNG_SOCKET_INITIALIZER;
    ASSERT_EQ(nng_rep0_open(&raw), 0);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    ASSERT_EQ(nng_listen(raw, "tcp://127.0.0.1:0", &listener, 0), 0);
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    std::optional<ControlError> error;
    m_client->sendQuery({"127.0.0.1", static_cast<std::uint16_t>(port)}, queryFrom(1), LongTimeout,
                        [&](framework::Result<protocol::Message> result) {
                            error = outcomeOf(std::move(result)).error;
                            m_loop->stop();
                        });
    nng_msg *query = nullptr;
    ASSERT_EQ(nng_recvmsg(raw, &query, 0), 0);
    nng_msg_free(query);
    std::string noise = "\xff\xfe";
    ASSERT_EQ(nng_send(raw, noise.data(), noise.size(), 0), 0);
    m_loop->run();
    nng_close(raw);
    EXPECT_EQ(error, ControlError::MalformedAnswer);
}

TEST_F(ExchangeTest, PausedPeerAnswersAfterTimeout_LateAnswerIsDroppedAndCounted)
{
    nng_socket frozen = NNG_SOCKET_INITIALIZER;
    ASSERT_EQ(nng_rep0_open(&frozen), 0);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    ASSERT_EQ(nng_listen(frozen, "tcp://127.0.0.1:0", &listener, 0), 0);
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    const framework::Endpoint peer{"127.0.0.1", static_cast<std::uint16_t>(port)};
    EXPECT_EQ(ask(peer, queryFrom(1), ShortTimeout).error, ControlError::TimedOut);

    Outcome second;
    m_client->sendQuery(peer, queryFrom(2), LongTimeout,
                        [&](framework::Result<protocol::Message> result) {
                            second = outcomeOf(std::move(result));
                            m_loop->stop();
                        });
    for (const std::uint64_t revision : {101, 102}) {
        nng_msg *query = nullptr;
        ASSERT_EQ(nng_recvmsg(frozen, &query, 0), 0);
        nng_msg_free(query);
        std::string answer = m_codec->encode(protocol::RevisionReply{
            framework::DaemonId("frozen"), framework::LogOffset(revision), "", {}});
        ASSERT_EQ(nng_send(frozen, answer.data(), answer.size(), 0), 0);
    }
    m_loop->run();
    nng_close(frozen);
    EXPECT_EQ(revisionOf(second), 102U);
    EXPECT_TRUE(metricsContain("control_dropped_total{reason=\"late_answer\"} 1"));
}

TEST_F(ExchangeTest, PeerRestarts_QueriesSucceedAgain)
{
    EXPECT_EQ(revisionOf(ask(m_endpoint, queryFrom(1), LongTimeout)), 2U);
    m_server.reset();
    for (int i = 0; i < ControlLimits{}.maxTimeoutsInRow; ++i) {
        EXPECT_EQ(ask(m_endpoint, queryFrom(1), ShortTimeout).error, ControlError::TimedOut);
    }
    EXPECT_TRUE(metricsContain("lavendertally_control_peers 0"))
        << "the connection to the dead peer was kept";
    startServer(m_endpoint);
    EXPECT_EQ(revisionOf(ask(m_endpoint, queryFrom(7), LongTimeout)), 8U);
}

TEST_F(ExchangeTest, MorePeersThanMaxPeers_LeastRecentlyUsedIsClosed)
{
    m_limits.maxPeers = 2;
    m_client = ControlModule::makeClient(*m_loop, *m_clock, *m_codec, *m_metrics, m_limits);
    std::vector<std::unique_ptr<IControlServer>> servers;
    for (std::uint64_t i = 0; i < 5; ++i) {
        EXPECT_EQ(revisionOf(ask(m_endpoint, queryFrom(i), LongTimeout)), i + 1);
        servers.push_back(std::move(m_server));
        startServer({"127.0.0.1", 0});
    }
    EXPECT_TRUE(metricsContain("lavendertally_control_peers 2"));
}

TEST_F(ExchangeTest, AllConnectionsHaveQueriesInFlight_FurtherPeerIsRejected)
{
    m_limits.maxPeers = 1;
    m_client = ControlModule::makeClient(*m_loop, *m_clock, *m_codec, *m_metrics, m_limits);
    m_client->sendQuery({"127.0.0.1", 1}, queryFrom(1), LongTimeout, [](const auto &) {});
    EXPECT_EQ(ask(m_endpoint, queryFrom(1), LongTimeout).error, ControlError::TooManyPeers);
}

TEST_F(ExchangeTest, AddressInUse_ListenFails)
{
    const auto other = ControlModule::makeServer(*m_loop, *m_codec, *m_metrics, m_limits);
    const Outcome outcome = framework::leaf::try_handle_all(
        [&]() -> framework::Result<Outcome> {
            BOOST_LEAF_CHECK(other->listen(m_endpoint));
            return Outcome{};
        },
        [](ControlError error) {
            return Outcome{std::nullopt, error};
        },
        [] { return Outcome{}; });
    EXPECT_EQ(outcome.error, ControlError::ListenFailed);
}
