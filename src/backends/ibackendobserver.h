#pragma once

#include "backends/types/backenderror.h"
#include "backends/types/backendresult.h"
#include "framework/types/units.h"

#include <optional>
#include <string>

namespace lavendertally::backends {

/// Receives the output of one backend call. The last callback is exactly one onDone() or
/// onFailed().
class IBackendObserver
{
public:
    virtual ~IBackendObserver() = default;

    /// The head of the answer has arrived; called before all other functions, if it arrives at all.
    /// \param rateLimit requests per second that the backend server takes, if it names them
    virtual void onAnswerHead(std::optional<framework::RequestRate> rateLimit) = 0;

    /// Delivers the next part of a generated text, in order. The call handle must not be destroyed
    /// from within this callback.
    /// \param tokens number of tokens in \p text
    virtual void onChunk(const std::string &text, framework::TokenCount tokens) = 0;

    /// The call succeeded.
    /// \param result complete result, including text already delivered by onChunk()
    virtual void onDone(const BackendResult &result) = 0;

    /// The call failed.
    /// \param error whether the call may have run
    /// \param detail human-readable description of the failure
    virtual void onFailed(BackendError error, const std::string &detail) = 0;
};

} // namespace lavendertally::backends
