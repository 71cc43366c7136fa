#pragma once

namespace lavendertally::configuration {

/// What kind of call the backend servers of a service answer.
enum class ServiceKind
{
    Encode,
    Retrieve,
    Rerank,
    Generate,
    /// Plain call with an effect, such as a booking; see Stage::idempotent.
    Action,
};

} // namespace lavendertally::configuration
