#pragma once

#include "framework/types/ids.h"

namespace lavendertally::rollout {

struct RolloutOrder;

/// Receives the operator's orders from the platform.
class IRolloutOrders
{
public:
    virtual ~IRolloutOrders() = default;

    /// The order for a service is new, has changed, or was written again.
    virtual void put(const RolloutOrder &order) = 0;

    /// The order for a service was taken back.
    virtual void remove(const framework::ServiceId &service) = 0;
};

} // namespace lavendertally::rollout
