#pragma once

#include "backends/types/backendresult.h"
#include "framework/result.h"
#include "framework/types/units.h"

#include <string>

namespace lavendertally::backends {

/// Receives what a backend call brings.
class IBackendObserver
{
public:
    virtual ~IBackendObserver() = default;

    /// Part of a generated text, in order.
    virtual void onChunk(std::string text, framework::TokenCount tokens) = 0;

    /// The call ended; nothing follows.
    /// \param result the whole result, or BackendError
    virtual void onEnd(framework::Result<BackendResult> result) = 0;
};

} // namespace lavendertally::backends
