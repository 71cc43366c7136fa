#pragma once

namespace lavendertally::frontend {

enum class FrontendError
{
    /// The body of a request does not have the documented form; an ErrorContext says where.
    InvalidBody,
};

} // namespace lavendertally::frontend
