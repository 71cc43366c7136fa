#include "orders/ordersmodule.h"

#include "framework/irandom.h"
#include "orders/internal/httpengineport.h"
#include "orders/internal/orderservice.h"

#include <limits>

namespace lavendertally::orders {

namespace {

HolderId makeHolder(const framework::DaemonId &daemon, framework::IRandom &random)
{
    const std::uint64_t start = random.below(std::numeric_limits<std::uint64_t>::max());
    return HolderId(daemon.value() + "-" + std::to_string(start));
}

} // namespace

std::unique_ptr<IOrderService> OrdersModule::makeOrderService(
    const framework::HostId &host, const framework::DaemonId &daemon, const OrderPolicy &policy,
    infrastructure::ILogService &log, IEnginePort &engine, framework::IScheduler &scheduler,
    const framework::IClock &clock, framework::IRandom &random, framework::ILogger &logger)
{
    return std::make_unique<OrderService>(host, makeHolder(daemon, random), policy, log, engine,
                                          scheduler, clock, logger);
}

std::unique_ptr<IEnginePort> OrdersModule::makeEnginePort(http::IHttpClient &client,
                                                          const framework::Endpoint &endpoint)
{
    return std::make_unique<HttpEnginePort>(client, endpoint);
}

} // namespace lavendertally::orders
