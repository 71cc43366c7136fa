#pragma once

#include "admission/icalllimits.h"
#include "admission/types/serverslots.h"
#include "framework/types/ids.h"

#include <cstddef>
#include <vector>

namespace lavendertally::admission {

/// Tells what the backend servers of a service can take, as far as it does not show in their
/// answers.
class IServiceCapacity : public ICallLimits
{
public:
    /// \return backend servers of \p service that admit work
    virtual std::vector<ServerSlots> servers(const framework::ServiceId &service) const = 0;
    /// \return whether \p service is a model engine: these report their load with each answer, so
    /// that they are limited before the first one
    virtual bool isModelEngine(const framework::ServiceId &service) const = 0;
    /// \return number of gateways that share them; at least one
    virtual std::size_t gatewayCount() const = 0;
};

} // namespace lavendertally::admission
