#pragma once

#include "backends/types/backendresult.h"
#include "framework/result.h"

#include <string_view>

namespace lavendertally::backends {

class IBackendObserver;

/// Reads one answer of a backend server as it arrives.
class IAnswerReader
{
public:
    virtual ~IAnswerReader() = default;

    /// \param observer gets what can be handed on at once
    virtual void append(std::string_view data, IBackendObserver &observer) = 0;

    /// The answer has ended.
    /// \return the whole result, or BackendError::Unknown when it is cut short or malformed
    virtual framework::Result<BackendResult> finish() = 0;
};

} // namespace lavendertally::backends
