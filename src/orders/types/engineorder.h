#pragma once

#include "orders/types/orderkind.h"

#include <string>

namespace lavendertally::orders {

/// Order to a model engine.
struct EngineOrder
{
    OrderKind kind = OrderKind::LoadModel;
    /// Name of the model, adapter, version or role.
    std::string argument;
};

} // namespace lavendertally::orders
