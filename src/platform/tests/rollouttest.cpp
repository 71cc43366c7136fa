#include "connections/connectionsmodule.h"
#include "connections/iconnectionshares.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/imetrics.h"
#include "framework/itimer.h"
#include "framework/testing/recordinglogger.h"
#include "membership/ibackendservertracker.h"
#include "membership/membershipmodule.h"
#include "peers/idaemondirectory.h"
#include "platform/internal/backendservercodec.h"
#include "platform/iplatform.h"
#include "platform/platformmodule.h"
#include "platform/types/platformparts.h"
#include "rollout/irolloutorders.h"
#include "rollout/irolloutstatusstore.h"
#include "rollout/types/rolloutorder.h"
#include "serving/iservingtracker.h"
#include "serving/servingmodule.h"
#include "standins/platformstorestandin.h"
#include "standins/types/fault.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

using namespace lavendertally;
using namespace lavendertally::platform;

namespace {

constexpr framework::Milliseconds WaitLimit{15000};
constexpr framework::Milliseconds PollInterval{5};
constexpr const char *Order = R"({"service":"s","target":"v2","durationS":1.5})";

class RecordingOrders final : public rollout::IRolloutOrders
{
public:
    void put(const rollout::RolloutOrder &order) override
    {
        m_orders[order.service] = order;
        ++m_puts;
    }
    void remove(const framework::ServiceId &service) override { m_orders.erase(service); }
    const rollout::RolloutOrder *order() const
    {
        const auto found = m_orders.find(framework::ServiceId("s"));
        return found == m_orders.end() ? nullptr : &found->second;
    }

    std::map<framework::ServiceId, rollout::RolloutOrder> m_orders;
    int m_puts = 0;
};

} // namespace

/// Orders and statuses between the adapter and the stand-in of the store.
class PlatformRolloutTest : public testing::Test
{
protected:
    PlatformRolloutTest()
        : m_loop(framework::FrameworkModule::makeEventLoop()),
          m_clock(framework::FrameworkModule::makeSystemClock()),
          m_metrics(framework::FrameworkModule::makeMetrics()),
          m_serving(serving::ServingModule::makeTracker(m_logger)),
          m_servers(membership::MembershipModule::makeBackendServerTracker(m_logger)),
          m_store(*m_loop)
    {
        const auto endpoint = m_store.listen({"127.0.0.1", 0}).value();
        m_shares = connections::ConnectionsModule::makeShares(*m_servers, *m_serving, *m_loop,
                                                              *m_clock, m_logger, *m_metrics);
        m_platform = PlatformModule::makePlatform(
            {framework::DaemonId("self"), framework::Millicores(190), endpoint, *m_loop, *m_clock,
             m_logger, *m_metrics, *m_serving, *m_servers, *m_shares});
        m_platform->setRolloutOrders(m_orders);
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        const framework::TimePoint end = m_clock->now() + WaitLimit;
        while (!condition() && m_clock->now() < end) {
            const auto timer = m_loop->callAfter(PollInterval, [this] { m_loop->stop(); });
            m_loop->run();
        }
        return condition();
    }
    std::optional<rollout::IRolloutStatusStore::Content> read()
    {
        std::optional<rollout::IRolloutStatusStore::Content> result;
        bool isDone = false;
        m_platform->rolloutStatuses().read([&](auto content) {
            result = std::move(content);
            isDone = true;
        });
        EXPECT_TRUE(waitFor([&isDone] { return isDone; }));
        return result;
    }
    rollout::StatusWriteOutcome write(rollout::RolloutState state, framework::LogOffset at)
    {
        std::optional<rollout::StatusWriteOutcome> outcome;
        m_platform->rolloutStatuses().write({framework::ServiceId("s"),
                                             framework::SoftwareVersion("v2"),
                                             state,
                                             {framework::StoreEra(1), framework::LogOffset(4)}},
                                            at, [&outcome](auto result) { outcome = result; });
        EXPECT_TRUE(waitFor([&outcome] { return outcome.has_value(); }));
        return outcome.value_or(rollout::StatusWriteOutcome::Failed);
    }

    framework::RecordingLogger m_logger;
    std::unique_ptr<framework::IEventLoop> m_loop;
    std::unique_ptr<framework::IClock> m_clock;
    std::unique_ptr<framework::IMetrics> m_metrics;
    std::unique_ptr<serving::IServingTracker> m_serving;
    std::unique_ptr<membership::IBackendServerTracker> m_servers;
    std::unique_ptr<connections::IConnectionShares> m_shares;
    standins::PlatformStoreStandIn m_store;
    RecordingOrders m_orders;
    std::unique_ptr<IPlatform> m_platform;
};

TEST_F(PlatformRolloutTest, OrderIsWrittenChangedAndTakenBack_IsHandedOn)
{
    m_store.put("keyed.op", "op/rollout/s", Order);
    m_platform->start({"127.0.0.1", 7});
    ASSERT_TRUE(waitFor([this] { return m_orders.order() != nullptr; }));
    EXPECT_EQ(m_orders.order()->target, framework::SoftwareVersion("v2"));
    EXPECT_EQ(m_orders.order()->duration, framework::Milliseconds(1500));
    EXPECT_EQ(m_orders.order()->id.offset, framework::LogOffset(0));
    EXPECT_EQ(m_orders.order()->id.era, framework::StoreEra(1));
    m_store.put("keyed.op", "op/rollout/s", R"({"service":"s","target":"v3","durationS":2})");
    ASSERT_TRUE(
        waitFor([this] { return m_orders.order()->target == framework::SoftwareVersion("v3"); }));
    EXPECT_EQ(m_orders.order()->id.offset, framework::LogOffset(1));
    m_store.remove("keyed.op", "op/rollout/s");
    EXPECT_TRUE(waitFor([this] { return m_orders.order() == nullptr; }));
}

