#include "framework/asyncerror.h"
#include "framework/frameworkmodule.h"
#include "framework/iclock.h"
#include "framework/ieventloop.h"
#include "framework/irandom.h"
#include "framework/itimer.h"
#include "framework/testing/nulllogger.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "infrastructure/ilogservice.h"
#include "infrastructure/infrastructuremodule.h"
#include "orders/iengineport.h"
#include "orders/iorderservice.h"
#include "orders/ordersmodule.h"
#include "orders/types/ordererror.h"
#include "orders/types/orderpolicy.h"
#include "standins/logstandin.h"
#include "standins/modelenginestandin.h"

#include <gtest/gtest.h>

#include <optional>

using namespace lavendertally;
using namespace lavendertally::orders;

/// Order services, log service and engine over HTTP on one loop.
class OrdersPathTest : public testing::Test
{
protected:
    std::unique_ptr<IOrderService> makeService(const std::string &daemon)
    {
        OrderPolicy policy;
        policy.engineChecksFencing = true;
        return OrdersModule::makeOrderService(framework::HostId("h1"), framework::DaemonId(daemon),
                                              policy, *m_log, *m_port, *m_loop, *m_clock, *m_random,
                                              m_logger);
    }

    std::optional<OrderError> order(IOrderService &service, const std::string &model)
    {
        std::optional<OrderError> error;
        const auto guard =
            m_loop->callAfter(framework::Milliseconds(10000), [this] { m_loop->stop(); });
        service.order({OrderKind::LoadModel, model}, [&](framework::Result<void> result) {
            if (!result) {
                error = framework::errorOf(std::move(result), OrderError::Unknown);
            }
            m_loop->stop();
        });
        m_loop->run();
        return error;
    }

    std::unique_ptr<framework::IEventLoop> m_loop = framework::FrameworkModule::makeEventLoop();
    std::unique_ptr<framework::IClock> m_clock = framework::FrameworkModule::makeSystemClock();
    std::unique_ptr<framework::IRandom> m_random = framework::FrameworkModule::makeRandom(1);
    framework::NullLogger m_logger;
    std::unique_ptr<http::IHttpClient> m_client = http::HttpModule::makeClient(*m_loop);
    standins::LogStandIn m_logStandIn{*m_loop, standins::LogOptions{}};
    standins::ModelEngineStandIn m_engine{*m_loop, standins::EngineOptions{}};
    std::unique_ptr<infrastructure::ILogService> m_log =
        infrastructure::InfrastructureModule::makeLogService(
            *m_client, m_logStandIn.listen({"127.0.0.1", 0}).value());
    std::unique_ptr<IEnginePort> m_port =
        OrdersModule::makeEnginePort(*m_client, m_engine.listen({"127.0.0.1", 0}).value());
};

TEST_F(OrdersPathTest, LaterHolderGetsAGreaterFencingNumberAndTheEarlierOneIsRefused)
{
    const auto earlier = makeService("d1");
    // The same daemon after a restart is another holder.
    const auto later = makeService("d1");
    EXPECT_EQ(order(*earlier, "a"), std::nullopt);
    EXPECT_EQ(order(*later, "b"), std::nullopt);
    EXPECT_EQ(order(*earlier, "c"), OrderError::StaleFencing);
    EXPECT_EQ(order(*earlier, "d"), OrderError::LeaseLost);
    ASSERT_EQ(m_engine.appliedOrders().size(), 2U);
    EXPECT_LT(m_engine.appliedOrders()[0].fencing, m_engine.appliedOrders()[1].fencing);
    EXPECT_EQ(m_logStandIn.records("orders.h1").size(), 2U);
}

TEST_F(OrdersPathTest, OrderAfterALostLogAnswerGoesThrough)
{
    const auto service = makeService("d1");
    m_logStandIn.setFault({standins::FaultMode::LostAnswer, {}, 1, "/v1/streams/orders.h1"});
    // The first call is the read before the append; its answer is lost.
    EXPECT_EQ(order(*service, "a"), OrderError::LogUnavailable);
    EXPECT_EQ(order(*service, "b"), std::nullopt);
}

TEST_F(OrdersPathTest, ServiceMayBeDestroyedWithAnOrderUnderWay)
{
    auto service = makeService("d1");
    bool called = false;
    service->order({OrderKind::LoadModel, "a"}, [&](const auto & /*result*/) { called = true; });
    const auto later = m_loop->callAfter(framework::Milliseconds(0), [&] { service.reset(); });
    const auto end = m_loop->callAfter(framework::Milliseconds(100), [this] { m_loop->stop(); });
    m_loop->run();
    EXPECT_FALSE(called);
}
