#include "budget/budgetmodule.h"
#include "budget/holding.h"
#include "budget/ibudgetclient.h"
#include "budget/recentrate.h"
#include "framework/testing/fakeclock.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

using namespace lavendertally;
using namespace lavendertally::budget;
using framework::Bytes;
using framework::Milliseconds;

namespace {

constexpr Bytes Kilobyte{1024};
constexpr ClientAddress Balancer{1};
constexpr ClientAddress Other{2};

/// A connection that holds part of a body.
class FakeClient final : public IBudgetClient
{
public:
    FakeClient(const std::shared_ptr<IResourceBudget> &budget, framework::FakeClock &clock,
               ClientAddress address = Balancer)
        : m_body(budget, Use::Bodies, address, this),
          m_exchange(budget, Use::Exchanges, address, this), m_budget(*budget)
    {
        m_standing.activity = ClientActivity::Sending;
        m_standing.address = address;
        m_standing.since = clock.now();
    }
    ~FakeClient() override { m_budget.remove(*this); }

    bool send(Bytes total)
    {
        const bool isDrawn = m_body.draw(total);
        m_standing.held = m_body.size();
        return isDrawn;
    }
    ClientStanding standing(framework::TimePoint /*now*/) const override { return m_standing; }
    bool giveWay(Cause cause) override
    {
        if (m_hasArrived) {
            m_standing.activity = ClientActivity::Busy;
            return false;
        }
        m_cause = cause;
        m_body.release();
        m_exchange.release();
        m_standing.held = Bytes(0);
        m_standing.activity = ClientActivity::Busy;
        m_budget.remove(*this);
        return true;
    }
    bool gaveWay() const { return m_cause.has_value(); }

    Holding m_body;
    Holding m_exchange;
    IResourceBudget &m_budget;
    ClientStanding m_standing;
    std::optional<Cause> m_cause;
    bool m_hasArrived = false;
};

class ResourceBudgetTest : public testing::Test
{
protected:
    std::shared_ptr<IResourceBudget> make(Bytes memory, std::uint32_t connections = 100,
                                          std::uint32_t exchanges = 100)
    {
        return BudgetModule::makeBudget({memory, connections, exchanges}, m_clock);
    }
    std::unique_ptr<FakeClient> client(ClientAddress address = Balancer)
    {
        auto made = std::make_unique<FakeClient>(m_budget, m_clock, address);
        EXPECT_TRUE(m_budget->admit(*made));
        m_clock.advance(Milliseconds(10));
        return made;
    }

    framework::FakeClock m_clock;
    std::shared_ptr<IResourceBudget> m_budget = make(Kilobyte * 100);
};

} // namespace

// Guards against bodies that stop short and keep out everyone else.
TEST_F(ResourceBudgetTest, MemoryIsUsedUp_TheOldestWithoutProgressGivesWay)
{
    const auto oldest = client();
    const auto later = client();
    EXPECT_TRUE(oldest->send(Kilobyte * 50));
    EXPECT_TRUE(later->send(Kilobyte * 50));
    const auto ordinary = client();
    EXPECT_TRUE(ordinary->send(Kilobyte));
    EXPECT_TRUE(oldest->gaveWay());
    EXPECT_EQ(oldest->m_cause, Cause::Memory);
    EXPECT_FALSE(later->gaveWay());
    EXPECT_EQ(m_budget->usage().memory, Kilobyte * 51);
    EXPECT_EQ(m_budget->usage().refusals[static_cast<std::size_t>(Cause::Memory)], 1U);
}

// Guards against an overload that drops the bodies that are nearly complete.
TEST_F(ResourceBudgetTest, AllMakeProgress_TheOneThatHasSentLeastGivesWay)
{
    const auto most = client();
    const auto least = client();
    EXPECT_TRUE(most->send(Kilobyte * 60));
    EXPECT_TRUE(least->send(Kilobyte * 30));
    most->m_standing.rate = least->m_standing.rate = Kilobyte * 1000;
    EXPECT_TRUE(most->send(Kilobyte * 80));
    EXPECT_TRUE(least->gaveWay());
}

// Guards against a crowd at one address that pushes out callers at others.
TEST_F(ResourceBudgetTest, OneAddressHoldsMoreThanItsShare_ItGivesWayFirst)
{
    const auto slow = client(Other);
    EXPECT_TRUE(slow->send(Kilobyte * 20));
    const auto first = client();
    const auto second = client();
    EXPECT_TRUE(first->send(Kilobyte * 39));
    EXPECT_TRUE(second->send(Kilobyte * 41));
    second->m_standing.rate = first->m_standing.rate = Kilobyte * 1000;
    EXPECT_TRUE(second->send(Kilobyte * 50));
    EXPECT_TRUE(first->gaveWay());
    EXPECT_FALSE(slow->gaveWay());
}

// Guards against a holder that counts what it gave back when it gave way to itself.
TEST_F(ResourceBudgetTest, HolderIsTheLeastDeserving_IsRefusedAndHoldsNothing)
{
    const auto only = client();
    EXPECT_TRUE(only->send(Kilobyte * 60));
    EXPECT_FALSE(only->send(Kilobyte * 120));
    EXPECT_TRUE(only->gaveWay());
    EXPECT_EQ(m_budget->usage().memory, Bytes(0));
}

