#pragma once

#include "backends/types/backendresult.h"
#include "framework/result.h"

#include <cstddef>
#include <string_view>

namespace lavendertally::backends {

class IBackendObserver;

/// Parses one response of a backend server incrementally.
class IResponseReader
{
public:
    virtual ~IResponseReader() = default;

    /// Parses the next part of the response body.
    /// \param observer receives the chunks that are complete after \p data
    virtual void append(std::string_view data, IBackendObserver &observer) = 0;

    /// \return bytes of the response that are kept until its end
    virtual std::size_t heldBytes() const = 0;

    /// Ends the response; called once, after the last append().
    /// \return the complete result, or BackendError::Unknown if the response is truncated or
    /// malformed
    virtual framework::Result<BackendResult> finish() = 0;
};

} // namespace lavendertally::backends
