#pragma once

#include "transport/istagehandler.h"

#include <cstddef>

namespace lavendertally::host {

/// Admits stage requests and runs them on the backend server of this host.
class IHostService : public transport::IStageHandler
{
public:
    /// Applies the present configuration and admission gate. Call it after a change of either.
    virtual void refresh() = 0;

    /// \return number of calls that are queued or running
    virtual std::size_t activeCalls() const = 0;
};

} // namespace lavendertally::host