// Guards against clients that are dropped for a request that is refused all the same.
TEST_F(ResourceBudgetTest, OthersHoldTooLittle_NewOneIsRefusedAndNobodyIsDropped)
{
    const auto busy = client();
    EXPECT_TRUE(busy->send(Kilobyte * 60));
    busy->m_standing.activity = ClientActivity::Busy;
    const auto first = client();
    const auto second = client();
    EXPECT_TRUE(first->send(Kilobyte * 20));
    EXPECT_TRUE(second->send(Kilobyte * 20));
    const auto late = client();
    EXPECT_FALSE(late->send(Kilobyte * 41));
    EXPECT_FALSE(first->gaveWay());
    EXPECT_FALSE(second->gaveWay());
    EXPECT_TRUE(late->send(Kilobyte * 40));
}

// Guards against requests under way that are ended although they may have taken effect.
TEST_F(ResourceBudgetTest, OthersAreBusy_NewOneIsRefused)
{
    const auto busy = client();
    EXPECT_TRUE(busy->send(Kilobyte * 100));
    busy->m_standing.activity = ClientActivity::Busy;
    const auto late = client();
    EXPECT_FALSE(late->send(Kilobyte));
    EXPECT_FALSE(busy->gaveWay());
    EXPECT_FALSE(late->gaveWay());
}

// Guards against idle connections that use up all descriptors.
TEST_F(ResourceBudgetTest, NoDescriptorIsLeft_TheLongestIdleGivesWay)
{
    m_budget = make(Kilobyte * 100, 2);
    const auto idle = client();
    idle->m_standing.activity = ClientActivity::Idle;
    const auto arrived = client();
    arrived->m_standing.activity = ClientActivity::Idle;
    arrived->m_hasArrived = true;
    arrived->m_standing.since = idle->m_standing.since - Milliseconds(100);
    const auto next = client();
    EXPECT_FALSE(arrived->gaveWay());
    EXPECT_TRUE(idle->gaveWay());
    next->m_standing.activity = ClientActivity::Busy;
    FakeClient refused(m_budget, m_clock);
    EXPECT_FALSE(m_budget->admit(refused));
    EXPECT_EQ(m_budget->usage().connections, 2U);
}

// Guards against streams that nobody reads and that keep all connections to backend servers.
TEST_F(ResourceBudgetTest, NoExchangeIsLeft_OneThatDoesNotReadGivesWay)
{
    m_budget = make(Kilobyte * 1000, 10, 1);
    const auto reader = client();
    EXPECT_TRUE(reader->m_exchange.draw(Kilobyte));
    reader->m_standing.activity = ClientActivity::Reading;
    const auto next = client();
    EXPECT_FALSE(next->m_exchange.draw(Kilobyte));
    m_clock.advance(Milliseconds(1000));
    EXPECT_TRUE(next->m_exchange.draw(Kilobyte));
    EXPECT_TRUE(reader->gaveWay());
    EXPECT_EQ(m_budget->usage().exchanges, 1U);
}

// Guards against a client that was fast and has stopped, and passes for one that goes on.
TEST(RecentRate, BytesStop_RateIsZeroWithinASecond)
{
    framework::FakeClock clock;
    RecentRate rate;
    for (int step = 0; step < 30; ++step) {
        rate.note(Kilobyte * 10, clock.now());
        clock.advance(Milliseconds(100));
    }
    EXPECT_GE(rate.at(clock.now()), Kilobyte * 50);
    EXPECT_LE(rate.at(clock.now()), Kilobyte * 100);
    clock.advance(Milliseconds(1000));
    EXPECT_EQ(rate.at(clock.now()), Bytes(0));
}

// Guards against sums that drift, whatever the order of holders, ends and refusals.
TEST_F(ResourceBudgetTest, GeneratedClients_SumsAreThoseOfTheHoldersAndStayWithinTheLimits)
{
    std::mt19937 random(20260);
    m_budget = make(Kilobyte * 200, 20, 10);
    std::vector<std::unique_ptr<FakeClient>> clients;
    for (int step = 0; step < 20000; ++step) {
        m_clock.advance(Milliseconds(random() % 50));
        if (clients.empty() || random() % 3 == 0) {
            auto made =
                std::make_unique<FakeClient>(m_budget, m_clock, ClientAddress(random() % 4));
            if (m_budget->admit(*made)) {
                clients.push_back(std::move(made));
            }
        } else {
            const std::size_t index = random() % clients.size();
            FakeClient &chosen = *clients[index];
            if (chosen.gaveWay() || random() % 5 == 0) {
                clients.erase(clients.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                chosen.m_standing.rate = Bytes(random() % 4000);
                chosen.send(Kilobyte * static_cast<std::int64_t>(random() % 60));
                if (!chosen.gaveWay() && random() % 4 == 0) {
                    chosen.m_exchange.draw(Kilobyte);
                }
            }
        }
        Bytes sum;
        for (const auto &each : clients) {
            sum += each->m_body.size() + each->m_exchange.size();
        }
        ASSERT_EQ(m_budget->usage().memory, sum);
        ASSERT_LE(sum, Kilobyte * 200);
        ASSERT_LE(m_budget->usage().connections, 20U);
        ASSERT_LE(m_budget->usage().exchanges, 10U);
    }
    clients.clear();
    EXPECT_EQ(m_budget->usage().memory, Bytes(0));
    EXPECT_EQ(m_budget->usage().connections, 0U);
    EXPECT_EQ(m_budget->usage().exchanges, 0U);
}
