#pragma once

namespace lavendertally::orders {

enum class OrderKind
{
    LoadModel,
    LoadAdapter,
    SetVersion,
    SetRole,
};

} // namespace lavendertally::orders
