#pragma once

namespace lavendertally::routing {

/// Why no backend could be selected.
enum class RoutingError
{
    /// None of the service's backends may be called: none admits work, or those that do are
    /// excluded or have used up their cold start rate.
    NoAdmittingBackend,
};

} // namespace lavendertally::routing
