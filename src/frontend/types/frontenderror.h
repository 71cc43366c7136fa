#pragma once

namespace lavendertally::frontend {

/// Errors in requests to the HTTP APIs.
enum class FrontendError
{
    /// The request body is invalid; an ErrorContext names the key and what was expected.
    InvalidBody,
};

} // namespace lavendertally::frontend
