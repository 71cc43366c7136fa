#pragma once

#include "framework/result.h"
#include "orders/types/engineorder.h"

#include <functional>

namespace lavendertally::orders {

/// Gives orders to one model engine.
///
/// An engine that checks fencing numbers never applies an order after one of a later holder,
/// whatever freezes. An engine that ignores them never gets the orders of two holders mixed as long
/// as no holder freezes between its last check and the sending, clocks drift less than the policy
/// says, and the engine acts on an order within the order timeout or not at all.
class IOrderService
{
public:
    virtual ~IOrderService() = default;

    /// Gives an order after those given before.
    /// \param callback called once, later, unless the service is destroyed first; gets nothing once
    /// the engine has applied the order, or OrderError
    virtual void order(const EngineOrder &order,
                       std::function<void(framework::Result<void>)> callback) = 0;

    /// Gives the lease back once the orders given before have ended, so that the next holder need
    /// not wait. Does nothing after an order with an unknown outcome.
    virtual void release() = 0;
};

} // namespace lavendertally::orders
