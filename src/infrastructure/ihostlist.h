#pragma once

#include "framework/result.h"
#include "framework/types/milliseconds.h"
#include "membership/types/hostentry.h"

#include <functional>
#include <vector>

namespace lavendertally::infrastructure {

/// The platform's list of live and leaving hosts; it lags.
class IHostList
{
public:
    virtual ~IHostList() = default;

    /// \param callback gets the whole list, or InfrastructureError
    virtual void
    fetch(framework::Milliseconds timeout,
          std::function<void(framework::Result<std::vector<membership::HostEntry>>)> callback) = 0;
};

} // namespace lavendertally::infrastructure
