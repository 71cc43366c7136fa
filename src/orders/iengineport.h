#pragma once

#include "framework/result.h"
#include "framework/types/ids.h"
#include "framework/types/milliseconds.h"
#include "orders/types/engineorder.h"

#include <functional>

namespace lavendertally::orders {

/// Carries orders to one model engine.
class IEnginePort
{
public:
    virtual ~IEnginePort() = default;

    /// Sends an order once.
    /// \param callback called once, later, unless the port is destroyed first; gets nothing, or
    /// OrderError::StaleFencing, NotApplied or Unknown
    virtual void send(const EngineOrder &order, framework::FencingNumber fencing,
                      framework::Milliseconds timeout,
                      std::function<void(framework::Result<void>)> callback) = 0;
};

} // namespace lavendertally::orders
