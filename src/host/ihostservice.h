#pragma once

#include "transport/istagehandler.h"

#include <cstddef>

namespace lavendertally::host {

/// Runs stage requests on the backend server beside this process.
class IHostService : public transport::IStageHandler
{
public:
    /// Takes over the gate and the configuration after a change of either.
    virtual void refresh() = 0;

    /// \return calls that wait or run
    virtual std::size_t activeCalls() const = 0;
};

} // namespace lavendertally::host
