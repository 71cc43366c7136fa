#pragma once

#include "framework/types/ids.h"

#include <memory>

namespace lavendertally::framework {
class IClock;
class ILogger;
class IRandom;
class IScheduler;
struct Endpoint;
} // namespace lavendertally::framework

namespace lavendertally::http {
class IHttpClient;
}

namespace lavendertally::infrastructure {
class ILogService;
}

namespace lavendertally::orders {

class IEnginePort;
class IOrderService;
struct OrderPolicy;

/// Makes what gives orders to model engines. All arguments outlive the returned objects.
class OrdersModule
{
public:
    /// \param host host of the engine; names the stream `orders.HOST`
    /// \param daemon the daemon that gives the orders
    /// \param random makes the holder differ from earlier starts of the daemon
    static std::unique_ptr<IOrderService> makeOrderService(
        const framework::HostId &host, const framework::DaemonId &daemon, const OrderPolicy &policy,
        infrastructure::ILogService &log, IEnginePort &engine, framework::IScheduler &scheduler,
        const framework::IClock &clock, framework::IRandom &random, framework::ILogger &logger);

    /// \param endpoint where the engine answers
    static std::unique_ptr<IEnginePort> makeEnginePort(http::IHttpClient &client,
                                                       const framework::Endpoint &endpoint);
};

} // namespace lavendertally::orders
