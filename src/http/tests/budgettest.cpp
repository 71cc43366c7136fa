#include "budget/budgetmodule.h"
#include "budget/iresourcebudget.h"
#include "framework/testing/fakeclock.h"
#include "http/tests/rawserverfixture.h"
#include "http/tests/rawsocket.h"

#include <utility>

using namespace lavendertally;
using namespace lavendertally::http;

/// Server whose clients have a budget.
class BudgetedServerTest : public RawServerTest
{
protected:
    /// \param memory for all clients
    void restart(std::int64_t memory, std::uint32_t connections, const HttpLimits &limits)
    {
        m_budget =
            budget::BudgetModule::makeBudget({framework::Bytes(memory), connections, 10}, m_clock);
        m_server = HttpModule::makeServer(*m_loop, limits, m_budget);
        m_endpoint = m_server->listen({"127.0.0.1", 0}).value();
        m_server->setHandler([this](const std::shared_ptr<IHttpExchange> &exchange) {
            m_bodies.push_back(exchange->body());
            exchange->reply(200, "text/plain", "ok");
        });
        m_server->onRefused([this](int status) { m_refused.push_back(status); });
    }
    static HttpLimits largeLimits()
    {
        HttpLimits limits = RawServerTest::limits();
        limits.maxBody = framework::Bytes(1000000);
        limits.requestTimeout = GenerousTimeout;
        limits.idleTimeout = GenerousTimeout;
        return limits;
    }
    static std::string post(std::size_t length)
    {
        return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length)
            + "\r\n\r\n";
    }
    bool isAnswered(RawSocket &client, const char *status)
    {
        return runUntil(
            [&] { return client.received().starts_with(std::string("HTTP/1.1 ") + status + ' '); });
    }

    framework::FakeClock m_clock;
    std::shared_ptr<budget::IResourceBudget> m_budget;
    std::vector<int> m_refused;
};

// Guards against request bodies that together fill the memory although each is within its limit.
TEST_F(BudgetedServerTest, BodiesTogetherExceedTheBudget_NewOneIsRefusedAsNotRun)
{
    std::vector<std::shared_ptr<IHttpExchange>> open;
    restart(250000, 10, largeLimits());
    m_server->setHandler([&open](const auto &exchange) { open.push_back(exchange); });
    RawSocket first(m_endpoint);
    first.send(post(50000) + std::string(50000, 'a'));
    ASSERT_TRUE(runUntil([&] { return open.size() == 1; }));
    RawSocket second(m_endpoint);
    second.send(post(60000) + std::string(60000, 'b'));
    EXPECT_TRUE(isAnswered(second, "503"));
    EXPECT_NE(second.received().find("Retry-After: 1\r\n"), std::string::npos);
    EXPECT_EQ(open.size(), 1U);
    EXPECT_EQ(m_refused, std::vector<int>{503});
    open.front()->reply(200, {}, {});
    open.clear();
    ASSERT_TRUE(isAnswered(first, "200"));
    RawSocket third(m_endpoint);
    third.send(post(60000) + std::string(60000, 'c'));
    EXPECT_TRUE(runUntil([&] { return open.size() == 1; }));
}

// Guards against memory that an announcement takes before anything has arrived.
TEST_F(BudgetedServerTest, BodyIsAnnouncedAndDoesNotCome_TakesNoMemory)
{
    restart(200000, 10, largeLimits());
    RawSocket announced(m_endpoint);
    announced.send(post(1000000));
    RawSocket other(m_endpoint);
    other.send(post(50000) + std::string(50000, 'b'));
    EXPECT_TRUE(isAnswered(other, "200"));
    EXPECT_TRUE(announced.received().empty());
}

// Guards against a body that stops short and keeps others out, and is held on after its refusal.
TEST_F(BudgetedServerTest, BodyStopsShort_GivesWayToAnother)
{
    restart(200000, 10, largeLimits());
    RawSocket stopped(m_endpoint);
    stopped.send(post(200000) + std::string(100000, 'a'));
    ASSERT_TRUE(runUntil([&] { return m_budget->usage().memory.value() > 100000; }));
    m_clock.advance(framework::Milliseconds(60000));
    RawSocket other(m_endpoint);
    other.send(post(50000) + std::string(50000, 'b'));
    EXPECT_TRUE(isAnswered(other, "200"));
    EXPECT_TRUE(isAnswered(stopped, "503"));
    EXPECT_LT(m_budget->usage().memory.value(), 20000);
}

// Guards against a body that keeps its memory for ever with a byte now and then.
TEST_F(BudgetedServerTest, BodyComesTooSlowly_IsRefused)
{
    HttpLimits limits = largeLimits();
    limits.requestTimeout = framework::Milliseconds(200);
    limits.minBodyRate = framework::Bytes(1000);
    restart(200000, 10, limits);
    RawSocket slow(m_endpoint);
    slow.send(post(100000) + std::string(50000, 'a'));
    std::unique_ptr<framework::ITimer> trickle;
    std::function<void()> sendByte = [&] {
        slow.send("a");
        trickle = m_loop->callAfter(framework::Milliseconds(20), sendByte);
    };
    sendByte();
    EXPECT_TRUE(isAnswered(slow, "408"));
}

// Guards against idle connections that keep others out.
TEST_F(BudgetedServerTest, ConnectionsAreUsedUp_TheLongestIdleGivesWay)
{
    restart(200000, 2, largeLimits());
    RawSocket idle(m_endpoint);
    ASSERT_TRUE(runUntil([&] { return m_budget->usage().connections == 1; }));
    m_clock.advance(framework::Milliseconds(10));
    RawSocket second(m_endpoint);
    ASSERT_TRUE(runUntil([&] { return m_budget->usage().connections == 2; }));
    RawSocket third(m_endpoint);
    third.send(post(10) + std::string(10, 'c'));
    EXPECT_TRUE(isAnswered(third, "200"));
    EXPECT_TRUE(runUntil([&] { return idle.isClosed(); }));
    EXPECT_FALSE(second.isClosed());
}

// Guards against requests that are collected in memory while one is being handled.
TEST_F(BudgetedServerTest, RequestsAreSentAhead_TheyWaitInTheSocketAndAreAnsweredInOrder)
{
    std::shared_ptr<IHttpExchange> open;
    restart(200000, 2, largeLimits());
    m_server->setHandler([&open](const auto &exchange) { open = exchange; });
    RawSocket client(m_endpoint);
    std::string requests;
    for (int number = 0; number < 30; ++number) {
        requests += post(3000) + std::string(3000, static_cast<char>('a' + number % 26));
    }
    client.send(requests);
    for (int number = 0; number < 30; ++number) {
        ASSERT_TRUE(runUntil([&] { return open != nullptr; }));
        EXPECT_EQ(open->body(), std::string(3000, static_cast<char>('a' + number % 26)));
        // A connection, its request, and what is read ahead at most.
        EXPECT_LT(m_budget->usage().memory.value(), 64 * 1024);
        std::exchange(open, nullptr)->reply(200, {}, {});
    }
}
