#include "framework/asyncerror.h"
#include "framework/frameworkmodule.h"
#include "framework/ieventloop.h"
#include "framework/itimer.h"
#include "http/httpmodule.h"
#include "http/ihttpclient.h"
#include "orders/iengineport.h"
#include "orders/ordersmodule.h"
#include "orders/types/ordererror.h"
#include "standins/modelenginestandin.h"

#include <gtest/gtest.h>

#include <optional>

using namespace lavendertally;
using namespace lavendertally::orders;
using standins::FaultMode;

namespace {

struct FaultCase
{
    const char *name;
    FaultMode mode;
    std::optional<OrderError> error;
    std::size_t applied;
    std::size_t appliedAfterRecovery;
};

const FaultCase FaultCases[] = {
    {"None", FaultMode::None, std::nullopt, 1, 1},
    {"Down", FaultMode::Down, OrderError::NotApplied, 0, 0},
    {"Refuse", FaultMode::Refuse, OrderError::Unknown, 0, 0},
    {"Slow", FaultMode::Slow, std::nullopt, 1, 1},
    {"Frozen", FaultMode::Frozen, OrderError::Unknown, 0, 1},
    {"LostAnswer", FaultMode::LostAnswer, OrderError::Unknown, 1, 1},
    {"Doubled", FaultMode::Doubled, std::nullopt, 2, 2},
    {"Reordered", FaultMode::Reordered, std::nullopt, 1, 1},
    {"Lagging", FaultMode::Lagging, std::nullopt, 1, 1},
    {"Truncated", FaultMode::Truncated, OrderError::Unknown, 1, 1},
};

} // namespace

class EnginePortContract : public testing::TestWithParam<FaultCase>
{
protected:
    std::optional<OrderError> send(std::uint64_t fencing)
    {
        std::optional<OrderError> error;
        const auto guard =
            m_loop->callAfter(framework::Milliseconds(10000), [this] { m_loop->stop(); });
        m_port->send({OrderKind::SetVersion, "v2"}, framework::FencingNumber(fencing),
                     framework::Milliseconds(150), [&](framework::Result<void> result) {
                         if (!result) {
                             error = framework::errorOf(std::move(result), OrderError::LeaseLost);
                         }
                         m_loop->stop();
                     });
        m_loop->run();
        return error;
    }

    std::unique_ptr<framework::IEventLoop> m_loop = framework::FrameworkModule::makeEventLoop();
    std::unique_ptr<http::IHttpClient> m_client = http::HttpModule::makeClient(*m_loop);
    standins::ModelEngineStandIn m_engine{*m_loop, standins::EngineOptions{}};
    std::unique_ptr<IEnginePort> m_port =
        OrdersModule::makeEnginePort(*m_client, m_engine.listen({"127.0.0.1", 0}).value());
};

TEST_P(EnginePortContract, OutcomeTellsWhetherTheOrderMayHaveBeenApplied)
{
    const FaultCase &fault = GetParam();
    m_engine.setFault({fault.mode, framework::Milliseconds(20), std::nullopt, ""});
    EXPECT_EQ(send(7), fault.error);
    EXPECT_EQ(m_engine.appliedOrders().size(), fault.applied);
    m_engine.setFault({});
    EXPECT_EQ(m_engine.appliedOrders().size(), fault.appliedAfterRecovery);
    EXPECT_EQ(send(6),
              fault.appliedAfterRecovery > 0 ? std::optional(OrderError::StaleFencing)
                                             : std::nullopt);
    EXPECT_EQ(send(8), std::nullopt);
    EXPECT_EQ(m_engine.appliedOrders().back().order, "set_version");
}

INSTANTIATE_TEST_SUITE_P(StandIn, EnginePortContract, testing::ValuesIn(FaultCases),
                         [](const testing::TestParamInfo<FaultCase> &info) {
                             return info.param.name;
                         });
