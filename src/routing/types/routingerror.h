#pragma once

namespace lavendertally::routing {

/// Why no backend could be selected.
enum class RoutingError
{
    /// None of the service's backends may be called: none admits work, or those that do are
    /// excluded, have used up their cold start rate, or name a rate limit and there is no permit.
    NoAdmittingBackend,
};

} // namespace lavendertally::routing