TEST_F(PlatformRolloutTest, OrderCannotBeRead_WhatStoodBeforeStays)
{
    m_store.put("keyed.op", "op/rollout/s", Order);
    m_platform->start({"127.0.0.1", 7});
    ASSERT_TRUE(waitFor([this] { return m_orders.order() != nullptr; }));
    for (const char *odd :
         {"no json", "[]", "{}", R"({"target":"v3"})", R"({"target":3,"durationS":2})",
          R"({"target":"","durationS":2})", R"({"target":"v3","durationS":0})",
          R"({"target":"v3","durationS":-1})", R"({"target":"v3","durationS":1e300})",
          R"({"service":"other","target":"v3","durationS":2})"}) {
        m_store.put("keyed.op", "op/rollout/s", odd);
    }
    m_store.put("keyed.op", "op/rollout/", Order);
    m_store.put("keyed.op", "op/rollout/last", R"({"target":"v2","durationS":2})");
    ASSERT_TRUE(waitFor([this] { return m_orders.m_orders.size() > 1; }));
    EXPECT_EQ(m_orders.m_puts, 2);
    EXPECT_EQ(m_orders.order()->target, framework::SoftwareVersion("v2"));
}

// Operators write again within 10 s what a copy of the store lacks; a rollout must not be undone
// meanwhile.
TEST_F(PlatformRolloutTest, StoreComesBackWithoutTheOrder_OrderStandsUntilItIsWrittenAgain)
{
    m_store.put("keyed.op", "op/rollout/s", Order);
    m_platform->start({"127.0.0.1", 7});
    ASSERT_TRUE(waitFor([this] { return m_orders.order() != nullptr; }));
    m_store.restore({});
    m_store.put("keyed.op", "op/rollout/t", Order);
    m_store.put("keyed.op", "op/rollout/u", R"({"target":"v2","durationS":2})");
    ASSERT_TRUE(waitFor([this] { return m_orders.m_orders.size() > 1; }));
    ASSERT_NE(m_orders.order(), nullptr);
    m_store.put("keyed.op", "op/rollout/s", Order);
    ASSERT_TRUE(waitFor([this] { return m_orders.m_puts == 3; }));
    EXPECT_EQ(m_orders.order()->id.era, framework::StoreEra(2));
}

// Two deciders must not write over each other.
TEST_F(PlatformRolloutTest, StatusIsWrittenOnTheOffsetThatWasRead)
{
    m_store.put("keyed.status", "other", "{}");
    auto content = read();
    ASSERT_TRUE(content);
    EXPECT_TRUE(content->statuses.empty());
    EXPECT_EQ(content->end, framework::LogOffset(1));
    EXPECT_EQ(write(rollout::RolloutState::Running, content->end),
              rollout::StatusWriteOutcome::Written);
    EXPECT_EQ(write(rollout::RolloutState::Completed, content->end),
              rollout::StatusWriteOutcome::Outdated);
    EXPECT_EQ(write(rollout::RolloutState::RolledBack, content->end.next()),
              rollout::StatusWriteOutcome::Written);
    content = read();
    ASSERT_TRUE(content);
    ASSERT_EQ(content->statuses.size(), 1U);
    EXPECT_EQ(content->statuses.front().state, rollout::RolloutState::RolledBack);
    EXPECT_EQ(content->statuses.front().order.offset, framework::LogOffset(4));
    const auto text = m_store.newest("keyed.status", "rollout/s");
    ASSERT_TRUE(text);
    EXPECT_NE(text->find(R"("state":"rolled_back")"), std::string::npos);
    EXPECT_NE(text->find(R"("target":"v2")"), std::string::npos);
}

TEST_F(PlatformRolloutTest, StoreIsAway_ReadAndWriteSayso)
{
    standins::Fault fault;
    fault.mode = standins::FaultMode::Refuse;
    m_store.setFault(fault);
    EXPECT_FALSE(read());
    EXPECT_EQ(write(rollout::RolloutState::Running, framework::LogOffset(0)),
              rollout::StatusWriteOutcome::Failed);
}

TEST(BackendServerVersion, RegistrationNamesOneOrNoneOrNonsense_ServerIsUsed)
{
    const auto versionOf = [](const std::string &member) {
        const auto entry = decodeBackendServer(
            "i-1",
            R"({"service":"m","address":"127.0.0.1:9","zone":"za","slots":4,"state":"ready")"
                + member + "}",
            framework::TimePoint(0));
        return entry ? entry->version.value() : "unreadable";
    };
    EXPECT_EQ(versionOf(R"(,"version":"v2")"), "v2");
    EXPECT_EQ(versionOf(""), "");
    EXPECT_EQ(versionOf(R"(,"version":7)"), "");
    EXPECT_EQ(versionOf(R"(,"version":null)"), "");
}
