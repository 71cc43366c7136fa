#pragma once

#include "backends/types/backenderror.h"
#include "backends/types/backendresult.h"
#include "framework/types/units.h"

#include <string>

namespace lavendertally::backends {

/// Receives what a backend call brings. Exactly one of onDone() and onFailed() is called, last.
class IBackendObserver
{
public:
    virtual ~IBackendObserver() = default;

    /// Part of a generated text, in order. The call must not be destroyed from within it.
    virtual void onChunk(const std::string &text, framework::TokenCount tokens) = 0;

    /// The whole result is here.
    virtual void onDone(const BackendResult &result) = 0;

    /// \param detail what failed, for people
    virtual void onFailed(BackendError error, const std::string &detail) = 0;
};

} // namespace lavendertally::backends
